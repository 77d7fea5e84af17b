#include "adapters/forward/upstream_links.hpp"

#include "adapters/forward/forward_text.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;

namespace {

// Bounds of what is noted of malformed load reports.
constexpr duration malformed_load_interval = from_ms(10'000);
constexpr std::size_t max_noted_value = 64; // bytes

// Returns the timeout of a Keep-Alive header such as "timeout=5, max=100" (in
// seconds), or zero when there is none.
duration advertised_idle_timeout(http_response const& answer)
{
    constexpr std::string_view key = "timeout=";
    for (auto const& [name, value] : answer.headers) {
        if (name != "keep-alive") {
            continue;
        }
        auto const at = value.find(key);
        std::int64_t seconds = 0;
        if (at != std::string::npos) {
            std::from_chars(value.data() + at + key.size(),
                            value.data() + value.size(), seconds);
        }
        return from_ms(1000 * seconds);
    }
    return duration::zero();
}

} // namespace

upstream_links::upstream_links(asio::io_context& io, upstream_fleet& fleet,
                               forward_headers const& names,
                               upstream_links_settings const& settings,
                               std::function<time_point()> now,
                               reach_callback on_reach)
    : io_(io), fleet_(fleet), names_(names), settings_(settings),
      now_(std::move(now)), on_reach_(std::move(on_reach)), release_timer_(io),
      memory_(settings_.memory ? settings_.memory
                               : std::make_shared<receive_budget>(
                                     settings_.max_total_answer_bytes))
{}

upstream_links::~upstream_links()
{
    *alive_ = false;
    for (auto& [id, it] : exchanges_) {
        if (it.connection) {
            it.connection->discard();
        }
    }
    for (auto& [to, it] : links_) {
        for (auto const& idle : it->idle) {
            idle.connection->discard();
        }
        // The callback of a connection that is being set up owns its link, and
        // the link owns the connection. Clearing the list breaks the cycle.
        for (auto const& open : std::exchange(it->connecting, {})) {
            open->discard();
        }
    }
}

upstream_links::link_ptr const& upstream_links::link_of(upstream_ptr const& to)
{
    auto& it = links_[to.get()];
    if (!it) {
        it = std::make_shared<upstream_link>(io_);
        it->to = to;
        it->idle_timeout = settings_.idle_timeout;
    }
    return it;
}

void upstream_links::add(upstream_ptr const& to)
{
    auto const it = link_of(to);
    if (!to->leaving() && !to->evacuated && !it->timer_set &&
        it->connecting.empty() && to->in_flight() == 0 && it->idle.empty()) {
        connect(it);
    }
}

void upstream_links::remove(upstream_ptr const& to)
{
    auto const found = links_.find(to.get());
    if (found == links_.end()) {
        return;
    }
    auto const it = found->second;
    it->removed = true;
    it->timer.cancel();
    for (auto const& idle : it->idle) {
        idle.connection->discard();
    }
    it->idle.clear();
    fail_waiting(it);
    erase_if_unused(it);
}

void upstream_links::end_waiting_for_leaving()
{
    for (auto const& [to, it] : links_) {
        if (to->leaving() || to->evacuated) {
            fail_waiting(it);
        }
    }
}

// Erases a removed link that has no exchange in flight and no connection being
// set up.
void upstream_links::erase_if_unused(link_ptr const& it)
{
    if (it->removed && it->to->in_flight() == 0 && it->connecting.empty()) {
        links_.erase(it->to.get());
    }
}

void upstream_links::connect(link_ptr const& it)
{
    boost::system::error_code ec;
    auto const address = asio::ip::make_address(it->to->record.ip, ec);
    if (ec) {
        on_connect_failed(it);
        return;
    }
    ++counters_.connects;
    auto const connection =
        std::make_shared<client_connection>(io_, settings_.max_answer_bytes);
    connection->limit_silence(settings_.silence_limit);
    connection->limit_memory(memory_);
    it->connecting.push_back(connection);
    connection->connect(
        {address, it->to->record.port}, settings_.connect_timeout,
        [this, alive = alive_, it, weak = std::weak_ptr(connection),
         start = now_()](bool ok) {
            auto const open = weak.lock();
            if (*alive && open) {
                on_connected(it, open, ok, now_() - start);
            }
        });
}

void upstream_links::on_connected(link_ptr const& it,
                                  connection_ptr const& connection, bool ok,
                                  duration elapsed)
{
    std::erase(it->connecting, connection);
    if (!ok) {
        ++counters_.connect_failures;
        on_connect_failed(it);
        erase_if_unused(it);
        return;
    }
    set_reachable(*it, true);
    fleet_.on_connected(*it->to, elapsed, now_());
    // An idle connection that the upstream closes is replaced when a request
    // needs one. A reconnect is scheduled only for the last idle connection.
    connection->on_closed([this, alive = alive_, weak = std::weak_ptr(it),
                           ptr = connection.get()] {
        auto const link = weak.lock();
        if (!*alive || !link) {
            return;
        }
        std::erase_if(link->idle, [ptr](idle_connection const& c) {
            return c.connection.get() == ptr;
        });
        if (link->idle.empty()) {
            schedule_reconnect(link);
        }
    });
    if (!it->waiting.empty()) {
        auto const id = it->waiting.front();
        it->waiting.pop_front();
        start_exchange(it, id, connection);
        return;
    }
    if (it->removed) {
        connection->discard();
        erase_if_unused(it);
        return;
    }
    it->idle.push_back({connection, now_()});
}

void upstream_links::on_connect_failed(link_ptr const& it)
{
    set_reachable(*it, false);
    fail_waiting(it);
    schedule_reconnect(it);
}

void upstream_links::schedule_reconnect(link_ptr const& it)
{
    auto const& to = *it->to;
    if (it->timer_set || it->removed || to.leaving() || to.evacuated) {
        return;
    }
    it->timer_set = true;
    if (std::exchange(it->answered_since_failure, false)) {
        it->reconnect_delay = duration::zero();
    }
    auto const max_delay = to.reach == reachability::unreachable
                               ? settings_.max_reconnect_delay
                               : settings_.max_rejected_delay;
    it->reconnect_delay = std::clamp(it->reconnect_delay * 2,
                                     settings_.min_reconnect_delay, max_delay);
    it->timer.expires_after(it->reconnect_delay);
    it->timer.async_wait(
        [this, alive = alive_, it](boost::system::error_code ec) {
            if (!*alive) {
                return;
            }
            it->timer_set = false;
            if (!ec) {
                reconnect(it);
            }
        });
}

void upstream_links::reconnect(link_ptr const& it)
{
    auto& to = *it->to;
    if (it->removed || !it->idle.empty() || !it->connecting.empty() ||
        to.leaving() || to.evacuated) {
        return;
    }
    if (std::exchange(it->check_after_loss, false) || to.in_subset) {
        connect(it);
    }
    else if (to.reach == reachability::unreachable) {
        // No connection is opened to upstreams outside the subset; the next
        // request to this upstream tries to connect.
        to.reach = reachability::unknown;
    }
}

void upstream_links::set_reachable(upstream_link& it, bool reachable)
{
    auto& to = *it.to;
    auto const before = to.reach;
    if (reachable) {
        to.connected(now_());
        fleet_.mark_responsive(to);
    }
    else {
        to.reach = reachability::unreachable;
        for (auto const& idle : it.idle) {
            idle.connection->discard();
        }
        it.idle.clear();
    }
    if (before != to.reach && on_reach_) {
        on_reach_(to, reachable);
    }
}

exchange_id upstream_links::send(upstream_ptr to,
                                 std::shared_ptr<forward_request const> request,
                                 time_point deadline,
                                 std::function<void(exchange_outcome)> f)
{
    auto const id = next_id_++;
    auto const it = link_of(to);
    auto const connection = take_idle(*it, request->id);
    exchanges_.emplace(id, exchange{.to = std::move(to),
                                    .request = std::move(request),
                                    .deadline = deadline,
                                    .f = std::move(f)});
    if (connection) {
        start_exchange(it, id, connection);
        return id;
    }
    it->waiting.push_back(id);
    if (it->connecting.size() < it->waiting.size()) {
        connect(it);
    }
    return id;
}

void upstream_links::start_exchange(link_ptr const& it, exchange_id id,
                                    connection_ptr const& connection)
{
    auto& open = exchanges_.at(id);
    open.connection = connection;
    ++counters_.exchanges;
    auto const time_left = open.deadline - now_();
    connection->expect_echo(names_.request_id, open.request->id,
                            std::chrono::steady_clock::now() + time_left);
    connection->exchange(
        write_upstream_request(*open.request, names_, time_left,
                               it->to->record.instance),
        open.request->method == "HEAD",
        [this, alive = alive_, it, id, connection](exchange_result result) {
            if (*alive) {
                on_result(it, id, connection, std::move(result));
            }
        });
}

void upstream_links::on_result(link_ptr const& it, exchange_id id,
                               connection_ptr const& connection,
                               exchange_result result)
{
    counters_.late_answers += connection->take_late_answers();
    counters_.invalid_statuses += connection->take_invalid_statuses();
    reuse_or_reconnect(it, connection, result);
    if (auto* const answer = std::get_if<http_response>(&result)) {
        auto out = read_upstream_answer(std::move(*answer), names_);
        note_malformed_load(*it->to, out);
        complete_exchange(id, std::move(out));
    }
    else if (!std::get<exchange_failed>(result).sent) {
        complete_exchange(id, exchange_not_sent{});
    }
    else {
        ++counters_.lost;
        it->check_after_loss = !exchanges_.at(id).aborted;
        complete_exchange(
            id, exchange_lost{.closed_by_host = exchanges_.at(id).aborted});
    }
    erase_if_unused(it);
}

void upstream_links::note_malformed_load(upstream_view const& from,
                                         upstream_answer const& answer)
{
    if (!answer.signals.malformed_load) {
        return;
    }
    ++counters_.malformed_loads;
    auto const now = now_();
    if (!on_malformed_load_ ||
        (malformed_load_noted_at_ &&
         now - *malformed_load_noted_at_ < malformed_load_interval)) {
        return;
    }
    malformed_load_noted_at_ = now;
    for (auto const& [name, value] : answer.headers) {
        if (name == names_.load) {
            on_malformed_load_(
                from, std::string_view(value).substr(0, max_noted_value));
            return;
        }
    }
}

// Uses the connection of an ended exchange for the next waiting one, adds the
// connection to the idle ones, or schedules a reconnect when it is closed.
void upstream_links::reuse_or_reconnect(link_ptr const& it,
                                        connection_ptr const& connection,
                                        exchange_result const& result)
{
    if (auto const* const answer = std::get_if<http_response>(&result)) {
        it->answered_since_failure = true;
        auto const stated = advertised_idle_timeout(*answer);
        if (stated > duration::zero()) {
            it->idle_timeout = std::chrono::duration_cast<duration>(
                stated * settings_.idle_timeout_ratio);
        }
    }
    if (!connection->open()) {
        if (it->idle.empty()) {
            schedule_reconnect(it);
        }
        return;
    }
    if (it->removed || it->to->leaving() || it->to->evacuated) {
        connection->discard();
        return;
    }
    if (auto const waiting = take_waiting(*it, *connection)) {
        auto const next = *waiting;
        // Posted, because a new exchange must not start inside the callback of
        // the connection's previous one.
        asio::post(io_, [this, alive = alive_, it, next, connection] {
            if (!*alive) {
                return;
            }
            auto const open = exchanges_.find(next);
            if (open == exchanges_.end() || open->second.aborted) {
                // release() was called before this handler ran.
                add_idle(it, connection);
                return;
            }
            if (connection->usable()) {
                start_exchange(it, next, connection);
                return;
            }
            it->waiting.push_front(next);
            connect(it);
        });
        return;
    }
    add_idle(it, connection);
}

void upstream_links::complete_exchange(exchange_id id, exchange_outcome outcome)
{
    auto node = exchanges_.extract(id);
    if (!node.empty()) {
        node.mapped().f(std::move(outcome));
    }
}

// Posts the callbacks, because send() must not call them before it returns.
void upstream_links::fail_waiting(link_ptr const& it)
{
    auto const waiting = std::exchange(it->waiting, {});
    for (auto const id : waiting) {
        asio::post(io_, [this, alive = alive_, it, id] {
            if (*alive) {
                complete_exchange(id, exchange_not_sent{});
                erase_if_unused(it);
            }
        });
    }
}

void upstream_links::release(exchange_id id, time_point close_at)
{
    auto const it = exchanges_.find(id);
    if (it == exchanges_.end()) {
        return;
    }
    if (!it->second.connection) {
        it->second.aborted = true;
        auto const link = links_.find(it->second.to.get());
        if (link != links_.end()) {
            std::erase(link->second->waiting, id);
        }
        asio::post(io_, [this, alive = alive_, id] {
            if (*alive) {
                complete_exchange(id, exchange_not_sent{});
            }
        });
        return;
    }
    releases_.emplace(close_at, id);
    arm_release_timer();
}

void upstream_links::arm_release_timer()
{
    if (releases_.empty() || release_at_ <= releases_.begin()->first) {
        return;
    }
    release_at_ = releases_.begin()->first;
    release_timer_.expires_after(
        std::max(duration::zero(), release_at_ - now_()));
    release_timer_.async_wait(
        [this, alive = alive_](boost::system::error_code ec) {
            if (*alive && !ec) {
                release_at_ = time_point::max();
                on_release_timer();
            }
        });
}

void upstream_links::on_release_timer()
{
    auto const now = now_();
    while (!releases_.empty() && releases_.begin()->first <= now) {
        auto const it = exchanges_.find(releases_.begin()->second);
        releases_.erase(releases_.begin());
        if (it == exchanges_.end()) {
            continue;
        }
        auto const to = it->second.to;
        it->second.aborted = true;
        auto const silent = to->unresponsive_for(now);
        it->second.connection->close();
        auto const link = links_.find(to.get());
        if (link != links_.end() &&
            silent >= fleet_.settings().unreachable_timeout) {
            // Only a new connection shows whether the upstream is reachable.
            set_reachable(*link->second, false);
            schedule_reconnect(link->second);
        }
    }
    arm_release_timer();
}

} // namespace snipemill
