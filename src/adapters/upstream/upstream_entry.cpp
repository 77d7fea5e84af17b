#include "adapters/upstream/upstream_entry.hpp"

#include "adapters/upstream/upstream_answers.hpp"
#include "adapters/upstream/upstream_endpoint.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;

namespace {

using steady = std::chrono::steady_clock;

// Connection set-ups at one time to one upstream; a set-up costs a server up
// to 6 ms, and a cold one must not get all of them at once.
constexpr std::size_t max_connecting = 4;

// The upstream enforces the deadline itself; this is the time that its answer
// may take to arrive.
constexpr duration deadline_margin = from_ms(50);

// A server that restarts closes all connections within this time. Replacements
// that were opened meanwhile do not tell that it is still the same process.
constexpr auto restart_window = std::chrono::milliseconds(100);

// Kept connections that a request tries before it fails.
constexpr std::uint32_t max_attempts = 3;

duration remaining(upstream_job const& it)
{
    return std::chrono::duration_cast<duration>(it.deadline - steady::now());
}

exchange_result unreachable()
{
    return exchange_failed{.fault = exchange_fault::closed, .sent = false};
}

} // namespace

upstream_entry::upstream_entry(asio::io_context& io,
                               upstream_pool_options const& options,
                               std::shared_ptr<upstream_counters> counters,
                               std::function<void()> on_connections_lost)
    : io_(io), options_(options), counters_(std::move(counters)),
      on_connections_lost_(std::move(on_connections_lost)),
      control_(std::make_shared<upstream_control>(io, options, counters_)),
      backoff_timer_(io), deadline_timer_(io)
{}

void upstream_entry::configure(set_connections const& request)
{
    max_ = request.max;
    warm_ = request.warm;
    if (request.address != address_) {
        address_ = request.address;
        endpoint_ = parse_endpoint(address_);
        backoff_ = connect_backoff();
        for (auto const& it : std::exchange(idle_, {})) {
            drop(it);
        }
        stale_ = all_;
    }
    control_->set_endpoint(max_ >= 2 ? endpoint_ : std::nullopt);
    close_surplus();
    pump();
}

std::size_t upstream_entry::request_connections() const
{
    return max_ >= 2 ? max_ - 1 : max_;
}

std::size_t upstream_entry::wanted() const
{
    auto const busy = all_.size() - idle_.size() - connecting_;
    return std::min(request_connections(),
                    std::max(warm_, busy + waiting_.size()));
}

void upstream_entry::add(upstream_job_ptr const& it)
{
    watch_deadline(*it);
    waiting_.push_back(it);
    pump();
}

void upstream_entry::pump()
{
    if (stopped_) {
        return; // by a callback
    }
    while (!waiting_.empty()) {
        auto const connection = take_idle();
        if (!connection) {
            break;
        }
        auto const it = waiting_.front();
        waiting_.pop_front();
        run(it, connection);
    }
    open_connections();
    if (all_.empty()) {
        fail_waiting();
    }
}

upstream_entry::connection_ptr upstream_entry::take_idle()
{
    while (!idle_.empty()) {
        auto it = idle_.back();
        idle_.pop_back();
        if (it->usable()) {
            return it;
        }
        drop(it);
        on_closed_by_server(*it);
    }
    return nullptr;
}

void upstream_entry::open_connections()
{
    while (all_.size() < wanted() && connecting_ < max_connecting) {
        if (backoff_.blocked()) {
            wait_for_backoff();
            return;
        }
        if (!endpoint_) {
            backoff_.failed();
            return;
        }
        open_connection();
    }
}

void upstream_entry::open_connection()
{
    auto const it =
        std::make_shared<client_connection>(io_, options_.max_answer);
    it->limit_memory(options_.memory);
    all_.insert(it);
    ++connecting_;
    ++counters_->connects;
    it->on_closed([weak = weak_from_this(), ptr = it.get()] {
        if (auto const self = weak.lock()) {
            self->on_idle_closed(ptr);
        }
    });
    it->connect(*endpoint_, options_.connect_timeout,
                [self = shared_from_this(), it](bool ok) {
                    self->on_connected(it, ok);
                });
}

