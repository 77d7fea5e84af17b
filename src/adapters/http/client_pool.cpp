#include "adapters/http/client_pool.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;

namespace {

errc reason_of(exchange_failed const& failed)
{
    if (!failed.sent) {
        return errc::upstream_unreachable;
    }
    return failed.fault == exchange_fault::closed ? errc::upstream_reset
                                                  : errc::upstream_failed;
}

} // namespace

client_pool::client_pool(asio::io_context& io,
                         http_client_options const& options)
    : io_(io), options_(options),
      host_(options.host.empty()
                ? options.ip + ":" + std::to_string(options.port)
                : options.host)
{}

void client_pool::send(http_request&& request, duration timeout,
                       std::function<void(http_result)> f)
{
    auto const it = std::make_shared<job>(io_);
    it->head = request.method == "HEAD";
    it->text = write_http_request(request, host_);
    it->f = std::move(f);
    start_timer(it, timeout);
    waiting_.push_back(it);
    pump();
}

void client_pool::start_timer(job_ptr const& it, duration timeout)
{
    it->timer.expires_after(timeout);
    it->timer.async_wait(
        [self = shared_from_this(), it](boost::system::error_code ec) {
            if (ec || it->done || self->stopped_) {
                return;
            }
            auto const connection = it->connection;
            bool const sent = connection && connection->sent();
            self->finish(it, http_failed{.sent = sent,
                                         .reason = errc::deadline_exceeded});
            if (connection) {
                connection->close();
            }
        });
}

void client_pool::pump()
{
    while (!waiting_.empty()) {
        auto const connection = take_idle();
        if (!connection) {
            open_connections();
            return;
        }
        auto const it = waiting_.front();
        waiting_.pop_front();
        run(it, connection);
    }
}

client_pool::connection_ptr client_pool::take_idle()
{
    while (!idle_.empty()) {
        auto it = idle_.back();
        idle_.pop_back();
        if (it->usable()) {
            return it;
        }
        drop(it);
    }
    return nullptr;
}

void client_pool::open_connections()
{
    while (connecting_ < waiting_.size() &&
           all_.size() < options_.max_connections) {
        auto const it = std::make_shared<client_connection>(
            io_, options_.max_body, options_.bytes);
        it->limit_silence(options_.silence_limit);
        if (options_.memory) {
            it->limit_memory(options_.memory);
        }
        all_.insert(it);
        ++connecting_;
        it->on_closed([weak = weak_from_this(), ptr = it.get()] {
            auto const self = weak.lock();
            if (!self || self->stopped_) {
                return;
            }
            auto const same = [ptr](auto const& c) { return c.get() == ptr; };
            std::erase_if(self->idle_, same);
            std::erase_if(self->all_, same);
        });
        boost::system::error_code ec;
        auto const address = asio::ip::make_address(options_.ip, ec);
        it->connect({address, options_.port}, options_.connect_timeout,
                    [self = shared_from_this(), it](bool ok) {
                        self->on_connected(it, ok);
                    });
    }
}

void client_pool::on_connected(connection_ptr const& it, bool ok)
{
    --connecting_;
    if (stopped_) {
        return;
    }
    if (ok) {
        idle_.push_back(it);
    }
    else {
        drop(it);
        fail_first();
    }
    pump();
}

// Each failed connect fails one request, so that a server that is gone is not
// tried in a loop.
void client_pool::fail_first()
{
    if (waiting_.empty()) {
        return;
    }
    auto const it = waiting_.front();
    waiting_.pop_front();
    finish(it,
           http_failed{.sent = false, .reason = errc::upstream_unreachable});
}

void client_pool::run(job_ptr const& it, connection_ptr const& connection)
{
    it->connection = connection;
    running_.insert(it);
    connection->exchange(
        it->text, it->head,
        [self = shared_from_this(), it, connection](exchange_result result) {
            self->on_result(it, connection, std::move(result));
        });
}

void client_pool::on_result(job_ptr const& it, connection_ptr const& connection,
                            exchange_result result)
{
    if (stopped_) {
        return;
    }
    bool const kept = connection->exchanges() > 0;
    running_.erase(it);
    it->connection = nullptr;
    if (connection->open()) {
        idle_.push_back(connection);
    }
    else {
        drop(connection);
    }
    auto* const failed = std::get_if<exchange_failed>(&result);
    if (failed && !failed->sent && kept && !it->done) {
        // The server had closed a kept connection; no byte has left.
        waiting_.push_front(it);
    }
    else if (failed) {
        finish(it,
               http_failed{.sent = failed->sent, .reason = reason_of(*failed)});
    }
    else {
        finish(it, std::get<http_response>(std::move(result)));
    }
    pump();
}

void client_pool::finish(job_ptr const& it, http_result result)
{
    if (it->done) {
        return;
    }
    it->done = true;
    it->timer.cancel();
    std::erase(waiting_, it);
    auto const f = std::exchange(it->f, nullptr);
    f(std::move(result));
}

void client_pool::drop(connection_ptr const& it)
{
    it->close();
    all_.erase(it);
}

void client_pool::stop()
{
    stopped_ = true;
    auto const waiting = std::exchange(waiting_, {});
    auto const running = std::exchange(running_, {});
    auto const connections = std::exchange(all_, {});
    idle_.clear();
    for (auto const& it : waiting) {
        release(*it);
    }
    for (auto const& it : running) {
        release(*it);
    }
    for (auto const& it : connections) {
        it->discard();
    }
}

// The wait of the timer holds the job until the io_context runs again, so the
// callback is released here.
void client_pool::release(job& it)
{
    it.done = true;
    it.timer.cancel();
    it.connection = nullptr;
    it.f = nullptr;
}

} // namespace snipemill
