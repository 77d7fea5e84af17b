#include "core/forward/crash_guard.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace snipemill {

upstream_id lifetime_id(upstream_record const& record)
{
    return upstream_id(static_cast<std::uint32_t>(hash_bytes(
        record.instance, static_cast<std::uint64_t>(record.started_ms))));
}

crash_guard::crash_guard(crash_guard_options o)
    : options_(std::move(o)), records_(options_.settings.records),
      answered_(options_.settings.answers), schedule_(options_.settings.trials)
{
    if (!options_.wall_clock_ms) {
        options_.wall_clock_ms = [] { return std::int64_t{0}; };
    }
}

void crash_guard::on_lost(fingerprint print, upstream_id upstream,
                          std::uint64_t run, time_point now)
{
    // A host of an older version relays queries without their fingerprints.
    if (print == fingerprint()) {
        return;
    }
    expire(now);
    if (answered_.contains(print, now)) {
        return;
    }
    unconfirmed_loss const it{
        .print = print, .upstream = upstream, .run = run, .at = now};
    if (ended_.contains(upstream)) {
        add(it, now);
        return;
    }
    if (unconfirmed_.size() >= options_.settings.max_unconfirmed) {
        unconfirmed_.pop_front();
    }
    unconfirmed_.push_back(it);
}

void crash_guard::on_ended(upstream_id upstream, time_point now)
{
    expire(now);
    ended_[upstream] = now;
    std::vector<unconfirmed_loss> confirmed;
    std::erase_if(unconfirmed_, [&](unconfirmed_loss const& it) {
        if (it.upstream != upstream) {
            return false;
        }
        confirmed.push_back(it);
        return true;
    });
    for (auto const& it : confirmed) {
        add(it, now);
    }
}

void crash_guard::add(unconfirmed_loss const& it, time_point now)
{
    if (it.run != 0) {
        if (std::find(counted_runs_.begin(), counted_runs_.end(), it.run) !=
            counted_runs_.end()) {
            return;
        }
        counted_runs_.push_back(it.run);
        if (counted_runs_.size() > options_.settings.max_counted_runs) {
            counted_runs_.pop_front();
        }
    }
    if (own_.size() >= options_.settings.records.max_entries) {
        own_.erase(own_.begin());
    }
    own_.push_back({.print = it.print,
                    .upstream = it.upstream,
                    .seen_ms = options_.wall_clock_ms()});
    note_news(own_.back(), now);
    records_.on_crash(now, it.print, it.upstream);
    if (options_.on_added) {
        options_.on_added(own_.back());
    }
}

void crash_guard::note_news(crash_entry const& entry, time_point now)
{
    auto& it = trials_[entry.print];
    it.news_at = now;
    if (entry.trial > it.made) {
        it.made = entry.trial;
        it.made_at = now;
    }
}

void crash_guard::on_answered(fingerprint print, bool success, time_point now)
{
    if (success) {
        answered_.add(print, now);
    }
    std::erase_if(unconfirmed_, [&](unconfirmed_loss const& it) {
        return it.print == print;
    });
    if (!records_.find(print)) {
        return;
    }
    records_.remove(print);
    trials_.erase(print);
    for (auto* const entries : {&own_, &shared_}) {
        std::erase_if(*entries, [&](crash_entry const& it) {
            if (it.print != print) {
                return false;
            }
            cleared_.push_back(it);
            if (options_.on_cleared) {
                options_.on_cleared(it);
            }
            return true;
        });
    }
}

void crash_guard::set_shared(std::vector<crash_entry> const& entries,
                             time_point now)
{
    auto const contains = [](std::vector<crash_entry> const& list,
                             crash_entry const& it) {
        return std::any_of(
            list.begin(), list.end(),
            [&](crash_entry const& other) { return it.same_crash(other); });
    };
    std::erase_if(cleared_, [&](crash_entry const& it) {
        return !contains(entries, it);
    });
    auto const former = std::exchange(shared_, entries);
    std::erase_if(
        shared_, [&](crash_entry const& it) { return contains(cleared_, it); });
    for (auto const& it : shared_) {
        if (!contains(former, it) && !contains(own_, it)) {
            note_news(it, now);
        }
        auto& trial = trials_[it.print];
        if (trial.claim == claim_state::unknown && it.host == options_.host &&
            it.trial == trial.claimed) {
            trial.claim = claim_state::granted;
        }
    }
    std::erase_if(own_,
                  [&](crash_entry const& it) { return contains(entries, it); });
    std::erase_if(trials_, [&](auto const& state) {
        auto const is_of = [&](crash_entry const& it) {
            return it.print == state.first;
        };
        return std::none_of(shared_.begin(), shared_.end(), is_of) &&
               std::none_of(own_.begin(), own_.end(), is_of);
    });
    rebuild(now);
}

