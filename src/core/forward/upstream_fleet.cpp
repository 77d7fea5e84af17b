#include "core/forward/upstream_fleet.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace snipemill {

namespace {

// Part of an upstream's connections, and of its stated limit, that relays may
// use; the rest is for direct runs of hosts that reach no relay.
constexpr double relay_ratio = 0.8;

// Time for which an upstream that left the list is remembered. An outage of the
// store makes entries lapse; running upstreams register again after it.
constexpr duration departed_lifetime = from_ms(120'000);

// Whether two records describe the same start of the same upstream.
bool same_lifetime(upstream_record const& a, upstream_record const& b)
{
    return a.instance == b.instance && a.ip == b.ip && a.port == b.port &&
           a.service == b.service && a.started_ms == b.started_ms;
}

bool contains(std::vector<upstream_ptr> const* list, upstream_ptr const& it)
{
    return list && std::find(list->begin(), list->end(), it) != list->end();
}

} // namespace

upstream_fleet::upstream_fleet(upstream_fleet_settings settings,
                               std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed)
{}

upstream_fleet::changes
upstream_fleet::update(std::vector<upstream_record> const& records,
                       std::set<std::string> const& evacuated, time_point now)
{
    std::unordered_map<std::string, upstream_ptr> previous;
    for (auto const& it : all_) {
        previous.emplace(it->record.instance, it);
    }
    changes out;
    std::vector<upstream_ptr> upstreams;
    upstreams.reserve(records.size());
    for (auto const& record : records) {
        auto const old = previous.find(record.instance);
        upstream_ptr it;
        if (old != previous.end() &&
            same_lifetime(old->second->record, record)) {
            it = old->second;
            previous.erase(old);
            if (it->record != record) {
                if (it->record.draining && !record.draining) {
                    it->admission.stay();
                }
                it->address_reused = false;
                it->cold_until = now + record.cold_left;
                it->record = record;
            }
        }
        else {
            it = add(record, now);
            out.added.push_back(it);
        }
        bool const taken_back =
            std::exchange(it->evacuated,
                          evacuated.contains(record.data_centre)) &&
            !it->evacuated;
        if (taken_back) {
            // It may have turned cold meanwhile, and its entry may not show so
            // yet.
            it->cold_until =
                std::max(it->cold_until, now + settings_.report_delay);
        }
        it->role = role_of(record);
        upstreams.push_back(std::move(it));
    }
    for (auto const& [instance, it] : previous) {
        it->listed = false;
        remember_departed(*it, now);
        out.removed.push_back(it);
    }
    all_ = std::move(upstreams);
    rebuild_index();
    return out;
}

upstream_ptr upstream_fleet::add(upstream_record const& record, time_point now)
{
    auto it = std::make_shared<upstream_view>(record, now);
    auto const known = departed_.find(record.instance);
    if (known != departed_.end() &&
        same_lifetime(known->second.record, record)) {
        it->admission = known->second.admission;
    }
    else {
        it->admission = upstream_admission(
            hash_bytes(record.instance, hash_bytes(settings_.host)));
    }
    departed_.erase(record.instance);
    return it;
}

void upstream_fleet::remember_departed(upstream_view const& it, time_point now)
{
    std::erase_if(departed_, [&](auto const& known) {
        return now - known.second.at > departed_lifetime;
    });
    departed_[it.record.instance] = {
        .record = it.record, .admission = it.admission, .at = now};
}

void upstream_fleet::on_answer(upstream_view& it,
                               upstream_signals const& signals, time_point sent,
                               time_point now)
{
    auto const change =
        it.admission.on_answer(signals, sent, now, senders(it.record.service));
    if (signals.load) {
        learn_load(it, *signals.load, now);
    }
    if (change != admission_change::none && on_admission_) {
        on_admission_(it, change);
    }
}

void upstream_fleet::set_services(std::vector<upstream_service> const& services)
{
    for (auto& [name, entry] : services_) {
        entry.service = {.name = name};
    }
    for (auto const& it : services) {
        services_[it.name].service = it;
    }
    choose_subsets();
}

void upstream_fleet::rebuild_index()
{
    for (auto& [name, entry] : services_) {
        entry.replicas.clear();
    }
    for (auto const& it : all_) {
        services_[it->record.service].replicas.push_back(it);
    }
    choose_subsets();
}

bool upstream_fleet::in_service(upstream_view const& it)
{
    return it.listed && !it.leaving() && !it.evacuated && !it.address_reused;
}

bool upstream_fleet::takes_requests(upstream_view const& it)
{
    return in_service(it) && (it.role == version_role::serving ||
                              it.role == version_role::fallback);
}

version_role upstream_fleet::role_of(upstream_record const& record) const
{
    auto const it = versions_.find(record.service);
    return it == versions_.end() ? version_role::serving
                                 : it->second.role_of(record.version);
}

void upstream_fleet::set_versions(version_shares versions)
{
    versions_ = std::move(versions);
    for (auto const& it : all_) {
        it->role = role_of(it->record);
    }
    choose_subsets();
}

bool upstream_fleet::usable(upstream_view const& it) const
{
    return takes_requests(it) && it.reach != reachability::unreachable;
}

bool upstream_fleet::has_room(service_entry const& entry,
                              upstream_view const& it, time_point now) const
{
    return it.in_flight() < connection_limit(it) &&
           next_send(entry, it, now) <= now;
}

std::uint32_t upstream_fleet::connection_limit(upstream_view const& it) const
{
    auto const entry = services_.find(it.record.service);
    if (entry == services_.end() ||
        entry->second.service.max_connections == 0) {
        return settings_.max_connections;
    }
    if (served_by_relays(it.record.service)) {
        return 1;
    }
    auto share = entry->second.service.max_connections /
                 sending_hosts(it.record.service);
    if (uses_relays(it.record.service)) {
        share *= relay_ratio;
    }
    return std::clamp(static_cast<std::uint32_t>(share), 1U,
                      settings_.max_connections);
}

sender_group upstream_fleet::senders(std::string const& service) const
{
    if (!uses_relays(service)) {
        return {.hosts = sharing_.hosts};
    }
    // Hosts that reach no relay send directly.
    return sharing_.relay
               ? sender_group{.hosts = sharing_.relays, .ratio = relay_ratio}
               : sender_group{.hosts = sharing_.hosts,
                              .ratio = 1 - relay_ratio};
}

time_point upstream_fleet::next_send(service_entry const& entry,
                                     upstream_view const& it,
                                     time_point now) const
{
    bool const cold = entry.service.cold_rate > 0 && it.cold(now);
    return it.admission.next_send(now, senders(entry.service.name), cold);
}

std::optional<duration> upstream_fleet::time_to_room(std::string const& service,
                                                     time_point now) const
{
    auto const entry = services_.find(service);
    std::optional<duration> out;
    if (entry == services_.end()) {
        return out;
    }
    for (auto const& it : entry->second.replicas) {
        if (usable(*it)) {
            auto const wait = next_send(entry->second, *it, now) - now;
            out = out ? std::min(*out, wait) : wait;
        }
    }
    return out;
}

template <class Matches>
upstream_ptr upstream_fleet::best_of(service_entry const& entry,
                                     choice_request const& request,
                                     Matches matches, choice_failure& why)
{
    upstream_ptr best;
    auto const usual = entry.load.per_slot(request.now);
    auto best_score = std::numeric_limits<double>::max();
    for (auto const& it : entry.replicas) {
        if (!matches(*it) || !in_service(*it) ||
            it->reach == reachability::unreachable ||
            contains(request.exclude, it)) {
            continue;
        }
        if (!has_room(entry, *it, request.now)) {
            why = choice_failure::saturated;
            continue;
        }
        auto const value = draw_score(*it, request, usual);
        if (value && *value < best_score) {
            best = it;
            best_score = *value;
        }
    }
    return best;
}

// A request that is repeated stays with the version in use. The share goes to
// as many new upstreams as load them like the old ones: versions that are bad
// under load only show it then. All hosts choose the same ones.
upstream_ptr upstream_fleet::choose_canary(service_entry const& entry,
                                           choice_request const& request)
{
    auto const version = versions_.find(entry.service.name);
    bool const repeated = request.exclude && !request.exclude->empty();
    if (version == versions_.end() || version->second.share <= 0 || repeated ||
        random_.unit() >= version->second.share) {
        return nullptr;
    }
    std::vector<std::pair<std::uint64_t, upstream_view const*>> canaries;
    std::size_t serving = 0;
    for (auto const& it : entry.replicas) {
        serving += takes_requests(*it) ? 1 : 0;
        if (it->role == version_role::canary && in_service(*it) &&
            it->reach != reachability::unreachable) {
            canaries.emplace_back(hash_bytes(it->record.instance), it.get());
        }
    }
    std::sort(canaries.begin(), canaries.end());
    auto const n = static_cast<std::size_t>(
        std::lround(version->second.share * static_cast<double>(serving)));
    canaries.resize(std::min(canaries.size(), std::max<std::size_t>(1, n)));
    choice_failure why{};
    return best_of(
        entry, request,
        [&](upstream_view const& it) {
            return std::any_of(
                canaries.begin(), canaries.end(),
                [&](auto const& canary) { return canary.second == &it; });
        },
        why);
}

upstream_ptr upstream_fleet::choose(choice_request const& request,
                                    choice_failure& why)
{
    why = choice_failure::none_usable;
    auto const entry = services_.find(*request.service);
    if (entry == services_.end()) {
        return nullptr;
    }
    auto const serving = [](bool inside_subset) {
        return [inside_subset](upstream_view const& it) {
            return it.role == version_role::serving &&
                   it.in_subset == inside_subset;
        };
    };
    auto best = choose_canary(entry->second, request);
    if (!best) {
        best = best_of(entry->second, request, serving(true), why);
    }
    if (!best) {
        best = best_of(entry->second, request, serving(false), why);
    }
    if (!best && why == choice_failure::none_usable) {
        best = best_of(
            entry->second, request,
            [](upstream_view const& it) {
                return it.role == version_role::fallback;
            },
            why);
    }
    if (best) {
        auto const rate = entry->second.service.cold_rate;
        best->admission.on_sent(request.now, senders(*request.service),
                                best->cold(request.now) ? rate : 0);
    }
    return best;
}

void upstream_fleet::set_sharing(fleet_sharing sharing)
{
    sharing_ = std::move(sharing);
    choose_subsets();
}

bool upstream_fleet::uses_relays(std::string const& service) const
{
    return sharing_.relays > 0 && !sharing_.single_services.contains(service);
}

bool upstream_fleet::served_by_relays(std::string const& service) const
{
    return uses_relays(service) && !sharing_.relay;
}

double upstream_fleet::sending_hosts(std::string const& service) const
{
    return std::max(1.0,
                    uses_relays(service) ? sharing_.relays : sharing_.hosts);
}

double upstream_fleet::retrying_hosts(std::string const& service) const
{
    return served_by_relays(service) ? sharing_.hosts : sending_hosts(service);
}

void upstream_fleet::choose_subsets()
{
    for (auto& [name, entry] : services_) {
        auto& replicas = entry.replicas;
        auto const cap = entry.service.max_connections;
        auto const serving = static_cast<std::size_t>(
            std::count_if(replicas.begin(), replicas.end(), [](auto const& it) {
                return it->role == version_role::serving;
            }));
        auto n = serving;
        auto const hosts = sending_hosts(name);
        if (served_by_relays(name)) {
            n = 0; // connections are opened only while no relay is reachable
        }
        else if (cap > 0 && cap < hosts) {
            auto const share = static_cast<double>(serving) * cap / hosts;
            // At least two, so that a retry or hedge has another replica.
            n = std::clamp(static_cast<std::size_t>(share),
                           std::min<std::size_t>(2, serving), serving);
        }
        auto const rank = [this](upstream_ptr const& it) {
            bool const own = it->record.data_centre == settings_.data_centre;
            return std::tuple(
                it->role != version_role::serving, !own,
                hash_bytes(it->record.instance, hash_bytes(settings_.host)));
        };
        std::sort(
            replicas.begin(), replicas.end(),
            [&](auto const& a, auto const& b) { return rank(a) < rank(b); });
        for (std::size_t i = 0; i < replicas.size(); ++i) {
            replicas[i]->in_subset = i < n;
        }
    }
}

bool upstream_fleet::available(std::string const& service, time_point now) const
{
    auto const entry = services_.find(service);
    return entry != services_.end() &&
           std::any_of(entry->second.replicas.begin(),
                       entry->second.replicas.end(), [&](auto const& it) {
                           return usable(*it) &&
                                  has_room(entry->second, *it, now);
                       });
}

std::size_t upstream_fleet::available_upstreams(std::string const& service,
                                                time_point now) const
{
    auto const entry = services_.find(service);
    if (entry == services_.end()) {
        return 0;
    }
    auto const& replicas = entry->second.replicas;
    return static_cast<std::size_t>(
        std::count_if(replicas.begin(), replicas.end(), [&](auto const& it) {
            return usable(*it) && has_room(entry->second, *it, now);
        }));
}

bool upstream_fleet::reachable(std::string const& service) const
{
    auto const entry = services_.find(service);
    return entry != services_.end() &&
           std::any_of(entry->second.replicas.begin(),
                       entry->second.replicas.end(),
                       [this](auto const& it) { return usable(*it); });
}

bool upstream_fleet::listed(std::string const& service) const
{
    auto const entry = services_.find(service);
    return entry != services_.end() &&
           std::any_of(entry->second.replicas.begin(),
                       entry->second.replicas.end(),
                       [](auto const& it) { return takes_requests(*it); });
}

bool upstream_fleet::isolated() const
{
    bool any_remote = false;
    for (auto const& it : all_) {
        if (it->record.data_centre == settings_.data_centre ||
            !takes_requests(*it)) {
            continue;
        }
        if (it->reach != reachability::unreachable &&
            !suspected(it->record.data_centre)) {
            return false;
        }
        any_remote = true;
    }
    return any_remote;
}

void upstream_fleet::mark_responsive(upstream_view const& it)
{
    auto const unresponsive = unresponsive_.find(it.record.data_centre);
    if (unresponsive != unresponsive_.end()) {
        unresponsive->second.clear();
    }
}

void upstream_fleet::mark_unresponsive(upstream_view const& it)
{
    unresponsive_[it.record.data_centre].insert(it.record.instance);
}

bool upstream_fleet::suspected(std::string const& data_centre) const
{
    auto const it = unresponsive_.find(data_centre);
    return it != unresponsive_.end() &&
           it->second.size() >= settings_.suspect_upstreams;
}

} // namespace snipemill
