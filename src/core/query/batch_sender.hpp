#pragma once

#include "core/query/attempt_table.hpp"
#include "core/query/query_shared.hpp"

namespace snipemill {

// Sends the planned targets of one run as one batch per owner host.
class batch_sender
{
public:
    // What all batches of a run have in common. The id, kind and targets are
    // filled in for each batch.
    struct context
    {
        slot_handle run;
        attempt_kind kind = attempt_kind::first;
        query_batch const& pattern;
    };

    // Empties shared.plan. Returns the number of sub-requests sent.
    static std::uint32_t send(query_shared& shared, attempt_table& table,
                              context const& what, time_point now,
                              query_actions& out);

private:
    static void sort_by_host(query_shared& shared);
};

} // namespace snipemill
