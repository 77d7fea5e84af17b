#pragma once

#include "core/base/slot_map.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace snipemill {

struct waiting_job
{
    slot_handle job;
    time_point deadline{};
    std::uint32_t priority = 0;
    bool submit = false; // before every query
};

// Work that waits for a slot of one upstream. The next one is a submit, else
// the one of highest priority, and within a priority the one with the
// earliest deadline. When it is full, the last in this order is refused.
class deadline_queue
{
public:
    explicit deadline_queue(std::size_t capacity);

    // Returns the job that is refused, which may be the new one.
    std::optional<waiting_job> push(waiting_job const& job);
    std::optional<waiting_job> pop();
    // Returns whether the job was waiting.
    bool remove(slot_handle job);

    bool empty() const { return jobs_.empty(); }
    std::size_t size() const { return jobs_.size(); }

private:
    std::size_t capacity_;
    std::vector<waiting_job> jobs_; // the next one is at the end
};

} // namespace snipemill
