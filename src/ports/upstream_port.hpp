#pragma once

#include "core/owner/owner_engine.hpp"

#include <functional>
#include <string>
#include <variant>

namespace snipemill {

using sub_result = std::variant<sub_answer, sub_failure>;

// Sends work to the upstreams of one lane. Callbacks run on the lane's
// thread, never inside the call, and exactly once for each request, also for
// a cancelled one.
class upstream_port
{
public:
    virtual ~upstream_port() = default;

    // Opens, keeps and limits connections as the owner engine asks.
    virtual void configure(set_connections const& request) = 0;
    virtual void query(dispatch_query request,
                       std::function<void(slot_handle, sub_result)> f) = 0;
    virtual void submit(dispatch_submit request,
                        std::function<void(slot_handle, submit_result)> f) = 0;
    // Asks the upstream to stop the request; its callback still comes.
    virtual void cancel(cancel_dispatch const& request) = 0;
    // Not called back when the upstream cannot be reached.
    virtual void
    status(upstream_id upstream,
           std::function<void(upstream_id, upstream_status)> f) = 0;
    // f is called when an upstream has closed all its connections at about the
    // same time, as it does when it restarts between two requests.
    virtual void watch_lost_connections(std::function<void(upstream_id)> f) = 0;
};

} // namespace snipemill
