#include "core/quarantine/quarantine.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace snipemill {

namespace {

// Distinct upstreams kept per record, the lowest ids first. Any number from
// distinct_upstreams on gives the same decision.
constexpr std::size_t min_upstreams_kept = 8;

bool is_space(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

// Removes white space outside strings. Text that is not JSON is hashed as it
// comes; upstreams refuse it.
std::string normalised(std::string_view body)
{
    std::string text;
    text.reserve(body.size());
    bool in_string = false;
    bool escaped = false;
    for (auto const c : body) {
        if (!in_string && is_space(c)) {
            continue;
        }
        text.push_back(c);
        if (escaped) {
            escaped = false;
        }
        else if (in_string && c == '\\') {
            escaped = true;
        }
        else if (c == '"') {
            in_string = !in_string;
        }
    }
    return text;
}

bool reaches(crash_record const& it, quarantine_settings const& settings)
{
    return it.manual || it.upstreams.size() >= settings.distinct_upstreams;
}

bool expired(crash_record const& it, time_point now,
             quarantine_settings const& settings)
{
    return it.last_seen + settings.expiry <= now;
}

void add_upstreams(crash_record& to, std::vector<upstream_id> const& more,
                   std::size_t max)
{
    std::vector<upstream_id> all;
    auto sorted = more;
    std::sort(sorted.begin(), sorted.end());
    std::set_union(to.upstreams.begin(), to.upstreams.end(), sorted.begin(),
                   sorted.end(), std::back_inserter(all));
    all.erase(std::unique(all.begin(), all.end()), all.end());
    all.resize(std::min(all.size(), max));
    to.upstreams = std::move(all);
}

} // namespace

fingerprint fingerprint_of(std::string_view group, std::string_view body)
{
    return fingerprint(hash_bytes(normalised(body), hash_bytes(group)));
}

quarantine::quarantine(quarantine_settings const& settings)
    : settings_(settings)
{}

bool quarantine::on_crash(time_point now, fingerprint print,
                          upstream_id upstream)
{
    return merge(now, {.print = print,
                       .upstreams = {upstream},
                       .last_seen = now,
                       .removals = removals_of(print)});
}

bool quarantine::merge(time_point now, crash_record const& record)
{
    if (expired(record, now, settings_)) {
        return false;
    }
    expire(now);
    auto const before = refused(now, record.print);
    auto it = lower_bound(record.print);
    if (it == records_.end() || it->print != record.print) {
        it = records_.insert(
            it, {.print = record.print, .last_seen = time_point::min()});
    }
    // A clock that is ahead must not keep a record longer.
    it->last_seen = std::max(it->last_seen, std::min(record.last_seen, now));
    if (record.removals > it->removals) {
        it->removals = record.removals;
        it->upstreams.clear();
        it->manual = false;
    }
    if (record.removals == it->removals) {
        add_upstreams(*it, record.upstreams,
                      std::max<std::size_t>(settings_.distinct_upstreams,
                                            min_upstreams_kept));
        it->manual = it->manual || record.manual;
    }
    auto const after = reaches(*it, settings_);
    drop_least();
    return after && !before;
}

// Keeps the bound: records that refuse nothing go first, then the oldest.
void quarantine::drop_least()
{
    if (records_.size() <= settings_.max_entries) {
        return;
    }
    auto const weight = [&](crash_record const& it) {
        return std::tuple(reaches(it, settings_), it.last_seen, it.print);
    };
    records_.erase(std::min_element(
        records_.begin(), records_.end(),
        [&](auto const& a, auto const& b) { return weight(a) < weight(b); }));
}

bool quarantine::refused(time_point now, fingerprint print) const
{
    auto const it = std::lower_bound(
        records_.begin(), records_.end(), print,
        [](crash_record const& r, fingerprint p) { return r.print < p; });
    return it != records_.end() && it->print == print &&
           !expired(*it, now, settings_) && reaches(*it, settings_);
}

void quarantine::add(time_point now, fingerprint print)
{
    merge(now, {.print = print,
                .last_seen = now,
                .manual = true,
                .removals = removals_of(print)});
}

bool quarantine::remove(fingerprint print)
{
    auto const it = lower_bound(print);
    if (it == records_.end() || it->print != print || it->removed()) {
        return false;
    }
    it->upstreams.clear();
    it->manual = false;
    ++it->removals;
    return true;
}

void quarantine::expire(time_point now)
{
    std::erase_if(records_, [&](crash_record const& it) {
        return expired(it, now, settings_);
    });
}

std::optional<crash_record> quarantine::find(fingerprint print) const
{
    auto const it = std::lower_bound(
        records_.begin(), records_.end(), print,
        [](crash_record const& r, fingerprint p) { return r.print < p; });
    if (it == records_.end() || it->print != print) {
        return std::nullopt;
    }
    return *it;
}

std::vector<crash_record> quarantine::records() const
{
    return records_;
}

std::vector<fingerprint> quarantine::refused_prints(time_point now) const
{
    std::vector<fingerprint> prints;
    for (auto const& it : records_) {
        if (!expired(it, now, settings_) && reaches(it, settings_)) {
            prints.push_back(it.print);
        }
    }
    return prints;
}

std::uint32_t quarantine::removals_of(fingerprint print)
{
    auto const it = lower_bound(print);
    return it != records_.end() && it->print == print ? it->removals : 0;
}

std::vector<crash_record>::iterator quarantine::lower_bound(fingerprint print)
{
    return std::lower_bound(
        records_.begin(), records_.end(), print,
        [](crash_record const& r, fingerprint p) { return r.print < p; });
}

} // namespace snipemill
