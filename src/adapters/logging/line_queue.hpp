#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace snipemill {

struct line_queue_options
{
    std::size_t capacity = 256 * 1024; // bytes that wait to be written
    // Lines per second on average and at once; above them lines are dropped
    // and counted. 200 lines/s are about 40 KB/s.
    double lines_per_second = 200;
    double burst = 400;
};

// Lines on their way to a file descriptor. Never blocks: what does not fit is
// dropped and counted. Callable from any thread.
class line_queue
{
public:
    using clock = std::chrono::steady_clock;

    line_queue(int fd, line_queue_options const& options);

    // line ends with a newline.
    void push(std::string_view line, clock::time_point now = clock::now());
    // Writes what the descriptor takes at once.
    void flush();
    std::uint64_t dropped() const;

private:
    bool admit(clock::time_point now);

    int fd_;
    line_queue_options options_;
    mutable std::mutex mutex_;
    std::string waiting_;
    double tokens_;
    clock::time_point refilled_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0; // dropped lines that a line has told of
};

} // namespace snipemill
