#pragma once

#include "core/accounts/cap_plan.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace snipemill {

// What the owner of an account knows about the deputies of all data centres. A
// deputy that did not answer lately may grant its data centre's part of the
// rate, so the owner must not.
class cap_contacts
{
public:
    // Returns the number of the message.
    using send_callback = std::function<std::uint64_t(fleet_host const&)>;

    // Keeps the answers of deputies that stay deputies.
    void set_deputies(std::vector<cap_deputy> deputies);
    void count_demand(std::uint32_t n, time_point now);
    // Requests asked for in about the last second.
    double demand(time_point now) const;
    // Sends a message to each deputy, if none was sent lately.
    void send_due(time_point now, send_callback const& send);
    // False when the answer belongs to no message.
    bool on_answer(std::string const& host, std::uint64_t number);
    // Part of the rate whose deputies answered no message of the last `valid`.
    double unreached(duration valid, time_point now) const;

private:
    struct message
    {
        std::uint64_t number = 0;
        time_point sent{};
    };

    struct entry
    {
        cap_deputy deputy;
        std::vector<message> unanswered;
        // Time at which the last answered message was sent. The time of the
        // answer would say nothing about the deputy after it had answered.
        std::optional<time_point> reached;
    };

    std::vector<entry> entries_;
    double demand_ = 0;
    time_point counted_{};
    time_point next_{};
};

} // namespace snipemill
