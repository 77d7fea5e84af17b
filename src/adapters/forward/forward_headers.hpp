#pragma once

#include <string>

namespace snipemill {

// Lower-case names of the headers between callers, this host and upstreams.
struct forward_headers
{
    std::string request_id;        // identifies one attempt of a caller
    std::string time_left;         // ms until the caller's deadline
    std::string stamp;             // upstream's proof that it gave the answer
    std::string expected_instance; // the only instance that may run the request
    // "running,waiting,slots" or "running,waiting,slots,speed" of the upstream.
    std::string load;
    std::string rate_limit; // requests/s that the upstream takes from all hosts
    std::string leaving;    // "1" while the upstream is shutting down
    std::string not_run;    // present when the request was not run
    std::string account;    // name of the caller's account, for upstreams
    std::string shard_stamps;   // stamps of the merged shard answers
    std::string missing_shards; // number of shards without an answer
};

} // namespace snipemill
