#include "core/submit/submit_answers.hpp"

#include <cassert>
#include <utility>

namespace snipemill {

void submit_answers::done(submit_run& run, submit_answered answered,
                          bool repeated, submit_actions& out)
{
    assert(!run.answered);
    run.answered = true;
    ++counters_->answered;
    counters_->repeated += repeated ? 1 : 0;
    out.emplace_back(answer_submit{.caller = run.caller,
                                   .result = std::move(answered),
                                   .repeated = repeated});
}

void submit_answers::failed(submit_run& run, failure why, bool repeated,
                            submit_actions& out)
{
    assert(!run.answered);
    run.answered = true;
    if (why.run == run_state::not_run) {
        ++counters_->not_run;
    }
    else {
        ++counters_->unknown;
    }
    counters_->repeated += repeated ? 1 : 0;
    out.emplace_back(answer_submit{
        .caller = run.caller, .result = std::move(why), .repeated = repeated});
}

void submit_answers::outcome(submit_run& run, submit_actions& out)
{
    if (auto const* ran = std::get_if<submit_answered>(&*run.outcome)) {
        done(run, *ran, false, out);
    }
    else if (auto const* it = std::get_if<submit_not_run>(&*run.outcome)) {
        failed(run, {it->reason, run_state::not_run, "the request did not run"},
               false, out);
    }
    else {
        failed(run,
               {std::get<submit_unknown>(*run.outcome).reason,
                run_state::unknown, "the request may have run"},
               false, out);
    }
}

} // namespace snipemill