void upstream_entry::wait_for_backoff()
{
    if (backoff_waiting_) {
        return;
    }
    backoff_waiting_ = true;
    backoff_timer_.expires_at(backoff_.until());
    backoff_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code) {
            self->backoff_waiting_ = false;
            if (!self->stopped_) {
                self->pump();
            }
        });
}

void upstream_entry::on_connected(connection_ptr const& it, bool ok)
{
    --connecting_;
    if (stopped_) {
        return;
    }
    if (ok) {
        give_back(it);
    }
    else {
        ++counters_->connect_failures;
        backoff_.failed();
        drop(it);
    }
    pump();
}

void upstream_entry::on_idle_closed(client_connection const* it)
{
    if (stopped_) {
        return;
    }
    auto const same = [it](auto const& c) { return c.get() == it; };
    std::erase_if(idle_, same);
    std::erase_if(stale_, same);
    std::erase_if(all_, same);
    if (it->exchanges() == 0) {
        // A server that accepts and closes would be tried in a loop.
        backoff_.failed();
    }
    on_closed_by_server(*it);
    pump();
}

// A server that ends idle connections one by one leaves those in use and those
// opened later; one that restarts leaves none. Connections with an open request
// report the loss as a reset.
void upstream_entry::on_closed_by_server(client_connection const& closed)
{
    auto const earlier = steady::now() - restart_window;
    auto const old = [earlier](client_connection const& it) {
        return it.connected_at() < earlier;
    };
    auto const remains =
        std::any_of(all_.begin(), all_.end(), [&](connection_ptr const& it) {
            return it->open() && old(*it);
        });
    if (old(closed) && !remains) {
        on_connections_lost_();
    }
}

void upstream_entry::close_surplus()
{
    while (all_.size() > request_connections() && !idle_.empty()) {
        auto const it = idle_.front();
        idle_.erase(idle_.begin());
        drop(it);
    }
}

// Without any connection, open or being opened, waiting has no use.
void upstream_entry::fail_waiting()
{
    for (auto const& it : std::exchange(waiting_, {})) {
        post_finish(it, unreachable());
    }
}

std::string upstream_entry::write(upstream_job const& it) const
{
    if (auto const* const query = std::get_if<sub_request>(&it.request)) {
        return write_search(*query, it.id, remaining(it), address_);
    }
    return write_execute(std::get<submit_forward>(it.request), it.id,
                         remaining(it), address_);
}

void upstream_entry::run(upstream_job_ptr const& it,
                         connection_ptr const& connection)
{
    ++counters_->requests;
    it->connection = connection;
    running_.insert(it);
    connection->expect_echo("x-request-id", std::to_string(it->id));
    connection->exchange(
        write(*it), false,
        [self = shared_from_this(), it, connection](exchange_result result) {
            self->on_result(it, connection, std::move(result));
        });
}

void upstream_entry::on_result(upstream_job_ptr const& it,
                               connection_ptr const& connection,
                               exchange_result result)
{
    if (stopped_) {
        return;
    }
    running_.erase(it);
    it->connection = nullptr;
    it->grace.cancel();
    give_back(connection);
    if (std::holds_alternative<http_response>(result)) {
        backoff_.succeeded();
    }
    if (it->given_up) {
        finish(it, job_cancelled{.sent = true});
    }
    else if (!try_again(it, result)) {
        finish(it, std::move(result));
    }
    pump();
}

void upstream_entry::give_back(connection_ptr const& connection)
{
    bool const stale = stale_.count(connection) > 0;
    if (!connection->open() || stale || all_.size() > request_connections()) {
        drop(connection);
        return;
    }
    idle_.push_back(connection);
}

// A kept connection turned out to be closed before any byte was sent.
bool upstream_entry::try_again(upstream_job_ptr const& it,
                               exchange_result const& result)
{
    auto const* const failed = std::get_if<exchange_failed>(&result);
    if (!failed || failed->sent || it->done) {
        return false;
    }
    if (it->cancelling) {
        finish(it, job_cancelled{.sent = false});
        return true;
    }
    if (++it->attempts >= max_attempts) {
        return false;
    }
    waiting_.push_front(it);
    return true;
}

