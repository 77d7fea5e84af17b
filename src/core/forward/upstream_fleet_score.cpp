#include "core/forward/upstream_fleet.hpp"

#include <algorithm>

namespace snipemill {

// The part of upstream_fleet that compares replicas.

namespace {

// Latency of a cold upstream over that of a warm one.
constexpr double cold_latency_factor = 1.6;

// Added to the score of an upstream that is suspected to be unreachable, and
// for a suspect request to that of one which runs another suspect. Above every
// score that does not contain the penalty.
constexpr double suspect_penalty = 1000;

// Random addition to a score, which spreads requests over replicas whose scores
// differ by less.
constexpr double score_jitter = 0.1;

// Highest addition to the score of an upstream in another data centre: a near
// upstream that is slower by this many usual latencies is in trouble.
constexpr double max_remote_penalty = 3;

// Usual latencies below this are those of the host itself.
constexpr double min_usual_ms = 1;

// Random addition to a score by expected finish. Hosts which know the same load
// choose replicas that differ by less than this part of a usual latency.
constexpr double finish_jitter = 0.1;

// Width of the random part of the wait, over the standard deviation of what it
// may be by now: hosts which know the same old reports choose different
// replicas. The full width (3.46) makes choices worse than the reports are:
// with 60 hosts at once p99 rose from 56 to 70 ms.
constexpr double doubt_range = 0.5;

} // namespace

double upstream_fleet::remote_penalty(choice_request const& request) const
{
    if (request.usual <= duration::zero()) {
        return settings_.remote_penalty;
    }
    auto const room = settings_.local_share * to_ms(request.objective) /
                          std::max(min_usual_ms, to_ms(request.usual)) -
                      1;
    return std::clamp(room, settings_.remote_penalty, max_remote_penalty);
}

double upstream_fleet::score(upstream_view const& it,
                             choice_request const& request) const
{
    auto const now = request.now;
    auto const slots = std::max(1U, it.record.slots);
    auto const waiting =
        std::max<double>(it.in_flight(), it.admission.reported_waiting(now));
    auto out = it.latency_ratio(now) * (1 + waiting / slots);
    if (it.cold(now)) {
        out *= cold_latency_factor;
    }
    if (it.record.data_centre != settings_.data_centre) {
        out += remote_penalty(request);
    }
    out += settings_.failure_penalty * it.failure_rate(now);
    if (it.unresponsive_for(now) > settings_.suspect_after ||
        suspected(it.record.data_centre)) {
        out += suspect_penalty;
    }
    return out;
}

void upstream_fleet::learn_load(upstream_view& it, reported_load const& load,
                                time_point now)
{
    // The answered request is still counted as open.
    auto const open = it.in_flight();
    it.placement.on_report(load, open > 0 ? open - 1 : 0, now);
    auto const entry = services_.find(it.record.service);
    if (settings_.expected_finish && load.speed && entry != services_.end()) {
        entry->second.load.add(it.placement.reported_others(), it.record.slots,
                               now);
        speeds_reported_ = true;
    }
}

finish_prediction upstream_fleet::predict(upstream_view const& it,
                                          request_cost const& cost,
                                          time_point now) const
{
    auto const entry = services_.find(it.record.service);
    return entry == services_.end()
               ? finish_prediction()
               : predict(it, cost, entry->second.load.per_slot(now), now);
}

finish_prediction upstream_fleet::predict(upstream_view const& it,
                                          request_cost const& cost,
                                          double usual_per_slot,
                                          time_point now) const
{
    if (!settings_.expected_finish || cost.own.mean <= 0 ||
        !it.placement.reports_speed()) {
        return {};
    }
    return it.placement.predict(
        cost, {.open = it.in_flight(),
               .slots = it.record.slots,
               .usual_per_slot = usual_per_slot,
               .network = network_.extra(it.record.data_centre),
               .now = now});
}

double upstream_fleet::finish_score(upstream_view const& it,
                                    choice_request const& request,
                                    finish_prediction const& predicted) const
{
    auto const now = request.now;
    auto out = predicted.mean / request.cost->usual_ms();
    if (it.cold(now)) {
        out *= cold_latency_factor;
    }
    if (it.record.data_centre != settings_.data_centre) {
        out += remote_penalty(request);
    }
    out += settings_.failure_penalty * it.failure_rate(now);
    // A long request is no sign of a fault before its predicted tail.
    bool const silent =
        it.unresponsive_for(now) > settings_.suspect_after && it.overdue(now);
    if (silent || suspected(it.record.data_centre)) {
        out += suspect_penalty;
    }
    return out;
}

std::optional<double> upstream_fleet::draw_score(upstream_view const& it,
                                                 choice_request const& request,
                                                 double usual_per_slot)
{
    auto const suspects =
        request.suspect && it.open_suspects > 0 ? suspect_penalty : 0;
    finish_prediction predicted;
    if (request.cost) {
        predicted = predict(it, *request.cost, usual_per_slot, request.now);
    }
    if (predicted.mean <= 0) {
        return score(it, request) + score_jitter * random_.unit() + suspects;
    }
    // A hedge also delays the requests that wait there.
    if (request.latest_finish &&
        predicted.mean + predicted.wait > *request.latest_finish) {
        return std::nullopt;
    }
    // Downwards only within the own data centre, so that chance sends no
    // request to another one.
    bool const own = it.record.data_centre == settings_.data_centre;
    auto const doubt = doubt_range * predicted.doubt / request.cost->usual_ms();
    return finish_score(it, request, predicted) +
           finish_jitter * random_.unit() +
           doubt * (random_.unit() - (own ? 0.5 : 0)) + suspects;
}

void upstream_fleet::on_connected(upstream_view const& it, duration elapsed,
                                  time_point now)
{
    network_.on_connected(it.record.data_centre, elapsed, now);
}

} // namespace snipemill
