#include "adapters/upstream/upstream_control.hpp"

#include <utility>

namespace snipemill {

namespace {

// Cancels that wait for the control connection. More than this means that
// the upstream does not answer; the grace time then ends the requests.
constexpr std::size_t max_waiting_cancels = 256;

} // namespace

upstream_control::upstream_control(boost::asio::io_context& io,
                                   upstream_pool_options const& options,
                                   std::shared_ptr<upstream_counters> counters)
    : io_(io), options_(options), counters_(std::move(counters)), timer_(io)
{}

void upstream_control::set_endpoint(
    std::optional<boost::asio::ip::tcp::endpoint> to)
{
    if (endpoint_ == to) {
        return;
    }
    close();
    endpoint_ = std::move(to);
}

void upstream_control::cancel(std::string text)
{
    if (cancels_.size() < max_waiting_cancels) {
        cancels_.push_back({std::move(text), nullptr});
    }
    pump();
}

void upstream_control::status(std::string text, callback f)
{
    if (status_ || status_open_) {
        return;
    }
    status_ = task{std::move(text), std::move(f)};
    pump();
}

void upstream_control::pump()
{
    if (connecting_ || busy_ || (cancels_.empty() && !status_)) {
        return;
    }
    if (!connection_ || !connection_->usable()) {
        connect();
        return;
    }
    if (!cancels_.empty()) {
        auto it = std::move(cancels_.front());
        cancels_.pop_front();
        run(std::move(it));
        return;
    }
    auto it = std::move(*status_);
    status_.reset();
    status_open_ = true;
    run(std::move(it));
}

void upstream_control::connect()
{
    if (connection_) {
        connection_->close();
        connection_.reset();
    }
    if (!endpoint_ || backoff_.blocked()) {
        give_up();
        return;
    }
    ++counters_->connects;
    connecting_ = true;
    connection_ = std::make_shared<client_connection>(io_, options_.max_answer);
    connection_->limit_memory(options_.memory);
    connection_->connect(
        *endpoint_, options_.connect_timeout,
        [self = shared_from_this(), it = connection_](bool ok) {
            if (self->connection_ == it) {
                self->on_connected(ok);
            }
        });
}

void upstream_control::on_connected(bool ok)
{
    connecting_ = false;
    if (!ok) {
        ++counters_->connect_failures;
        backoff_.failed();
        give_up();
        return;
    }
    pump();
}

void upstream_control::run(task it)
{
    busy_ = true;
    timer_.expires_after(options_.status_timeout);
    timer_.async_wait([self = shared_from_this(),
                       connection = connection_](boost::system::error_code ec) {
        if (!ec && self->connection_ == connection) {
            connection->close();
        }
    });
    connection_->exchange(std::move(it.text), false,
                          [self = shared_from_this(), connection = connection_,
                           f = std::move(it.f)](exchange_result result) {
                              if (self->connection_ == connection) {
                                  self->on_result(f, std::move(result));
                              }
                          });
}

void upstream_control::on_result(callback const& f, exchange_result result)
{
    busy_ = false;
    timer_.cancel();
    if (f) {
        status_open_ = false;
    }
    if (auto const* const answer = std::get_if<http_response>(&result)) {
        backoff_.succeeded();
        if (f) {
            f(*answer);
        }
    }
    else {
        backoff_.failed();
    }
    pump();
}

void upstream_control::give_up()
{
    cancels_.clear();
    status_.reset();
}

void upstream_control::close()
{
    give_up();
    timer_.cancel();
    connecting_ = false;
    busy_ = false;
    status_open_ = false;
    if (auto const it = std::exchange(connection_, nullptr)) {
        it->discard();
    }
}

} // namespace snipemill
