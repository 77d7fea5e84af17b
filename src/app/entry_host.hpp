#pragma once

#include "adapters/settings/host_settings.hpp"
#include "app/control_plane.hpp"
#include "app/event_log.hpp"
#include "app/lane.hpp"
#include "app/operator_api.hpp"
#include "app/planned_stop.hpp"
#include "app/traffic_metrics.hpp"

#include <boost/asio/signal_set.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace snipemill {

// One entry host: the control thread and its lanes.
class entry_host : private owner_lanes, private lane_group
{
public:
    explicit entry_host(host_settings settings);
    ~entry_host() override;
    entry_host(entry_host const&) = delete;
    entry_host& operator=(entry_host const&) = delete;

    std::uint16_t caller_port() const;
    std::uint16_t operator_port() const;
    std::uint16_t peer_port() const;

    // Serves until a signal asks it to stop. The calling thread becomes the
    // control thread. Returns whether every request had been answered.
    bool run();

private:
    std::uint32_t lanes() const override;
    void batch(std::uint32_t lane, peer_handle peer,
               query_batch batch) override;
    void describe(std::uint32_t lane, peer_handle peer,
                  describe_request request) override;
    void submit(std::uint32_t lane, peer_handle peer,
                submit_forward request) override;
    void cancel(std::uint32_t lane, peer_handle peer,
                std::vector<upstream_id> targets) override;
    void gone(std::uint32_t lane, peer_handle peer) override;
    void reply(peer_handle peer, query_part part) override;
    void reply(peer_handle peer, describe_answer answer) override;
    void reply(peer_handle peer, submit_result result) override;

    void publish(std::shared_ptr<routing_view const> view) override;
    void publish(std::vector<fingerprint> const& refused) override;
    void handover(std::vector<upstream_gauge> const& gauges) override;
    void
    give_up(std::shared_ptr<routing_view const> view,
            std::function<void(std::vector<upstream_gauge>)> done) override;

    lane& lane_of(peer_handle peer);
    void collect(std::function<void(lane_status)> f);
    void on_signal();
    planned_stop_steps stop_steps();
    void stop(bool clean);

    host_settings settings_;
    event_log events_;
    traffic_metrics metrics_;
    control_plane control_;
    std::vector<std::unique_ptr<lane>> lanes_;
    std::unique_ptr<operator_api> operators_;
    boost::asio::signal_set signals_;
    planned_stop planned_stop_;
    bool clean_ = true;
};

} // namespace snipemill
