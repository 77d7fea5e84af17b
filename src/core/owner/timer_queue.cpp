#include "core/owner/timer_queue.hpp"

#include <cassert>

namespace snipemill {

timer_queue::timer_queue(std::size_t capacity)
{
    nodes_.reserve(capacity);
    heap_.reserve(capacity);
    free_.reserve(capacity);
}

timer_id timer_queue::add(time_point at, timer_tag tag)
{
    if (free_.empty()) {
        free_.push_back(static_cast<timer_id>(nodes_.size()));
        nodes_.emplace_back();
    }
    auto const id = free_.back();
    free_.pop_back();
    nodes_[id] = {at, tag, heap_.size()};
    heap_.push_back(id);
    sift_up(heap_.size() - 1);
    return id;
}

void timer_queue::move(timer_id id, time_point at)
{
    assert(heap_[nodes_[id].place] == id);
    nodes_[id].at = at;
    sift_up(nodes_[id].place);
    sift_down(nodes_[id].place);
}

void timer_queue::remove(timer_id id)
{
    auto const place = nodes_[id].place;
    assert(heap_[place] == id);
    auto const last = heap_.back();
    heap_.pop_back();
    free_.push_back(id);
    if (last != id) {
        put(place, last);
        sift_up(place);
        sift_down(nodes_[last].place);
    }
}

std::optional<time_point> timer_queue::next() const
{
    if (heap_.empty() || nodes_[heap_.front()].at == never) {
        return std::nullopt;
    }
    return nodes_[heap_.front()].at;
}

std::optional<timer_tag> timer_queue::fire(time_point now)
{
    auto const at = next();
    if (!at || *at > now) {
        return std::nullopt;
    }
    auto const id = heap_.front();
    move(id, never);
    return nodes_[id].tag;
}

bool timer_queue::earlier(timer_id a, timer_id b) const
{
    return nodes_[a].at < nodes_[b].at;
}

void timer_queue::put(std::size_t place, timer_id id)
{
    heap_[place] = id;
    nodes_[id].place = place;
}

void timer_queue::sift_up(std::size_t place)
{
    auto const id = heap_[place];
    while (place > 0) {
        auto const parent = (place - 1) / 2;
        if (!earlier(id, heap_[parent])) {
            break;
        }
        put(place, heap_[parent]);
        place = parent;
    }
    put(place, id);
}

void timer_queue::sift_down(std::size_t place)
{
    auto const id = heap_[place];
    for (;;) {
        auto child = 2 * place + 1;
        if (child >= heap_.size()) {
            break;
        }
        if (child + 1 < heap_.size() &&
            earlier(heap_[child + 1], heap_[child])) {
            ++child;
        }
        if (!earlier(heap_[child], id)) {
            break;
        }
        put(place, heap_[child]);
        place = child;
    }
    put(place, id);
}

} // namespace snipemill
