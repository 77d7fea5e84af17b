#include "adapters/forward/forward_text.hpp"
#include "adapters/logging/logger.hpp"
#include "app/forward/forward_traffic.hpp"

namespace snipemill {

void forward_traffic::record_request(std::string const& id,
                                     run_summary const& summary,
                                     request_end const& end) const
{
    metrics_.request_ended(summary.route, end.status,
                           to_ms(end.latency) / 1000);
    log_request("request", id, summary, end);
}

void forward_traffic::refuse(http_request const& request,
                             http_responder const& respond, unsigned status,
                             errc code, duration retry_after)
{
    log_info(
        "request",
        {{"id", request.header(names_.request_id)},
         {"route", ""},
         {"manifest", snapshot_ && snapshot_->current
                          ? std::to_string(snapshot_->current->state->version)
                          : "none"},
         {"status", std::to_string(status)},
         {"reason", to_string(code)}});
    metrics_.request_ended("", status, 0);
    respond(write_caller_answer(
        error_answer{.status = status,
                     .reason = {.code = code, .run = run_state::not_run},
                     .retry_after = retry_after},
        names_));
}

void forward_traffic::report_memory(std::string const& kind,
                                    receive_budget const& budget) const
{
    metrics_.set_counter("shed_" + kind, budget.ended());
    metrics_.set_gauge("held_bytes_" + kind,
                       static_cast<double>(budget.used()));
}

void forward_traffic::report() const
{
    if (caps_) {
        caps_->report();
    }
    auto const& links = links_.counters();
    metrics_.set_counter("upstream_connects", links.connects);
    metrics_.set_counter("upstream_connect_failures", links.connect_failures);
    metrics_.set_counter("upstream_exchanges", links.exchanges);
    metrics_.set_counter("upstream_exchanges_lost", links.lost);
    metrics_.set_counter("upstream_late_answers", links.late_answers);
    metrics_.set_counter("upstream_invalid_statuses", links.invalid_statuses);
    metrics_.set_counter("upstream_retry_connects", links.retry_connects);
    metrics_.set_counter("malformed_loads", links.malformed_loads);
    metrics_.set_counter("upstream_answers_over_memory",
                         links_.answers_over_memory());
    metrics_.set_counter("hedges", shared_.hedges);
    metrics_.set_counter("retries", shared_.retries);
    metrics_.set_counter("repeats_over_budget", shared_.budget_refusals);
    metrics_.set_counter("quarantined_requests", shared_.quarantined);
    metrics_.set_gauge("crash_entries",
                       static_cast<double>(shared_.crashes.size()));
    metrics_.set_counter("bad_requests", callers_.bad_requests());
    metrics_.set_gauge("open_requests",
                       static_cast<double>(callers_.open_requests()));
    report_memory("callers", *memory_.callers);
    report_memory("readiness", *memory_.readiness);
    report_memory("upstreams", *memory_.upstreams);
    report_memory("relay_queries", *memory_.relay_queries);
    report_memory("relayed_queries", *memory_.relayed_queries);
    metrics_.set_gauge("upstreams", static_cast<double>(fleet_.all().size()));
}

} // namespace snipemill
