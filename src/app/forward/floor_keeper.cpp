#include "app/forward/floor_keeper.hpp"

#include "adapters/logging/logger.hpp"
#include "app/core_time.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace snipemill {

namespace {

// Its read shows whether anything has changed in the store.
constexpr auto first_kind = bounded_kinds[0];

// The timer fires for the earliest of several times; one that has just passed
// must not make it fire without pause.
constexpr duration min_timer = from_ms(5);

std::size_t index_of(store_kind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

floor_keeper::floor_keeper(boost::asio::io_context& io, options o)
    : options_(std::move(o)), freshness_({.bound = options_.bound}), timer_(io)
{}

void floor_keeper::start(std::uint64_t revision, time_point as_of)
{
    freshness_.on_read(revision, as_of, core_now());
    if (!std::exchange(started_, true)) {
        arm();
    }
}

void floor_keeper::stop()
{
    started_ = false;
    timer_.cancel();
}

// A read that is under way ends without a result, because the listing has a new
// number.
void floor_keeper::enter_era(std::uint64_t era)
{
    freshness_.enter_era(era);
    arm();
}

void floor_keeper::set_plan(floor_plan plan)
{
    if (plan == plan_) {
        return;
    }
    plan_ = std::move(plan);
    freshness_.set_place(plan_.place);
    arm();
}

void floor_keeper::arm()
{
    if (!started_) {
        return;
    }
    auto const now = core_now();
    auto at = freshness_.next_read();
    for (auto const kind : bounded_kinds) {
        auto const kind_at = freshness_.read_kind_at(kind);
        if (kind_at && can_read(kind)) {
            at = std::min(at, *kind_at);
        }
    }
    timer_.expires_after(std::max(min_timer, at - now));
    timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            on_timer();
        }
    });
}

void floor_keeper::on_timer()
{
    if (!started_) {
        return;
    }
    auto const now = core_now();
    if (!read_ && now >= freshness_.next_read()) {
        read_store();
    }
    for (auto const kind : bounded_kinds) {
        read_kind_if_behind(kind, now);
    }
    arm();
}

void floor_keeper::call(store_kind kind, read_age age,
                        std::function<void(std::optional<std::uint64_t>)> f)
{
    auto const& mirror = options_.mirror(kind);
    auto const began = core_now();
    options_.store->watch(
        kind, mirror.revision(), duration::zero(), age,
        [this, kind, age, began, listing = mirror.listing_number(),
         f = std::move(f)](std::variant<store_events, store_error> result) {
            if (!started_) {
                return;
            }
            auto* const events = std::get_if<store_events>(&result);
            bool const usable = !events || options_.see_era(events->era);
            // A listing that has begun meanwhile gives newer entries.
            if (!usable || options_.mirror(kind).listing_number() != listing) {
                f(std::nullopt);
                return;
            }
            if (!events) {
                ++read_failures_;
                bool const gone =
                    std::get<store_error>(result) == store_error::history_gone;
                if (!gone) {
                    freshness_.on_failure(core_now());
                }
                f(std::nullopt);
                if (gone) {
                    options_.on_history_gone(kind);
                }
                return;
            }
            auto const revision = events->revision;
            options_.on_events(kind, std::move(*events));
            auto const now = core_now();
            auto const& copy = options_.mirror(kind);
            if (age == read_age::current) {
                freshness_.on_kind_read(kind, revision, copy.changed_revision(),
                                        began, now);
            }
            freshness_.on_copy(kind, copy.revision(), now);
            f(revision);
        });
}

// A kind that has not been listed cannot be read from a revision, and the read
// would not hold for it.
void floor_keeper::read_store()
{
    auto const now = core_now();
    freshness_.read_started(now);
    bool const listed = std::all_of(
        bounded_kinds.begin(), bounded_kinds.end(),
        [this](store_kind it) { return options_.mirror(it).listed(); });
    if (!listed) {
        freshness_.read_ended(now);
        return;
    }
    ++store_reads_;
    read_ = store_read{.began = now};
    call(first_kind, read_age::current,
         [this](auto revision) { on_first_kind_read(revision); });
}

void floor_keeper::on_first_kind_read(std::optional<std::uint64_t> revision)
{
    if (!revision) {
        fail_read();
        return;
    }
    read_->revision = *revision;
    if (*revision > freshness_.revision()) {
        read_other_kinds();
        return;
    }
    finish_read();
}

