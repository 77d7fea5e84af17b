#include "core/forward/upstream_admission.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipemill {

namespace {

// A load report is outdated after a few service times.
constexpr duration load_lifetime = from_ms(100);

// Longest time for which an upstream is obeyed that asks to be left alone. Only
// an answer can show that it has changed its mind.
constexpr duration max_retry_after = from_ms(600'000);

// Seconds of its part that a host may send at once.
constexpr double burst_s = 1;

// All hosts may send while their number is at most this multiple of the limit
// in requests/s, plus the constant. Above it, about one host for each request/s
// sends, and a constant number more.
constexpr double max_senders_per_rate = 2;
constexpr double max_senders = 5;
constexpr double extra_senders = 2;

// The hosts that send are drawn by a hash, so that their number varies. Their
// parts are reduced by this many standard deviations of it.
constexpr double sender_deviations = 2;

// Part of the limit that hosts use which do not send otherwise, to learn when
// the limit ends, and the limit in requests/s below which it is not divided
// further.
constexpr double probe_ratio = 0.1;
constexpr double min_probed_limit = 1;

duration seconds(double n)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(n));
}

double in_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

double unit(std::uint64_t hash)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(hash) / range;
}

} // namespace

admission_change upstream_admission::on_answer(upstream_signals const& signals,
                                               time_point sent, time_point now,
                                               sender_group const& senders)
{
    auto out = admission_change::none;
    if (signals.load) {
        load_ = *signals.load;
        load_at_ = now;
    }
    if (signals.rate_limit) {
        if (!rate_limit_) {
            out = admission_change::limited;
            if (limit_stated_at_ == time_point()) {
                // All hosts learn of the limit at about the same time.
                tokens_ = unit(host_hash_);
                tokens_at_ = now;
            }
        }
        tokens_ = rate_limit_ ? tokens(now, senders) : std::min(tokens_, 1.0);
        tokens_at_ = now;
        rate_limit_ = signals.rate_limit;
        limit_stated_at_ = now;
    }
    else if (rate_limit_ && sent >= limit_stated_at_) {
        // An answer to an earlier request may have been overtaken.
        rate_limit_.reset();
        out = admission_change::limit_ended;
    }
    if (signals.retry_after) {
        retry_at_ = std::max(
            retry_at_, now + std::min(*signals.retry_after, max_retry_after));
        out = admission_change::retry_later;
    }
    if (signals.leaving && !std::exchange(leaving_, true)) {
        out = admission_change::leaving;
    }
    return out;
}

double upstream_admission::limited_rate(sender_group const& senders) const
{
    auto const limit = *rate_limit_ * senders.ratio;
    auto const hosts = std::max(1.0, senders.hosts);
    auto const probes = probe_ratio * std::max(min_probed_limit, *rate_limit_) *
                        senders.ratio / hosts;
    if (hosts <= max_senders_per_rate * limit + max_senders) {
        return std::max(limit / hosts, probes);
    }
    auto const sending = std::floor(limit + extra_senders);
    auto const parts = sending + sender_deviations * std::sqrt(sending);
    return unit(host_hash_) * hosts < sending ? std::max(limit / parts, probes)
                                              : probes;
}

double upstream_admission::capacity(double rate) const
{
    return std::max(1.0, rate * burst_s);
}

double upstream_admission::tokens(time_point now,
                                  sender_group const& senders) const
{
    auto const rate = limited_rate(senders);
    return std::min(capacity(rate),
                    tokens_ + rate * in_seconds(now - tokens_at_));
}

void upstream_admission::on_sent(time_point now, sender_group const& senders,
                                 double cold_rate)
{
    if (rate_limit_) {
        tokens_ = std::max(0.0, tokens(now, senders) - 1);
        tokens_at_ = now;
    }
    if (cold_rate > 0) {
        next_cold_ = now + seconds(senders.hosts / cold_rate);
    }
}

time_point upstream_admission::next_send(time_point now,
                                         sender_group const& senders,
                                         bool cold) const
{
    if (leaving_) {
        return time_point::max();
    }
    auto out = std::max(now, retry_at_);
    if (cold) {
        out = std::max(out, next_cold_);
    }
    if (rate_limit_) {
        auto const missing = 1 - tokens(now, senders);
        if (missing > 0) {
            out = std::max(out, now + seconds(missing / limited_rate(senders)));
        }
    }
    return out;
}

double upstream_admission::reported_waiting(time_point now) const
{
    return now - load_at_ < load_lifetime ? load_.waiting : 0;
}

} // namespace snipemill
