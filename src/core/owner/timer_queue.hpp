#pragma once

#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace snipemill {

enum class timer_kind : std::uint8_t
{
    batch,    // subject: handle of the batch
    submit,   // subject: handle of the submit
    upstream, // subject: upstream id
    describe, // subject: handle of the describe request
};

struct timer_tag
{
    timer_kind kind = timer_kind::batch;
    std::uint64_t subject = 0;
};

using timer_id = std::uint32_t;

// Timers that can be moved and removed in logarithmic time, so that the queue
// holds no more entries than there are live subjects.
class timer_queue
{
public:
    // A timer at this time is idle.
    static constexpr time_point never = time_point::max();

    explicit timer_queue(std::size_t capacity);

    timer_id add(time_point at, timer_tag tag);
    void move(timer_id id, time_point at);
    void remove(timer_id id);
    std::optional<time_point> next() const;
    // Returns a timer that is due and makes it idle.
    std::optional<timer_tag> fire(time_point now);

private:
    struct node
    {
        time_point at = never;
        timer_tag tag;
        std::size_t place = 0; // in heap_
    };

    bool earlier(timer_id a, timer_id b) const;
    void put(std::size_t place, timer_id id);
    void sift_up(std::size_t place);
    void sift_down(std::size_t place);

    std::vector<node> nodes_;
    std::vector<timer_id> heap_;
    std::vector<timer_id> free_;
};

} // namespace snipemill
