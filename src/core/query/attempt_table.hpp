#pragma once

#include "core/config/topology.hpp"
#include "core/query/messages.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace snipemill {

enum class attempt_kind : std::uint8_t
{
    first,
    retry,
    hedge
};

enum class attempt_state : std::uint8_t
{
    open,
    reported,
    cancelled
};

// One sub-request.
struct sub_attempt
{
    upstream_id upstream;
    topology_index position = 0; // where the upstream was when it was sent
    std::uint32_t service = 0;   // position in the group
    std::uint32_t batch = 0;
    attempt_state state = attempt_state::open;
    sub_outcome outcome = sub_outcome::refused; // once reported
};

// A batch that was sent; its attempts are consecutive.
struct sent_batch
{
    host_id to;
    request_id id;
    time_point sent{};
    attempt_kind kind = attempt_kind::first;
    std::uint32_t first = 0; // attempt
    std::uint32_t size = 0;
    std::uint32_t open = 0; // attempts not yet closed
    bool final = false;     // nothing more is expected
};

struct service_progress
{
    // First, reroute, retry and hedge.
    static constexpr std::size_t max_attempts = 4;

    std::array<upstream_id, max_attempts> tried{};
    std::array<std::uint32_t, max_attempts> attempts{}; // their positions
    std::uint8_t tried_count = 0;
    std::uint8_t open = 0; // attempts not yet closed
    bool merged = false;
    bool closed = false;   // merged, or nothing more will be tried
    bool rerouted = false; // sent again after not_owner, which did no work
    bool retried = false;
    bool hedged = false;
    bool owner_lost = false; // last failure was that of the owner's stream
    bool postponed = false;  // failed in the first step, asked again after it
    sub_outcome last = sub_outcome::refused; // last failure, not of a hedge
    std::uint32_t last_attempt = 0;          // that failed so

    std::span<upstream_id const> upstreams() const
    {
        return {tried.data(), tried_count};
    }
};

// Sub-requests of one run of a query, by batch and by service. Vectors keep
// their memory between queries.
class attempt_table
{
public:
    void reset(std::size_t services);

    // Starts a batch; the attempts added next belong to it.
    std::uint32_t add_batch(sent_batch batch);
    void add_attempt(upstream_id upstream, topology_index position,
                     std::uint32_t service);

    std::vector<sent_batch> const& batches() const { return batches_; }
    sent_batch& batch(std::uint32_t b) { return batches_[b]; }
    sent_batch const& batch(std::uint32_t b) const { return batches_[b]; }
    std::span<sub_attempt> attempts(sent_batch const& batch)
    {
        return std::span(attempts_).subspan(batch.first, batch.size);
    }
    std::vector<sub_attempt> const& attempts() const { return attempts_; }
    sub_attempt& attempt(std::uint32_t a) { return attempts_[a]; }
    std::uint32_t index_of(sub_attempt const& a) const
    {
        return static_cast<std::uint32_t>(&a - attempts_.data());
    }

    // The attempt of a batch at an upstream, null when there is none.
    sub_attempt* find(sent_batch const& batch, upstream_id upstream);

    service_progress& service(std::uint32_t s) { return services_[s]; }
    std::vector<service_progress> const& services() const { return services_; }

    // Upstreams that a retry of the service must not go to. A refused hedge
    // did no work: the upstream only had no free slot, and a retry may wait
    // for one.
    std::vector<upstream_id> tried_except_refused_hedges(std::uint32_t s) const;

    // Last attempt of the service that its receiver did not own, or null.
    sub_attempt const* last_not_owned(std::uint32_t s) const;

    void close(sub_attempt& attempt, attempt_state state);
    void close_service(std::uint32_t s);
    bool all_closed() const { return closed_ == services_.size(); }

private:
    std::vector<sub_attempt> attempts_;
    std::vector<sent_batch> batches_;
    std::vector<service_progress> services_;
    std::size_t closed_ = 0;
};

} // namespace snipemill