void crash_guard::rebuild(time_point now)
{
    records_ = quarantine(options_.settings.records);
    auto const wall_ms = options_.wall_clock_ms();
    auto const expiry_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            options_.settings.records.expiry)
            .count();
    for (auto const* const entries : {&shared_, &own_}) {
        for (auto const& it : *entries) {
            if (it.trial > 0) {
                continue;
            }
            // Another writer may have put any number into the entry.
            auto const age_ms =
                it.seen_ms < 0 ? expiry_ms
                               : std::clamp<std::int64_t>(wall_ms - it.seen_ms,
                                                          0, expiry_ms);
            records_.merge(now, {.print = it.print,
                                 .upstreams = {it.upstream},
                                 .last_seen = now - from_ms(age_ms)});
        }
    }
}

crash_verdict crash_guard::verdict(fingerprint print, time_point now) const
{
    if (answered_.contains(print, now)) {
        return crash_verdict::clear;
    }
    if (records_.refused(now, print)) {
        return crash_verdict::refused;
    }
    auto const record = records_.find(print);
    bool const counted =
        record && !record->upstreams.empty() &&
        now < record->last_seen + options_.settings.records.expiry;
    return counted ? crash_verdict::suspect : crash_verdict::clear;
}

duration crash_guard::refused_for(fingerprint print, time_point now) const
{
    auto const record = records_.find(print);
    if (!record) {
        return duration::zero();
    }
    auto const expiry =
        record->last_seen + options_.settings.records.expiry - now;
    auto const it = trials_.find(print);
    if (it == trials_.end() || !options_.claim_trial) {
        return std::max(duration::zero(), expiry);
    }
    auto const& trial = it->second;
    auto const undecided = trial.made_at + schedule_.settings().first_delay;
    if (trial.claim == claim_state::asked ||
        trial.claim == claim_state::granted ||
        (trial.made > 0 && now < undecided)) {
        return duration::zero();
    }
    auto const next = schedule_.next(trial.made, trial.news_at, true);
    return std::max(duration::zero(), next ? *next - now : expiry);
}

duration crash_guard::claim_delay(fingerprint print) const
{
    auto const hash = hash_bytes(options_.host, print.value);
    auto const unit =
        static_cast<double>(hash) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return std::chrono::duration_cast<duration>(
        schedule_.settings().first_delay * unit);
}

bool crash_guard::take_trial(fingerprint print, std::size_t available,
                             time_point now)
{
    auto const it = trials_.find(print);
    if (it == trials_.end() || available == 0) {
        return false;
    }
    auto& trial = it->second;
    if (trial.claim == claim_state::granted) {
        trial.claim = claim_state::used;
        return true;
    }
    auto const at = schedule_.next(trial.made, trial.news_at, available > 1);
    if (!options_.claim_trial || trial.claim == claim_state::asked || !at ||
        now < *at + claim_delay(print)) {
        return false;
    }
    trial.claimed = trial.made + 1;
    trial.claim = claim_state::asked;
    options_.claim_trial({.print = print,
                          .seen_ms = options_.wall_clock_ms(),
                          .trial = trial.claimed,
                          .host = options_.host});
    return false;
}

void crash_guard::return_trial(fingerprint print)
{
    auto const it = trials_.find(print);
    if (it != trials_.end() && it->second.claim == claim_state::used) {
        it->second.claim = claim_state::granted;
    }
}

void crash_guard::on_claimed(crash_entry const& entry, bool created,
                             time_point now)
{
    auto const it = trials_.find(entry.print);
    if (it == trials_.end()) {
        // The request has been answered meanwhile.
        if (created && options_.on_cleared) {
            options_.on_cleared(entry);
        }
        return;
    }
    auto& trial = it->second;
    if (trial.claim != claim_state::asked || trial.claimed != entry.trial) {
        return;
    }
    if (!created) {
        trial.claim = claim_state::unknown;
        trial.news_at = now; // the next claim waits
        return;
    }
    trial.claim = claim_state::granted;
    note_news(entry, now);
    auto const shown = [&](crash_entry const& other) {
        return entry.same_crash(other);
    };
    if (std::none_of(shared_.begin(), shared_.end(), shown)) {
        own_.push_back(entry);
    }
}

void crash_guard::expire(time_point now)
{
    auto const oldest = now - options_.settings.confirm_within;
    while (!unconfirmed_.empty() && unconfirmed_.front().at < oldest) {
        unconfirmed_.pop_front();
    }
    std::erase_if(ended_, [&](auto const& it) { return it.second < oldest; });
}

} // namespace snipemill