void floor_keeper::read_other_kinds()
{
    read_->open = bounded_kinds.size() - 1;
    for (auto const kind : bounded_kinds) {
        if (kind == first_kind) {
            continue;
        }
        call(kind, read_age::current,
             [this, began = read_->began](auto revision) {
                 if (!read_ || read_->began != began) {
                     return; // another call of this read has failed
                 }
                 if (!revision) {
                     fail_read();
                     return;
                 }
                 if (--read_->open == 0) {
                     finish_read();
                 }
             });
    }
}

void floor_keeper::finish_read()
{
    auto const read = *std::exchange(read_, std::nullopt);
    auto const now = core_now();
    freshness_.read_ended(now);
    freshness_.on_read(read.revision, read.began, now);
    send_floor(plan_.data_centre, false);
    send_floor(plan_.other_firsts, true);
    arm();
}

void floor_keeper::fail_read()
{
    read_.reset();
    freshness_.read_ended(core_now());
    arm();
}

void floor_keeper::send_floor(std::vector<fleet_host> const& hosts,
                              bool pass_on)
{
    send_to(hosts, {.floor = freshness_.floor(core_now()), .pass_on = pass_on});
}

void floor_keeper::send_to(std::vector<fleet_host> const& hosts,
                           floor_message const& message)
{
    if (!options_.send) {
        return;
    }
    for (auto const& it : hosts) {
        options_.send(it, message);
    }
}

void floor_keeper::on_message(floor_message const& message)
{
    if (!started_) {
        return;
    }
    if (message.floor.era > freshness_.era()) {
        if (options_.hear_era(message.floor.era) && message.pass_on) {
            send_to(plan_.data_centre, {.floor = message.floor});
        }
        return;
    }
    auto const now = core_now();
    bool const newer = freshness_.on_floor(message.floor, now);
    for (auto const kind : bounded_kinds) {
        freshness_.on_copy(kind, options_.mirror(kind).revision(), now);
    }
    if (newer && message.pass_on) {
        send_floor(plan_.data_centre, false);
    }
    arm();
}

void floor_keeper::on_mirror(store_kind kind)
{
    if (!started_ || !is_bounded(kind)) {
        return;
    }
    freshness_.on_copy(kind, options_.mirror(kind).revision(), core_now());
    if (freshness_.read_kind_at(kind)) {
        arm();
    }
}

bool floor_keeper::can_read(store_kind kind) const
{
    return options_.mirror(kind).listed() && !kind_open_[index_of(kind)];
}

// A copy that has changed of itself may be older than the floor only because
// the store has changed in other kinds, which a call that accepts outdated data
// shows as well.
void floor_keeper::read_kind_if_behind(store_kind kind, time_point now)
{
    auto const at = freshness_.read_kind_at(kind);
    if (at && now >= *at && can_read(kind)) {
        read_kind(kind, read_age::may_be_old);
    }
}

void floor_keeper::read_kind(store_kind kind, read_age age)
{
    kind_open_[index_of(kind)] = true;
    auto const before = options_.mirror(kind).revision();
    call(kind, age, [this, kind, age, before](auto revision) {
        kind_open_[index_of(kind)] = false;
        if (!revision) {
            freshness_.kind_read_failed(kind, core_now());
        }
        else if (age == read_age::current) {
            ++kind_reads_;
            log_info("store_copy_behind",
                     {{"kind", name_of(store_kind_names, kind)},
                      {"revision", std::to_string(before)},
                      {"read", std::to_string(*revision)},
                      {"floor", std::to_string(freshness_.floor_of(kind))}});
        }
        else if (freshness_.read_kind_at(kind)) {
            read_kind(kind, read_age::current);
        }
        arm();
    });
}

std::optional<time_point> floor_keeper::up_to_date_at(store_kind kind) const
{
    return is_bounded(kind) ? freshness_.up_to_date_at(kind, core_now())
                            : std::nullopt;
}

void floor_keeper::report(forward_metrics& metrics) const
{
    metrics.set_counter("store_reads", store_reads_);
    metrics.set_counter("store_reads_of_kinds_behind", kind_reads_);
    metrics.set_counter("store_read_failures", read_failures_);
    metrics.set_gauge("store_age_seconds",
                      started_ ? to_ms(freshness_.age(core_now())) / 1000 : -1);
}

} // namespace snipemill
