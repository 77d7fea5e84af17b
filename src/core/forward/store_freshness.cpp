#include "core/forward/store_freshness.hpp"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <iterator>

namespace snipemill {

namespace {

std::size_t index_of(store_kind kind)
{
    auto const* const it =
        std::find(bounded_kinds.begin(), bounded_kinds.end(), kind);
    assert(it != bounded_kinds.end());
    return static_cast<std::size_t>(std::distance(bounded_kinds.begin(), it));
}

} // namespace

bool is_bounded(store_kind kind)
{
    return std::find(bounded_kinds.begin(), bounded_kinds.end(), kind) !=
           bounded_kinds.end();
}

store_freshness::kind_state& store_freshness::state_of(store_kind kind)
{
    return kinds_[index_of(kind)];
}

store_freshness::kind_state const&
store_freshness::state_of(store_kind kind) const
{
    return kinds_[index_of(kind)];
}

duration store_freshness::part_of_bound(double ratio) const
{
    return std::chrono::duration_cast<duration>(settings_.bound * ratio);
}

void store_freshness::compare(kind_state& it, time_point now)
{
    if (it.copy >= it.floor) {
        it.behind_since.reset();
        it.up_to_date_at = std::max(it.up_to_date_at.value_or(as_of_), as_of_);
    }
    else if (!it.behind_since) {
        it.behind_since = now;
    }
}

// A floor that a current read does not reach was wrong, for example one that a
// host of another fleet has sent. It is kept if it was learnt after the read
// began, because the store may have changed meanwhile.
void store_freshness::on_kind_read(store_kind kind, std::uint64_t revision,
                                   std::uint64_t changed_revision,
                                   time_point began, time_point now)
{
    auto& it = state_of(kind);
    bool const wrong = it.floor > revision && it.raised_at < began;
    if (changed_revision > it.floor || wrong) {
        it.floor = changed_revision;
        it.raised_at = now;
    }
    it.copy = std::max(it.copy, revision);
    compare(it, now);
    it.up_to_date_at = std::max(it.up_to_date_at.value_or(began), began);
}

void store_freshness::on_read(std::uint64_t revision, time_point as_of,
                              time_point now)
{
    revision_ = std::max(revision_, revision);
    as_of_ = std::max(as_of_, as_of);
    for (auto& it : kinds_) {
        compare(it, now);
    }
}

void store_freshness::enter_era(std::uint64_t era)
{
    if (era == era_) {
        return;
    }
    era_ = era;
    kinds_ = {};
    revision_ = 0;
    not_before_ = {};
}

bool store_freshness::on_floor(store_floor const& it, time_point now)
{
    if (it.era != era_) {
        return false;
    }
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
        auto& kind = kinds_[i];
        if (it.floors[i] > kind.floor) {
            kind.floor = it.floors[i];
            kind.raised_at = now;
        }
    }
    bool const newer = now - it.age > as_of_;
    on_read(it.revision, now - it.age, now);
    return newer;
}

void store_freshness::on_copy(store_kind kind, std::uint64_t revision,
                              time_point now)
{
    auto& it = state_of(kind);
    it.copy = std::max(it.copy, revision);
    compare(it, now);
}

time_point store_freshness::next_read() const
{
    auto const due = as_of_ + part_of_bound(settings_.read_ratio) +
                     part_of_bound(settings_.takeover_ratio * place_);
    return std::max(due, not_before_);
}

void store_freshness::read_started(time_point now)
{
    not_before_ = now + part_of_bound(settings_.read_ratio);
    read_began_ = now;
}

void store_freshness::read_ended(time_point now)
{
    if (read_is_slow(now)) {
        disturbed_at_ = now;
    }
    read_began_.reset();
}

bool store_freshness::read_is_slow(time_point now) const
{
    return read_began_ &&
           now - *read_began_ > part_of_bound(settings_.call_ratio);
}

bool store_freshness::disturbed(time_point now) const
{
    return read_is_slow(now) ||
           (disturbed_at_ && now - *disturbed_at_ < settings_.recovery);
}

std::optional<time_point> store_freshness::up_to_date_at(store_kind kind,
                                                         time_point now) const
{
    return disturbed(now) ? std::nullopt : state_of(kind).up_to_date_at;
}

std::optional<time_point> store_freshness::read_kind_at(store_kind kind) const
{
    auto const& it = state_of(kind);
    if (!it.behind_since) {
        return std::nullopt;
    }
    return *it.behind_since + part_of_bound(settings_.catch_up_ratio);
}

void store_freshness::kind_read_failed(store_kind kind, time_point now)
{
    auto& it = state_of(kind);
    if (it.behind_since) {
        it.behind_since = now;
    }
}

store_floor store_freshness::floor(time_point now) const
{
    store_floor out{.era = era_, .revision = revision_, .age = age(now)};
    std::transform(kinds_.begin(), kinds_.end(), out.floors.begin(),
                   [](kind_state const& it) { return it.floor; });
    return out;
}

std::uint64_t store_freshness::floor_of(store_kind kind) const
{
    return state_of(kind).floor;
}

} // namespace snipemill
