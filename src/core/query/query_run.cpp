#include "core/query/query_run.hpp"

#include "core/quarantine/quarantine.hpp"
#include "core/query/coverage_reporter.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace snipemill {

namespace {

// A query waits for descriptions for at most a quarter of its deadline, so
// that most of it is left for the query itself.
constexpr int describe_share = 4;

// Upstreams that the first step tries at most, when they refuse to run it.
constexpr std::uint32_t max_step_requests = 4;

// Sub-requests of the first step that may have run without an answer before
// the query ends. Each of them may have crashed an upstream, and the second
// one puts the query into quarantine.
constexpr std::uint32_t max_step_failures = 2;

// An early answer waits for this many times the hedge quantile.
constexpr int early_answer_factor = 2;

} // namespace

void query_run::start(query_shared& shared, time_point now, slot_handle self,
                      caller_handle caller, caller_query query,
                      group_object const& group)
{
    caller_ = caller;
    query_ = std::move(query);
    settings_ = group;
    time_allowed_ = query_.deadline.value_or(group.deadline);
    deadline_ = now + time_allowed_;
    min_coverage_ = query_.min_coverage.value_or(group.min_coverage);
    describe_until_ = time_point::max();
    scheduled = time_point::max();
    sent_before_ = 0;
    hedges_before_ = 0;
    reruns_ = 0;
    step_failed_ = 0;

    query_batch pattern;
    pattern.group = query_.group;
    pattern.body = query_.body;
    pattern.limit = query_.offset + query_.limit;
    pattern.order = query_.order;
    pattern.priority = group.priority;
    pattern.print = fingerprint_of(query_.group, query_.body);
    input_ = {.self = self,
              .pattern = std::move(pattern),
              .deadline = deadline_,
              .hedge_quantile = group.hedge_quantile,
              .hedge_budget = group.hedge_budget,
              .load = &shared.load(group)};
    phase_ = run_phase::running;
}

void query_run::wait_for_description(time_point now)
{
    phase_ = run_phase::waiting;
    describe_until_ = now + time_allowed_ / describe_share;
}

time_point query_run::due() const
{
    if (phase_ == run_phase::waiting) {
        return std::min(deadline_, describe_until_);
    }
    auto const early = early_checked_ ? time_point::max() : early_at_;
    return std::min({deadline_, hedge_at_, early});
}

void query_run::begin(query_shared& shared, time_point now, query_actions& out)
{
    hedge_at_ = time_point::max();
    early_at_ = time_point::max();
    early_checked_ = false;
    auto const group = shared.routes->find_group(query_.group);
    if (!group) {
        refuse(shared, errc::unknown_group, "the group was removed", out);
        return;
    }
    auto const version =
        shared.snapshots.choose(*shared.routes, shared.catalogue, *group);
    if (!version) {
        refuse(shared, errc::coverage_too_low,
               "no usable upstream of the group is known to hold an index",
               out);
        return;
    }
    run_.reset(shared, input_,
               {.routes = shared.routes, .group = *group, .version = *version});
    if (settings_.first_step && !shared.prints.contains(input_.pattern.print)) {
        start_step(shared, now, out);
    }
    else {
        send_first(shared, now, out);
    }
    settle(shared, now, out);
}

void query_run::send_first(query_shared& shared, time_point now,
                           query_actions& out)
{
    phase_ = run_phase::running;
    run_.send_first(shared, now, out);
    hedge_at_ = now + run_.hedge_after();
    if (settings_.preference == query_preference::latency) {
        early_at_ = now + early_answer_factor * run_.hedge_after();
    }
}

void query_run::start_step(query_shared& shared, time_point now,
                           query_actions& out)
{
    phase_ = run_phase::stepping;
    step_sent_ = 0;
    send_step(shared, now, out);
}

// A random service each time: queries that lost the same upstream to a crash
// must not follow the query that crashed it to its next one. Services that
// were not tried go first. One that failed in the step is tried
// again only when there is no other, so that a query that crashes its upstreams
// does not take down all replicas of one service.
bool query_run::send_step(query_shared& shared, time_point now,
                          query_actions& out)
{
    return send_step(shared, now, false, out) ||
           send_step(shared, now, true, out);
}

