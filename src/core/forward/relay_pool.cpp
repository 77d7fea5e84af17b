#include "core/forward/relay_pool.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace snipemill {

relay_pool::relay_pool(relay_pool_settings settings, relay_port& port,
                       std::uint64_t seed, state_callback on_state)
    : settings_(std::move(settings)), port_(port), random_(seed),
      on_state_(std::move(on_state))
{}

relay_pool::~relay_pool()
{
    set_relays({}, {});
}

void relay_pool::set_relays(std::vector<fleet_host> const& hosts,
                            time_point now)
{
    std::vector<relay_ptr> updated;
    for (auto const& host : hosts) {
        auto const old =
            std::find_if(relays_.begin(), relays_.end(),
                         [&](relay_ptr const& it) { return it->host == host; });
        if (old != relays_.end()) {
            updated.push_back(std::move(*old));
            relays_.erase(old);
        }
        else {
            updated.push_back(std::make_shared<relay_state>(
                relay_state{.host = host, .next_probe_at = now}));
        }
    }
    for (auto const& it : relays_) {
        it->usable = false;
        if (it->probe) {
            it->probe->cancel();
        }
    }
    relays_ = std::move(updated);
}

relay_ptr relay_pool::choose(std::vector<relay_ptr> const& exclude)
{
    relay_ptr best;
    auto best_load = std::numeric_limits<double>::max();
    for (auto const& it : relays_) {
        if (!it->usable ||
            std::find(exclude.begin(), exclude.end(), it) != exclude.end()) {
            continue;
        }
        auto load =
            (it->open + random_.unit()) / std::max(0.01, it->host.cores);
        if (it->host.data_centre != settings_.data_centre) {
            load += settings_.remote_penalty;
        }
        if (load < best_load) {
            best = it;
            best_load = load;
        }
    }
    return best;
}

void relay_pool::set_usable(relay_state& it, bool usable)
{
    if (it.usable != usable) {
        it.usable = usable;
        on_state_(it);
    }
}

void relay_pool::mark_failed(relay_state& it, time_point now)
{
    set_usable(it, false);
    it.next_probe_at =
        std::min(it.next_probe_at, now + settings_.failed_probe_interval);
}

void relay_pool::start_probe(relay_ptr const& it, time_point now)
{
    it->probe_deadline = now + settings_.probe_timeout;
    it->probe_postponed = false;
    it->next_probe_at = now + settings_.probe_interval;
    it->probe = port_.probe(
        it->host, [this, weak = std::weak_ptr(it)](relay_event const& event) {
            if (auto const relay = weak.lock()) {
                relay->probe = nullptr;
                on_probed(*relay, event);
            }
        });
}

void relay_pool::on_probed(relay_state& it, relay_event const& event)
{
    auto const* const refused = std::get_if<relay_refused>(&event);
    it.cut_off = refused && refused->reason == relay_refusal::cut_off;
    it.probe_failed = std::holds_alternative<relay_lost>(event);
    set_usable(it, std::holds_alternative<relay_accepted>(event));
}

bool relay_pool::cut_off() const
{
    auto const none_usable =
        std::none_of(relays_.begin(), relays_.end(),
                     [](auto const& it) { return it->usable; });
    if (!none_usable || relays_.empty()) {
        return false;
    }
    bool const none_answers =
        std::all_of(relays_.begin(), relays_.end(), [this](auto const& it) {
            return it->probe_failed &&
                   it->host.data_centre != settings_.data_centre;
        });
    return none_answers ||
           std::any_of(relays_.begin(), relays_.end(),
                       [](auto const& it) { return it->cut_off; });
}

void relay_pool::on_probe_timeout(relay_state& it, time_point now)
{
    if (!it.probe_postponed && was_delayed(it.probe_deadline, now)) {
        it.probe_postponed = true;
        it.probe_deadline = now + settings_.postpone_time;
        return;
    }
    std::exchange(it.probe, nullptr)->cancel();
    it.cut_off = false;
    it.probe_failed = true;
    mark_failed(it, now);
}

time_point relay_pool::probe(time_point now)
{
    auto next_call = now + settings_.probe_interval;
    for (auto const& it : relays_) {
        if (it->probe && now >= it->probe_deadline) {
            on_probe_timeout(*it, now);
        }
        if (!it->probe && now >= it->next_probe_at) {
            start_probe(it, now);
        }
        next_call = std::min(next_call, it->probe ? it->probe_deadline
                                                  : it->next_probe_at);
    }
    return next_call;
}

} // namespace snipemill
