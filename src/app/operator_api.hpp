#pragma once

#include "adapters/adapters.hpp"
#include "app/control_plane.hpp"
#include "app/event_log.hpp"
#include "app/host_status.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipemill {

// Collects the state of all lanes; the callback runs on the control thread.
using lane_collector = std::function<void(std::function<void(lane_status)>)>;

// HTTP interface for operators, on the control thread.
class operator_api
{
public:
    operator_api(host_settings const& settings, control_plane& control,
                 event_log const& events, traffic_metrics const& metrics,
                 lane_collector collect);

    std::uint16_t port() const { return server_->port(); }

private:
    void serve(http_request const& request, http_responder respond);
    void serve_ready(http_responder const& respond);
    void serve_status(http_responder respond);
    void serve_metrics(http_responder respond);
    void serve_timeline(std::string const& query,
                        http_responder const& respond);
    void serve_crashes(http_request const& request, std::string const& query,
                       http_responder const& respond);

    host_settings const* settings_;
    control_plane* control_;
    event_log const* events_;
    traffic_metrics const* metrics_;
    lane_collector collect_;
    std::unique_ptr<http_server> server_;
};

} // namespace snipemill
