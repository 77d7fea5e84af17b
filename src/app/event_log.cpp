#include "app/event_log.hpp"

#include "adapters/logging/logger.hpp"

#include <chrono>

namespace snipemill {

std::uint64_t wall_us()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

event_log::event_log(std::string host, std::size_t capacity)
    : host_(std::move(host)), ring_(capacity)
{}

void event_log::report(event_kind kind, std::string subject, std::string detail)
{
    log_info(name_of(event_kind_names, kind),
             {{"host", host_}, {"subject", subject}, {"detail", detail}});
    std::lock_guard const lock(mutex_);
    ring_.push({.time = clock_.tick(wall_us()),
                .kind = kind,
                .subject = std::move(subject),
                .detail = std::move(detail)});
}

hybrid_time event_log::stamp()
{
    std::lock_guard const lock(mutex_);
    return clock_.tick(wall_us());
}

void event_log::received(hybrid_time time)
{
    std::lock_guard const lock(mutex_);
    clock_.merge(wall_us(), time);
}

std::vector<event> event_log::after(std::uint64_t sequence) const
{
    std::lock_guard const lock(mutex_);
    return ring_.after(sequence);
}

} // namespace snipemill
