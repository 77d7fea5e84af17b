#pragma once

#include "core/query/attempt_table.hpp"
#include "core/query/query_shared.hpp"
#include "core/query/target_planner.hpp"

#include <cstdint>

namespace snipemill {

// Plans sub-requests of one run that are sent once more: retries after a
// failure, and moves away from silent owners. Each has its own budget.
class resend_planner
{
public:
    // The run that they belong to.
    struct context
    {
        attempt_table& table;
        run_view const& view;
        time_point deadline{};
        bool quarantined = false; // an owner refuses the fingerprint
        bool stepping = false;    // in the first step
    };

    // Adds a retry of the service, whose last attempt has failed, to
    // shared.plan. Returns false when there is none.
    static bool plan_retry(query_shared& shared, time_point now,
                           context const& run, std::uint32_t s);
    // Adds a further sub-request for each service that waits only for silent
    // owners, as far as the budget goes.
    static void plan_moves(query_shared& shared, time_point now,
                           context const& run);

private:
    static bool plan_retry_target(query_shared& shared, time_point now,
                                  context const& run, std::uint32_t s);
    static sub_attempt const* waiting_for_silent(query_shared const& shared,
                                                 attempt_table const& table,
                                                 std::uint32_t s);
    static bool plan_move(query_shared& shared, time_point now,
                          context const& run, sub_attempt const& waiting);
};

} // namespace snipemill