bool query_run::send_step(query_shared& shared, time_point now, bool postponed,
                          query_actions& out)
{
    auto const n = static_cast<std::uint32_t>(run_.table().services().size());
    if (n == 0) {
        return false;
    }
    auto const start = shared.random.below(n);
    for (std::uint32_t i = 0; i < n; ++i) {
        step_service_ = (start + i) % n;
        auto const& service = run_.table().service(step_service_);
        auto const wanted = postponed
                                ? service.postponed
                                : !service.closed && service.tried_count == 0;
        if (wanted && run_.send_step(shared, now, step_service_, out)) {
            ++step_sent_;
            return true;
        }
    }
    return false;
}

void query_run::check_step(query_shared& shared, time_point now,
                           query_actions& out)
{
    auto const& service = run_.table().service(step_service_);
    if (service.merged) {
        shared.prints.insert(input_.pattern.print);
        send_first(shared, now, out);
        return;
    }
    if (service.open > 0) {
        return;
    }
    auto const harmless = did_not_run(service.last) && !service.owner_lost;
    step_failed_ += harmless ? 0 : 1;
    auto const again = service.last != sub_outcome::timed_out &&
                       step_failed_ < max_step_failures &&
                       step_sent_ < max_step_requests;
    if (!again || !send_step(shared, now, out)) {
        finish(shared, now, false, out);
    }
}

void query_run::on_part(query_shared& shared, time_point now,
                        std::uint32_t batch, host_id const& from,
                        query_part part, query_actions& out)
{
    run_.on_part(shared, now, batch, from, std::move(part));
    settle(shared, now, out);
}

void query_run::on_stream_failed(query_shared& shared, time_point now,
                                 std::uint32_t batch, host_id const& from,
                                 query_actions& out)
{
    run_.on_stream_failed(shared, now, batch, from);
    settle(shared, now, out);
}

void query_run::on_owner_silent(query_shared& shared, time_point now,
                                query_actions& out)
{
    run_.on_owner_silent(shared, now);
    settle(shared, now, out);
}

void query_run::on_timer(query_shared& shared, time_point now,
                         query_actions& out)
{
    if (now >= deadline_) {
        finish(shared, now, true, out);
        return;
    }
    if (phase_ == run_phase::waiting) {
        if (now >= describe_until_) {
            begin(shared, now, out);
        }
        return;
    }
    if (now >= hedge_at_) {
        hedge_at_ = time_point::max();
        run_.hedge(shared, now, out);
    }
    early_checked_ = now >= early_at_;
    settle(shared, now, out);
}

void query_run::settle(query_shared& shared, time_point now, query_actions& out)
{
    if (run_.quarantined()) {
        end_quarantined(shared, out);
        return;
    }
    if (run_.gone() && rerun(shared, now, out)) {
        return;
    }
    run_.flush(shared, now, out);
    if (phase_ == run_phase::stepping) {
        check_step(shared, now, out);
    }
    if (done()) {
        return;
    }
    if (run_.table().all_closed() || early_answer_due(now)) {
        finish(shared, now, false, out);
    }
}

bool query_run::rerun(query_shared& shared, time_point now, query_actions& out)
{
    auto const needed = std::chrono::duration<double, std::micro>(
        shared.settings.rerun_fraction *
        static_cast<double>(time_allowed_.count()));
    auto const group = shared.routes->find_group(query_.group);
    if (reruns_ > 0 || deadline_ - now < needed || !group) {
        return false;
    }
    auto const version =
        shared.snapshots.choose(*shared.routes, shared.catalogue, *group);
    if (!version || *version <= run_.view().version) {
        return false;
    }
    run_.end(shared, out);
    ++reruns_;
    ++shared.counters.reruns;
    sent_before_ = run_.sent();
    hedges_before_ = run_.hedges();
    begin(shared, now, out);
    return true;
}

bool query_run::early_answer_due(time_point now) const
{
    auto const fraction = run_.coverage().fraction();
    return now >= early_at_ && fraction && *fraction >= min_coverage_;
}

void query_run::abandon(query_shared& shared, query_actions& out)
{
    if (phase_ != run_phase::waiting) {
        run_.end(shared, out);
    }
    phase_ = run_phase::done;
}

