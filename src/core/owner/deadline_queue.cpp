#include "core/owner/deadline_queue.hpp"

#include <algorithm>

namespace snipemill {

namespace {

bool comes_after(waiting_job const& a, waiting_job const& b)
{
    if (a.submit != b.submit) {
        return b.submit;
    }
    if (a.priority != b.priority) {
        return a.priority < b.priority;
    }
    return a.deadline > b.deadline;
}

// A job takes the place of a waiting one only for being a submit or for its
// priority: an earlier deadline alone would let new work displace old work.
bool displaces(waiting_job const& a, waiting_job const& b)
{
    return a.submit != b.submit ? a.submit : a.priority > b.priority;
}

} // namespace

deadline_queue::deadline_queue(std::size_t capacity) : capacity_(capacity)
{
    jobs_.reserve(capacity);
}

std::optional<waiting_job> deadline_queue::push(waiting_job const& job)
{
    std::optional<waiting_job> refused;
    if (jobs_.size() >= capacity_) {
        if (jobs_.empty() || !displaces(job, jobs_.front())) {
            return job;
        }
        refused = jobs_.front();
        jobs_.erase(jobs_.begin());
    }
    // Equal jobs leave in the order of their arrival.
    auto const place =
        std::lower_bound(jobs_.begin(), jobs_.end(), job, comes_after);
    jobs_.insert(place, job);
    return refused;
}

std::optional<waiting_job> deadline_queue::pop()
{
    if (jobs_.empty()) {
        return std::nullopt;
    }
    auto const job = jobs_.back();
    jobs_.pop_back();
    return job;
}

bool deadline_queue::remove(slot_handle job)
{
    auto const it =
        std::find_if(jobs_.begin(), jobs_.end(),
                     [&](waiting_job const& w) { return w.job == job; });
    if (it == jobs_.end()) {
        return false;
    }
    jobs_.erase(it);
    return true;
}

} // namespace snipemill