// The timer stays set when the job of the earliest deadline has ended; it then
// fires once for nothing and looks for the next one.
void upstream_entry::watch_deadline(upstream_job const& it)
{
    auto const at = it.deadline + deadline_margin;
    if (deadline_at_ && *deadline_at_ <= at) {
        return;
    }
    deadline_at_ = at;
    deadline_timer_.expires_at(at);
    deadline_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec) {
            if (!ec && !self->stopped_) {
                self->on_deadline_timer();
            }
        });
}

void upstream_entry::on_deadline_timer()
{
    deadline_at_.reset();
    auto const now = steady::now();
    std::vector<upstream_job_ptr> due;
    auto const look = [&](upstream_job_ptr const& it) {
        if (it->done) {
            return;
        }
        if (it->deadline + deadline_margin <= now) {
            due.push_back(it);
        }
        else {
            watch_deadline(*it);
        }
    };
    std::for_each(waiting_.begin(), waiting_.end(), look);
    std::for_each(running_.begin(), running_.end(), look);
    for (auto const& it : due) {
        if (!it->done && !stopped_) {
            on_deadline(it);
        }
    }
}

void upstream_entry::on_deadline(upstream_job_ptr const& it)
{
    bool const sent = it->connection && it->connection->sent();
    std::erase(waiting_, it);
    if (it->connection && !it->cancelling) {
        cancel_sent(it);
    }
    finish(it, job_timed_out{.sent = sent});
}

void upstream_entry::cancel(upstream_job_ptr const& it)
{
    if (it->done || it->cancelling) {
        return;
    }
    if (!it->connection) {
        std::erase(waiting_, it);
        post_finish(it, job_cancelled{.sent = false});
        return;
    }
    cancel_sent(it);
}

void upstream_entry::cancel_sent(upstream_job_ptr const& it)
{
    it->cancelling = true;
    if (max_ < 2) {
        // There is no connection for a cancel.
        it->given_up = true;
        it->connection->close();
        return;
    }
    control_->cancel(write_cancel(it->id, address_));
    it->grace.expires_after(options_.cancel_grace);
    it->grace.async_wait(
        [self = shared_from_this(), it](boost::system::error_code ec) {
            if (!ec && it->connection && !self->stopped_) {
                it->given_up = true;
                it->connection->close();
            }
        });
}

void upstream_entry::status(std::function<void(http_response const&)> f)
{
    if (max_ >= 2) {
        control_->status(write_status_request(address_), std::move(f));
        return;
    }
    auto const connection = take_idle();
    if (!connection) {
        pump();
        return;
    }
    auto const timer =
        std::make_shared<asio::steady_timer>(io_, options_.status_timeout);
    timer->async_wait([connection, timer](boost::system::error_code ec) {
        if (!ec) {
            connection->close();
        }
    });
    connection->exchange(write_status_request(address_), false,
                         [self = shared_from_this(), connection, timer,
                          f = std::move(f)](exchange_result const& result) {
                             timer->cancel();
                             if (self->stopped_) {
                                 return;
                             }
                             self->give_back(connection);
                             if (auto const* const r =
                                     std::get_if<http_response>(&result)) {
                                 f(*r);
                             }
                             self->pump();
                         });
}

void upstream_entry::finish(upstream_job_ptr const& it, job_end end)
{
    if (it->done) {
        return;
    }
    it->done = true;
    auto const f = std::exchange(it->f, nullptr);
    f(std::move(end));
}

void upstream_entry::post_finish(upstream_job_ptr const& it, job_end end)
{
    asio::post(io_, [self = shared_from_this(), it, end = std::move(end)] {
        if (!self->stopped_) {
            self->finish(it, end);
        }
    });
}

void upstream_entry::drop(connection_ptr const& it)
{
    it->close();
    stale_.erase(it);
    all_.erase(it);
}

bool upstream_entry::unused() const
{
    return max_ == 0 && all_.empty() && waiting_.empty() && running_.empty();
}

void upstream_entry::stop()
{
    stopped_ = true;
    backoff_timer_.cancel();
    control_->close();
    deadline_timer_.cancel();
    for (auto const& it : std::exchange(waiting_, {})) {
        it->release();
    }
    for (auto const& it : std::exchange(running_, {})) {
        it->release();
    }
    idle_.clear();
    stale_.clear();
    for (auto const& it : std::exchange(all_, {})) {
        it->discard();
    }
}

} // namespace snipemill
