#pragma once

#include <string>

namespace snipemill {

// Names of the headers that callers, this host and upstreams exchange, in
// lower case.
struct forward_headers
{
    std::string request_id;        // of one attempt of a caller
    std::string time_left;         // ms until the caller stops waiting
    std::string stamp;             // upstream's proof of its answer
    std::string expected_instance; // the only instance that may run it
    std::string load;              // running, waiting, slots
    std::string not_run;           // present: the request did not run
    std::string shard_stamps;      // proofs of the parts of a merged answer
    std::string missing_shards;    // number of parts that are left out
};

} // namespace snipemill
