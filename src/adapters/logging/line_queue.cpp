#include "adapters/logging/line_queue.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace snipemill {

namespace {

// A write of up to this size to a pipe that polls as writable does not block.
constexpr std::size_t max_write = 4096;

} // namespace

line_queue::line_queue(int fd, line_queue_options const& options)
    : fd_(fd), options_(options), tokens_(options.burst)
{}

bool line_queue::admit(clock::time_point now)
{
    if (refilled_ != clock::time_point{}) {
        std::chrono::duration<double> const passed = now - refilled_;
        tokens_ =
            std::min(options_.burst,
                     tokens_ + passed.count() * options_.lines_per_second);
    }
    refilled_ = now;
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void line_queue::push(std::string_view line, clock::time_point now)
{
    std::lock_guard const lock(mutex_);
    if (waiting_.size() + line.size() > options_.capacity || !admit(now)) {
        ++dropped_;
        return;
    }
    if (dropped_ > reported_) {
        waiting_ += "{\"event\":\"log_lines_dropped\",\"count\":\"" +
                    std::to_string(dropped_ - reported_) + "\"}\n";
        reported_ = dropped_;
    }
    waiting_.append(line);
}

void line_queue::flush()
{
    std::lock_guard const lock(mutex_);
    std::size_t done = 0;
    while (done < waiting_.size()) {
        pollfd ready{.fd = fd_, .events = POLLOUT, .revents = 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        auto const n = ::write(fd_, waiting_.data() + done,
                               std::min(max_write, waiting_.size() - done));
        if (n <= 0) {
            break;
        }
        done += static_cast<std::size_t>(n);
    }
    waiting_.erase(0, done);
}

std::uint64_t line_queue::dropped() const
{
    std::lock_guard const lock(mutex_);
    return dropped_;
}

} // namespace snipemill
