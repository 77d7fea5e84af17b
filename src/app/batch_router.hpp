#pragma once

#include "core/owner/owner_engine.hpp"
#include "core/query/messages.hpp"
#include "core/submit/messages.hpp"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace snipemill {

// What a lane can ask of the owner engine of any lane of this host. Every
// call is carried out later, on that lane's thread.
class owner_lanes
{
public:
    virtual ~owner_lanes() = default;

    virtual std::uint32_t lanes() const = 0;
    virtual void batch(std::uint32_t lane, peer_handle peer,
                       query_batch batch) = 0;
    virtual void describe(std::uint32_t lane, peer_handle peer,
                          describe_request request) = 0;
    virtual void submit(std::uint32_t lane, peer_handle peer,
                        submit_forward request) = 0;
    virtual void cancel(std::uint32_t lane, peer_handle peer,
                        std::vector<upstream_id> targets) = 0;
    virtual void gone(std::uint32_t lane, peer_handle peer) = 0;

    // Pass an answer to the router that opened the request.
    virtual void reply(peer_handle peer, query_part part) = 0;
    virtual void reply(peer_handle peer, describe_answer answer) = 0;
    virtual void reply(peer_handle peer, submit_result result) = 0;
};

using part_sink = std::function<void(query_part)>;
using description_sink = std::function<void(describe_answer)>;
using submit_sink = std::function<void(submit_result)>;

// Splits requests to this host's upstreams over its lanes, and joins the
// answers. A handle's remainder by the number of lanes is the lane whose
// router gave it out, so that answers find their way back.
class batch_router
{
public:
    batch_router(std::uint32_t lane, owner_lanes& owners);

    peer_handle open_batch(query_batch batch, part_sink sink);
    peer_handle open_describe(describe_request const& request,
                              description_sink sink);
    peer_handle open_submit(submit_forward request, submit_sink sink);

    // Cancels targets of the batch with this request id.
    void cancel_targets(request_id id, std::vector<upstream_id> const& targets);
    // The asking side is gone; no sink is called after this.
    void close(peer_handle peer);

    void on_part(peer_handle peer, query_part part);
    void on_described(peer_handle peer, describe_answer answer);
    void on_submit_result(peer_handle peer, submit_result result);

    std::size_t open() const;

private:
    struct entry
    {
        request_id id;
        std::uint32_t pending = 0;        // lanes that have not finished
        std::vector<std::uint32_t> lanes; // lanes that were asked
        part_sink part;
        description_sink described;
        submit_sink submitted;
        describe_answer answer; // joined so far
    };

    using targets_by_lane = std::vector<std::vector<upstream_id>>;

    targets_by_lane split(std::vector<upstream_id> const& targets) const;
    peer_handle next_handle();
    void finish(peer_handle peer);

    std::uint32_t lane_;
    owner_lanes* owners_;
    std::uint64_t count_ = 0;
    std::unordered_map<peer_handle, entry> entries_;
    std::unordered_map<request_id, peer_handle> batches_;
};

} // namespace snipemill
