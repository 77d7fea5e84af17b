#pragma once

#include "core/submit/submit_run.hpp"

namespace snipemill {

// Answers callers, each once, and counts the answers.
class submit_answers
{
public:
    explicit submit_answers(submit_counters& counters) : counters_(&counters) {}

    // repeated: the outcome of an earlier request with the same key.
    void done(submit_run& run, submit_answered answered, bool repeated,
              submit_actions& out);
    void failed(submit_run& run, failure why, bool repeated,
                submit_actions& out);
    // The outcome that the run has reached.
    void outcome(submit_run& run, submit_actions& out);

private:
    submit_counters* counters_;
};

} // namespace snipemill
