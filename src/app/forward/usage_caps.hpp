#pragma once

#include "adapters/codec/host_codec.hpp"
#include "app/forward/forward_metrics.hpp"
#include "app/forward/forward_snapshot.hpp"
#include "core/accounts/cap_client.hpp"
#include "core/accounts/cap_owner.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipemill {

// Enforces the usage caps of accounts together with the other hosts: admits
// requests of this host's callers and grants requests to other hosts.
class usage_caps
{
public:
    using send_callback =
        std::function<void(fleet_host const&, host_message const&)>;

    struct options
    {
        std::string host; // this one
        std::string data_centre;
        usage_tolerance tolerance;
        forward_metrics* metrics = nullptr;
    };

    usage_caps(boost::asio::io_context& io, options o);
    usage_caps(usage_caps const&) = delete;
    usage_caps& operator=(usage_caps const&) = delete;

    // Sets how messages reach other hosts. Until then, none do.
    void send_with(send_callback f) { send_ = std::move(f); }
    void apply_snapshot(forward_snapshot const& snapshot);

    // Calls f with the decision, possibly before it returns. Returns the number
    // for cancel(). id: of the request, for the log.
    std::uint64_t admit(client_account const& account, std::string const& id,
                        time_point end, cap_client::decide_callback f);
    void cancel(client_account const& account, std::uint64_t number);
    // Refuses all waiting requests.
    void end_all() { client_.end_all(); }

    cap_grant on_request(cap_request const& request);
    void on_grant(cap_grant const& grant);

    // Copies counters to the metrics.
    void report() const;

private:
    void send(fleet_host const& to, cap_request const& request);
    void record(client_account const& account, std::string const& id,
                cap_decision const& decision);
    void on_takeover(std::string const& account, std::string const& owner,
                     bool begins);
    bool may_log();
    void arm_timer();

    options options_;
    std::uint32_t run_; // differs between two runs of the process
    send_callback send_;
    cap_owner owner_;
    cap_client client_;
    boost::asio::steady_timer timer_;
    time_point timer_at_ = time_point::max();
    std::shared_ptr<indexed_manifest const> manifest_; // of the plan
    std::vector<fleet_host> hosts_;                    // of the plan
    std::uint64_t admitted_ = 0;
    std::uint64_t refused_ = 0;   // over the cap
    std::uint64_t ungranted_ = 0; // nobody could grant
    time_point log_second_{};
    std::uint32_t lines_in_second_ = 0;
    std::uint64_t lines_left_out_ = 0;
};

} // namespace snipemill
