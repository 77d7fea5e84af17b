#include "fleet/upstream.hpp"

#include "platform/names.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace standin {

using snipemill::http_request;
using snipemill::http_responder;
using snipemill::http_response;
namespace names = snipemill::platform::names;

upstream::upstream(boost::asio::io_context& io, upstream_options options,
                   run_log& log, std::uint64_t seed)
    : io_(io), options_(std::move(options)), log_(log), random_(seed),
      server_(
          io, {},
          [this](http_request const& request, http_responder const& respond) {
              return on_request(request, respond);
          })
{}

std::function<void()> upstream::on_request(http_request const& request,
                                           http_responder const& respond)
{
    auto const& id = request.header(names::request_id);
    auto const& expected = request.header(names::expected_instance);
    auto const refuse = [&](unsigned status) {
        respond({.status = status,
                 .headers = {{names::request_id, id}, {names::not_run, "1"}}});
        return nullptr;
    };
    if (!expected.empty() && expected != options_.instance) {
        return refuse(421);
    }
    last_arrival_ = std::chrono::steady_clock::now();
    if (waiting_.size() >= options_.queue) {
        return refuse(503);
    }
    auto const it = std::make_shared<job>(
        job{.id = id, .path = request.target, .respond = respond});
    waiting_.push_back(it);
    start_next();
    return [it] { it->cancelled = true; };
}

void upstream::start_next()
{
    while (running_ < options_.slots && !waiting_.empty()) {
        auto const it = std::move(waiting_.front());
        waiting_.pop_front();
        if (it->cancelled) {
            continue;
        }
        ++running_;
        log_[it->id].push_back({.service = options_.service,
                                .instance = options_.instance,
                                .path = it->path,
                                .at = std::chrono::steady_clock::now()});
        if (options_.on_crash &&
            it->path.find(crash_path) != std::string::npos) {
            // The callback ends this upstream. The job keeps its connection
            // open until then.
            boost::asio::post(io_, [f = options_.on_crash, it] { f(it->id); });
            continue;
        }
        auto const ms = work_time_ms();
        auto const timer = std::make_shared<boost::asio::steady_timer>(
            io_, std::chrono::microseconds(static_cast<int>(1000 * ms)));
        timer->async_wait(
            [this, alive = std::weak_ptr(alive_), timer, it](auto) {
                if (!alive.expired()) {
                    finish(it);
                }
            });
    }
}

double upstream::work_time_ms()
{
    if (fixed_work_) {
        return static_cast<double>(fixed_work_->count());
    }
    std::exponential_distribution<double> distribution(1);
    return static_cast<double>(options_.work.count()) * work_factor_ *
           (0.5 + 0.5 * distribution(random_));
}

std::string upstream::make_records()
{
    std::string out;
    for (std::size_t i = 0; i < options_.records; ++i) {
        for (int word = 0; word < 2; ++word) {
            auto const value = random_();
            out.append(reinterpret_cast<char const*>(&value), sizeof value);
        }
    }
    return out;
}

void upstream::finish(std::shared_ptr<job> const& it)
{
    --running_;
    bool const failed =
        std::uniform_real_distribution<double>()(random_) < failure_ratio_;
    http_response answer{.status = failed ? 500U : 200U,
                         .content_type = "application/octet-stream",
                         .headers = {{names::request_id, it->id}},
                         .body = make_records()};
    auto const stamp = options_.instance + "." + std::to_string(next_stamp_++);
    answer.headers.emplace_back(names::stamp, stamp);
    answer.headers.emplace_back(names::load,
                                std::to_string(running_) + "," +
                                    std::to_string(waiting_.size()) + "," +
                                    std::to_string(options_.slots));
    if (!failed) {
        for (auto& run : log_[it->id]) {
            if (run.instance == options_.instance && run.stamp.empty()) {
                run.stamp = stamp;
                run.body = answer.body;
                break;
            }
        }
    }
    if (!it->cancelled) {
        it->respond(std::move(answer));
    }
    start_next();
}

} // namespace standin
