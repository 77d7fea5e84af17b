#include "core/accounts/cap_owner.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

// The messages between the owner of an account and its deputies, which decide
// who of them grants the part of a data centre.

namespace snipemill {

namespace {

// An account below this demand gets its whole rate from an owner that does not
// know whether deputies grant too: half of its rate, and at most this part of
// the tolerance, by which the sum may then exceed the cap.
constexpr double max_quiet_demand = 0.5;
constexpr double quiet_part = 0.1;

} // namespace

double cap_owner::busy_demand(usage_cap const& cap) const
{
    auto const window =
        std::chrono::duration<double>(settings_.tolerance.window).count();
    return std::min(max_quiet_demand * cap.rate,
                    quiet_part * tolerated_excess(settings_.tolerance, cap) /
                        window);
}

std::uint64_t cap_owner::send_contact(std::string const& account,
                                      fleet_host const& to, bool as_deputy)
{
    auto const number = std::uint64_t{settings_.run} << 32U | next_number_++;
    ++contacts_sent_;
    if (send_) {
        send_(to, {.account = account,
                   .host = settings_.host,
                   .number = number,
                   .wanted = 0,
                   .as_deputy = as_deputy});
    }
    return number;
}

bool cap_owner::grants_as_owner(roles const& role, time_point now) const
{
    return role.owner && !lapsed_ && now >= *role.owner + settings_.hold;
}

// An owner that may not grant by the cap yet does not end a take-over. A deputy
// answers no other owner than that of its own list: if the lists differ, two
// owners could hold the same part.
cap_grant cap_owner::on_contact_message(cap_request const& request,
                                        roles const& role, time_point now)
{
    cap_grant out{.account = request.account,
                  .host = settings_.host,
                  .number = request.number,
                  .outcome = cap_outcome::not_owner};
    if (!request.as_deputy) {
        if (grants_as_owner(role, now)) {
            out.outcome = cap_outcome::contact;
        }
        return out;
    }
    if (lapsed_ || role.owner_host.name != request.host) {
        return out;
    }
    out.outcome = cap_outcome::contact;
    on_owner_heard(request.account, now);
    auto const state = accounts_.find(request.account);
    if (state != accounts_.end() &&
        state->second.takeover.lasted_within(settings_.tolerance.window, now)) {
        out.room_after = settings_.tolerance.window;
    }
    return out;
}

void cap_owner::on_contact(cap_grant const& grant, time_point now)
{
    auto const role = roles_.find(grant.account);
    auto const it = accounts_.find(grant.account);
    if (grant.outcome != cap_outcome::contact || role == roles_.end() ||
        it == accounts_.end()) {
        return;
    }
    if (role->second.deputy && grant.host == role->second.owner_host.name) {
        on_owner_heard(grant.account, now);
    }
    auto& state = it->second;
    if (role->second.owner && state.bucket &&
        state.contacts.on_answer(grant.host, grant.number)) {
        withhold(role->second, state, grant.room_after == duration::zero(),
                 now);
    }
}

// Counts what is asked for, not what is granted: an owner that withholds most
// of the rate would take the account for a quiet one.
void cap_owner::contact_deputies(std::uint32_t wanted, roles const& role,
                                 entry& it, time_point now)
{
    auto& state = it.second;
    state.contacts.count_demand(wanted, now);
    if (state.contacts.demand(now) >= busy_demand(role.cap)) {
        state.contacts.send_due(now, [&](fleet_host const& to) {
            return send_contact(it.first, to, true);
        });
    }
    withhold(role, state, false, now);
}

// The burst is divided like the rate: the deputies' buckets hold their parts of
// it. keep: the tokens that were set aside for the part that returns were not
// granted by a deputy.
void cap_owner::withhold(roles const& role, account_state& state, bool keep,
                         time_point now)
{
    bool const busy = state.contacts.demand(now) >= busy_demand(role.cap);
    auto const part =
        busy && settings_.contact_valid
            ? state.contacts.unreached(*settings_.contact_valid, now)
            : 0;
    auto const before = std::exchange(state.withheld, part);
    if (part == before) {
        return;
    }
    auto const beyond =
        state.bucket->set_shape(owner_shape(role.cap, part), now);
    if (part > before) {
        state.set_aside += beyond;
        state.set_aside_at = now;
        return;
    }
    auto const returned = state.set_aside * (before - part) / before;
    state.set_aside -= returned;
    if (keep && now < state.set_aside_at + *settings_.contact_valid) {
        state.bucket->add(returned, now);
    }
}

std::optional<cap_grant> cap_owner::from_takeover(cap_request const& request,
                                                  roles const& role, entry& it,
                                                  time_point now)
{
    auto& takeover = it.second.takeover;
    bool const before = takeover.active();
    if (takeover.contact_due(now)) {
        send_contact(it.first, role.owner_host, false);
    }
    bucket_shape const shape{.rate = role.cap.rate * role.share,
                             .capacity =
                                 std::max(1.0, role.cap.burst * role.share)};
    auto* const bucket = takeover.bucket(shape, settings_.silence, now);
    report_takeover(it, before);
    if (!bucket) {
        return std::nullopt;
    }
    if (auto const n = bucket->take(request.wanted, now)) {
        granted_in_takeover_ += n;
        return cap_grant{.granted = n};
    }
    auto const room = std::min(bucket->room_at(now),
                               share_of(role, it.second, now).room_at(now));
    if (room == time_point::max()) {
        return std::nullopt;
    }
    return cap_grant{.outcome = cap_outcome::over_cap,
                     .room_after = room - now,
                     .retry_after = bucket->promise(request.wanted, now) - now,
                     .interval = bucket->interval()};
}

void cap_owner::on_owner_heard(std::string const& account, time_point now)
{
    auto const it = accounts_.find(account);
    if (it != accounts_.end()) {
        end_takeover(*it, now);
    }
}

void cap_owner::end_takeover(entry& it, time_point now)
{
    bool const before = it.second.takeover.active();
    it.second.takeover.on_heard(now);
    report_takeover(it, before);
}

void cap_owner::report_takeover(entry const& it, bool before)
{
    bool const active = it.second.takeover.active();
    auto const role = roles_.find(it.first);
    if (active != before && on_takeover_ && role != roles_.end()) {
        on_takeover_(it.first, role->second.owner_host.name, active);
    }
}

} // namespace snipemill
