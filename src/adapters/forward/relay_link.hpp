#pragma once

#include "adapters/peer/peer_link.hpp"
#include "core/forward/relay_call.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

// Paths of the requests to relays.
struct relay_paths
{
    static constexpr char const* run = "/relay/run";
    static constexpr char const* probe = "/relay/probe";
};

// Calls relays over HTTP/2 streams, with one connection to each relay. The open
// calls to a relay fail with relay_lost when it is unresponsive for 0.3 s.
class relay_link : public relay_port
{
public:
    // memory is for responses that are being received; null: the default of
    // peer_link_options.
    explicit relay_link(boost::asio::io_context& io,
                        std::shared_ptr<receive_budget> memory = nullptr);
    ~relay_link() override;
    relay_link(relay_link const&) = delete;
    relay_link& operator=(relay_link const&) = delete;

    std::shared_ptr<relay_call>
    run(fleet_host const& to, relay_query const& query,
        std::function<void(relay_event)> f) override;
    std::shared_ptr<relay_call>
    probe(fleet_host const& to, std::function<void(relay_event)> f) override;

private:
    class call;

    std::shared_ptr<call> open(fleet_host const& to, char const* path,
                               std::string message,
                               std::function<void(relay_event)> f);
    void on_unresponsive(host_id const& id);

    peer_client client_;
    // Open calls by relay. Calls that have ended are erased when the next call
    // to the same relay starts.
    std::unordered_map<host_id, std::vector<std::weak_ptr<call>>> calls_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snipemill
