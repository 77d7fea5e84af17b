#include "testbed/request_loop.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace testbed {

namespace {

using namespace snipemill;
using steady = std::chrono::steady_clock;

constexpr std::size_t connections_per_target = 256;

class request_loop
{
public:
    explicit request_loop(request_loop_options const& options)
        : options_(options), timer_(io_)
    {
        for (auto const& it : *options.targets) {
            clients_.push_back(std::make_unique<http_client>(
                io_, http_client_options{.ip = it.ip,
                                         .port = it.port,
                                         .max_connections =
                                             connections_per_target}));
        }
    }

    void run()
    {
        start_ = steady::now();
        wait_next();
        io_.run();
    }

private:
    void wait_next()
    {
        if (next_ == options_.count) {
            return;
        }
        timer_.expires_at(start_ + options_.at(next_));
        timer_.async_wait([this](boost::system::error_code) {
            send();
            wait_next();
        });
    }

    void send()
    {
        auto const i = next_++;
        auto const now = steady::now();
        auto request = options_.make(
            i, std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                     start_));
        clients_[options_.target(i)]->send(
            std::move(request), options_.timeout,
            [this, i, now](http_result const& result) {
                std::chrono::duration<double, std::milli> const took =
                    steady::now() - now;
                options_.done(i, result, took.count());
                if (++done_ == options_.count) {
                    io_.stop();
                }
            });
    }

    request_loop_options const& options_;
    boost::asio::io_context io_;
    boost::asio::steady_timer timer_;
    std::vector<std::unique_ptr<http_client>> clients_;
    steady::time_point start_;
    std::size_t next_ = 0;
    std::size_t done_ = 0;
};

} // namespace

void run_requests(request_loop_options const& options)
{
    request_loop(options).run();
}

} // namespace testbed
