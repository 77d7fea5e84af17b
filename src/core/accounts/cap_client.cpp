#include "core/accounts/cap_client.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace snipemill {

namespace {

// Time over which arrivals are averaged.
constexpr double arrival_period_s = 1;

// Part of the arrivals that are expected within the lifetime of tokens that is
// asked for in advance. Tokens that expire unused are lost to the account.
constexpr double advance_ratio = 0.5;

// Part of the tolerance that tokens spent late may use in a window.
constexpr double late_part = 0.1;

// Below this a grant would expire on its way.
constexpr duration min_lifetime = from_ms(50);

// Retry-After when nobody could grant. A killed host is back or replaced in
// the list of hosts later than that, but the caller may reach another host.
constexpr duration ungranted_retry_after = from_ms(300);

// Later times are of no use to callers, and a crowd of refused requests must
// not drive the times of the next minutes.
constexpr duration max_promise = from_ms(20'000);

// Idle accounts are evicted after this time.
constexpr duration idle_time = from_ms(60'000);

} // namespace

cap_client::cap_client(cap_client_settings settings, send_callback send)
    : settings_(std::move(settings)), send_(std::move(send))
{}

void cap_client::set_plan(cap_plan plan)
{
    for (auto& [name, state] : accounts_) {
        auto const* const before = plan_.find(name);
        auto const* const after = plan.find(name);
        if (!before || !after || before->cap != after->cap ||
            before->owner.name != after->owner.name) {
            state.refused = {};
        }
    }
    plan_ = std::move(plan);
}

std::uint64_t cap_client::admit(std::string const& account, time_point end,
                                time_point now, decide_callback f)
{
    auto const number = next_number_++;
    if (!plan_.find(account)) {
        f({}); // the manifest in force sets no limit
        return number;
    }
    evict(now);
    auto& it = *accounts_.try_emplace(account).first;
    auto& state = it.second;
    count_arrival(state, now);
    if (state.waiting.empty() && take_token(state, now)) {
        f({.owner = state.refused.owner});
        return number;
    }
    if (now < state.refused.until) {
        f({.reason = cap_reason::refused_before,
           .retry_after = promise(state.refused) - now,
           .owner = state.refused.owner,
           .basis_age = now - state.refused.asked});
        return number;
    }
    wake_at_ = std::min(waiting_ == 0 ? time_point::max() : wake_at_, end);
    state.waiting.push_back(
        {.number = number, .end = end, .decide = std::move(f)});
    ++waiting_;
    if (!state.current) {
        ask_for(it, now);
    }
    return number;
}

void cap_client::cancel(std::string const& account, std::uint64_t number)
{
    auto const it = accounts_.find(account);
    if (it == accounts_.end()) {
        return;
    }
    waiting_ -= std::erase_if(it->second.waiting, [&](waiter const& w) {
        return w.number == number;
    });
    shelve_unused(it->second);
}

bool cap_client::take_token(account_state& state, time_point now)
{
    std::erase_if(state.lots, [now](lot const& it) {
        return it.tokens == 0 || now >= it.expires;
    });
    if (state.lots.empty()) {
        return false;
    }
    --state.lots.front().tokens;
    return true;
}

void cap_client::count_arrival(account_state& state, time_point now)
{
    auto const passed = std::chrono::duration<double>(now - state.used).count();
    state.arrivals = state.arrivals * std::exp(-passed / arrival_period_s) + 1;
    state.used = now;
}

// The next of the times at which refused callers return.
time_point cap_client::promise(refusal& it)
{
    auto const promised = std::max(it.next, it.until);
    if (promised > it.until + max_promise) {
        it.next = it.until + it.interval;
        return it.until;
    }
    it.next = promised + it.interval;
    return promised;
}

// A request that no caller waits for is neither repeated nor given up on.
void cap_client::shelve_unused(account_state& state)
{
    if (state.waiting.empty() && state.current) {
        state.earlier.push_back(*std::exchange(state.current, std::nullopt));
    }
}

// What is granted in a lifetime may be spent in the next window.
duration cap_client::lifetime_of(usage_cap const& cap) const
{
    if (!cap.limited()) {
        return settings_.lifetime;
    }
    auto const seconds =
        late_part * tolerated_excess(settings_.tolerance, cap) / cap.rate;
    auto const longest = std::chrono::duration<double>(settings_.lifetime);
    return std::max(min_lifetime,
                    std::chrono::duration_cast<duration>(std::min(
                        longest, std::chrono::duration<double>(seconds))));
}

bool cap_client::is_avoided(fleet_host const& host, time_point now) const
{
    auto const it = avoided_.find(host.name);
    return it != avoided_.end() && now < it->second;
}

void cap_client::ask_for(entry& it, time_point now)
{
    auto const* const grantors = plan_.find(it.first);
    if (!grantors || grantors->owner.name.empty()) {
        refuse_waiting(it, {.reason = cap_reason::no_grantor,
                            .retry_after = ungranted_retry_after});
        return;
    }
    auto const& deputy = grantors->deputy;
    bool const deputy_first = is_avoided(grantors->owner, now) &&
                              !deputy.name.empty() && !is_avoided(deputy, now);
    ask_host(it, deputy_first ? deputy : grantors->owner, deputy_first, now);
}

void cap_client::ask_host(entry& it, fleet_host const& to, bool as_deputy,
                          time_point now)
{
    auto& state = it.second;
    if (state.current) {
        state.earlier.push_back(*std::exchange(state.current, std::nullopt));
    }
    std::erase_if(state.earlier,
                  [&](ask const& a) { return now >= a.expires; });
    auto const* const grantors = plan_.find(it.first);
    auto const lifetime = lifetime_of(grantors ? grantors->cap : usage_cap());
    auto const seconds = std::chrono::duration<double>(lifetime).count();
    auto const advance =
        std::floor(state.arrivals / arrival_period_s * seconds * advance_ratio);
    cap_request request{
        .account = it.first,
        .host = settings_.host,
        .number = std::uint64_t{settings_.run} << 32U | next_request_++,
        .wanted = static_cast<std::uint32_t>(state.waiting.size()) +
                  static_cast<std::uint32_t>(advance),
        .as_deputy = as_deputy};
    state.current = ask{.request = request,
                        .to = to,
                        .sent = now,
                        .expires = now + lifetime,
                        .due = now + settings_.repeat};
    wake_at_ = std::min(wake_at_, now + settings_.repeat);
    ++requests_sent_;
    // May answer at once; the state must not be used after it.
    send_(to, request);
}

// reason, retry_after: of the refusal if there is no deputy.
void cap_client::ask_deputy(entry& it, cap_reason reason, duration retry_after,
                            time_point now)
{
    auto const* const grantors = plan_.find(it.first);
    if (grantors && !grantors->deputy.name.empty()) {
        ask_host(it, grantors->deputy, true, now);
        return;
    }
    refuse_waiting(it,
                   {.reason = reason,
                    .retry_after = std::max(retry_after, ungranted_retry_after),
                    .owner = grantors ? grantors->owner.name : ""});
}

void cap_client::on_grant(cap_grant const& grant, time_point now)
{
    auto const found = accounts_.find(grant.account);
    if (found == accounts_.end()) {
        return;
    }
    auto& it = *found;
    auto& state = it.second;
    std::optional<ask> asked;
    bool const is_current =
        state.current && state.current->request.number == grant.number;
    if (is_current) {
        asked = std::exchange(state.current, std::nullopt);
    }
    else {
        auto const match = std::find_if(
            state.earlier.begin(), state.earlier.end(),
            [&](ask const& a) { return a.request.number == grant.number; });
        if (match == state.earlier.end()) {
            return;
        }
        asked = *match;
        state.earlier.erase(match);
    }
    avoided_.erase(asked->to.name);
    if (grant.outcome == cap_outcome::granted) {
        if (now < asked->expires) {
            state.lots.push_back(
                {.tokens = grant.granted, .expires = asked->expires});
        }
        admit_waiting(it, now);
    }
    else if (is_current || grant.outcome == cap_outcome::over_cap) {
        on_refused(it, *asked, grant, now);
    }
}

void cap_client::admit_waiting(entry& it, time_point now)
{
    auto& state = it.second;
    std::vector<waiter> admitted;
    while (!state.waiting.empty() && take_token(state, now)) {
        admitted.push_back(std::move(state.waiting.front()));
        state.waiting.pop_front();
        --waiting_;
    }
    if (!state.waiting.empty() && !state.current) {
        ask_for(it, now);
    }
    shelve_unused(state);
    for (auto const& w : admitted) {
        w.decide({});
    }
}

void cap_client::on_refused(entry& it, ask const& asked, cap_grant const& grant,
                            time_point now)
{
    switch (grant.outcome) {
    case cap_outcome::over_cap:
        refuse_over_cap(it, asked, grant, now);
        return;
    case cap_outcome::granted:
    case cap_outcome::contact: // answers no request of a client
        return;
    case cap_outcome::not_owner:
    case cap_outcome::no_tolerance:
        break;
    }
    auto const reason = grant.outcome == cap_outcome::no_tolerance
                            ? cap_reason::no_tolerance
                            : cap_reason::no_grantor;
    if (!asked.request.as_deputy) {
        ask_deputy(it, reason, grant.retry_after, now);
        return;
    }
    refuse_waiting(
        it, {.reason = reason,
             .retry_after = std::max(grant.retry_after, ungranted_retry_after),
             .owner = grant.host,
             .basis_age = now - asked.sent});
}

void cap_client::refuse_over_cap(entry& it, ask const& asked,
                                 cap_grant const& grant, time_point now)
{
    auto& state = it.second;
    state.refused = {.until = now + grant.room_after,
                     .next = now + grant.retry_after,
                     .interval = grant.interval,
                     .owner = grant.host,
                     .asked = asked.sent};
    auto const refused = take_waiting(state);
    std::vector<duration> times;
    times.reserve(refused.size());
    for (std::size_t i = 0; i < refused.size(); ++i) {
        times.push_back(promise(state.refused) - now);
    }
    for (std::size_t i = 0; i < refused.size(); ++i) {
        refused[i].decide({.reason = cap_reason::owner_refused,
                           .retry_after = times[i],
                           .owner = grant.host,
                           .basis_age = now - asked.sent});
    }
}

std::deque<cap_client::waiter> cap_client::take_waiting(account_state& state)
{
    auto out = std::exchange(state.waiting, {});
    waiting_ -= out.size();
    shelve_unused(state);
    return out;
}

void cap_client::refuse_waiting(entry& it, cap_decision const& decision)
{
    for (auto const& w : take_waiting(it.second)) {
        w.decide(decision);
    }
}

// Decided requests may bring the next ones of their callers, so no reference
// into the table is kept over a decision.
std::vector<cap_client::entry*> cap_client::waiting_accounts()
{
    std::vector<entry*> out;
    for (auto& it : accounts_) {
        if (!it.second.waiting.empty()) {
            out.push_back(&it);
        }
    }
    return out;
}

void cap_client::on_timer(time_point now)
{
    for (auto* const it : waiting_accounts()) {
        if (it->second.current && it->second.current->due <= now) {
            on_overdue(*it, now);
        }
    }
    for (auto* const it : waiting_accounts()) {
        time_out_waiting(*it, now);
    }
    find_wake_time();
}

void cap_client::time_out_waiting(entry& it, time_point now)
{
    auto& waiting = it.second.waiting;
    auto const late =
        std::stable_partition(waiting.begin(), waiting.end(),
                              [now](waiter const& w) { return now < w.end; });
    std::vector<waiter> over(std::make_move_iterator(late),
                             std::make_move_iterator(waiting.end()));
    waiting.erase(late, waiting.end());
    waiting_ -= over.size();
    shelve_unused(it.second);
    for (auto const& w : over) {
        w.decide({.reason = cap_reason::deadline});
    }
}

void cap_client::on_overdue(entry& it, time_point now)
{
    auto& current = *it.second.current;
    if (!current.repeated) {
        current.repeated = true;
        current.due = now + settings_.repeat;
        ++requests_sent_;
        auto const to = current.to;
        auto const request = current.request;
        send_(to, request);
        return;
    }
    avoided_[current.to.name] = now + settings_.avoid;
    if (!current.request.as_deputy) {
        ask_deputy(it, cap_reason::no_response, {}, now);
        return;
    }
    cap_decision const decision{.reason = cap_reason::no_response,
                                .retry_after = ungranted_retry_after,
                                .owner = current.to.name,
                                .basis_age = now - current.sent};
    refuse_waiting(it, decision);
}

std::optional<time_point> cap_client::next_timer() const
{
    return waiting_ != 0 ? std::optional(wake_at_) : std::nullopt;
}

void cap_client::find_wake_time()
{
    wake_at_ = time_point::max();
    for (auto const* const it : waiting_accounts()) {
        for (auto const& w : it->second.waiting) {
            wake_at_ = std::min(wake_at_, w.end);
        }
        if (it->second.current) {
            wake_at_ = std::min(wake_at_, it->second.current->due);
        }
    }
}

void cap_client::end_all()
{
    for (auto* const it : waiting_accounts()) {
        refuse_waiting(*it, {.reason = cap_reason::stopping});
    }
}

void cap_client::evict(time_point now)
{
    if (now < evicted_ + idle_time) {
        return;
    }
    evicted_ = now;
    std::erase_if(accounts_, [now](auto const& it) {
        return it.second.waiting.empty() && now >= it.second.used + idle_time;
    });
    std::erase_if(avoided_, [now](auto const& it) { return now >= it.second; });
}

} // namespace snipemill