void query_run::finish(query_shared& shared, time_point now, bool cut,
                       query_actions& out)
{
    if (phase_ == run_phase::waiting) {
        refuse(shared, errc::coverage_too_low,
               "no upstream of the group was described in time", out);
        return;
    }
    run_.sample_open(now);
    run_.end(shared, out);
    auto const open = cut && !run_.table().all_closed();
    shared.counters.deadline_cuts += open ? 1 : 0;
    shared.counters.duplicate_records += run_.merger().duplicates();
    auto coverage = report(shared);
    if (enough(coverage) || query_.partial) {
        answer(shared, open, std::move(coverage), out);
        return;
    }
    auto const covered =
        coverage.fraction ? "coverage is " + std::to_string(*coverage.fraction)
                          : std::string("coverage is unknown");
    auto const sent = sent_before_ + run_.sent();
    fail(shared,
         {.code = errc::coverage_too_low,
          .run = sent == 0 ? run_state::not_run : run_state::ran,
          .detail = covered + ", " + std::to_string(min_coverage_) +
                    " was asked for"},
         out);
}

void query_run::end_quarantined(query_shared& shared, query_actions& out)
{
    // An earlier run at another version may have run.
    auto const run = sent_before_ > 0 ? run_state::unknown : run_.ran();
    run_.end(shared, out);
    fail(shared,
         {.code = errc::quarantined,
          .run = run,
          .detail = "this query has crashed upstreams"},
         out);
}

void query_run::answer(query_shared& shared, bool cut, coverage_report coverage,
                       query_actions& out)
{
    shared.counters.incomplete_coverage += coverage.fraction != 1.0 ? 1 : 0;
    ++shared.counters.answered;
    query_answer it;
    it.records = run_.merger().take(query_.offset);
    it.total = run_.coverage().total();
    it.snapshot = run_.view().version;
    it.deadline_cut = cut;
    it.partial = !enough(coverage);
    it.coverage = std::move(coverage);
    it.reruns = reruns_;
    it.hedges = hedges_before_ + run_.hedges();
    it.sub_requests = sent_before_ + run_.sent();
    phase_ = run_phase::done;
    out.push_back(answer_caller{.caller = caller_, .result = std::move(it)});
}

// Ends a query of which nothing is kept: before its first run has begun, or
// when its second one cannot begin.
void query_run::refuse(query_shared& shared, errc code, std::string detail,
                       query_actions& out)
{
    auto const run = sent_before_ == 0 ? run_state::not_run : run_state::ran;
    fail(shared, {.code = code, .run = run, .detail = std::move(detail)}, out);
}

void query_run::fail(query_shared& shared, failure what, query_actions& out)
{
    ++shared.counters.refused;
    phase_ = run_phase::done;
    out.push_back(answer_caller{.caller = caller_, .result = std::move(what)});
}

// Without a claim on coverage, only a query that asks for none is satisfied.
bool query_run::enough(coverage_report const& coverage) const
{
    return coverage.fraction ? *coverage.fraction >= min_coverage_
                             : min_coverage_ <= 0;
}

coverage_report query_run::report(query_shared& shared)
{
    auto& counter = run_.coverage();
    auto const& view = run_.view();
    coverage_report it;
    auto const group = shared.routes->find_group(query_.group);
    if (group) {
        auto const map = shared.catalogue.find_map(*group, view.version);
        counter.note_count(map.partition_count);
        if (map.contradictory) {
            counter.distrust();
        }
    }
    it.fraction = counter.fraction();
    it.partitions = it.fraction ? counter.partition_count() : 0;
    it.merged = counter.merged();
    if (group && it.fraction && it.merged < it.partitions) {
        it.missing = coverage_reporter::missing({.counter = counter,
                                                 .routes = *shared.routes,
                                                 .catalogue = shared.catalogue,
                                                 .group = *group,
                                                 .version = view.version});
    }
    auto const& services = run_.table().services();
    for (std::uint32_t s = 0; s < services.size(); ++s) {
        if (!services[s].merged) {
            it.missing_services.push_back(view.service(s).object.name);
        }
    }
    return it;
}

} // namespace snipemill
