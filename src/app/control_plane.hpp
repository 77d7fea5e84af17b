#pragma once

#include "adapters/adapters.hpp"
#include "adapters/settings/host_settings.hpp"
#include "app/event_log.hpp"
#include "app/lane.hpp"
#include "core/core.hpp"
#include "core/membership/seed_schedule.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipemill {

// What the control thread tells the traffic threads; each call is carried out
// later, on each lane's thread.
class lane_group
{
public:
    virtual ~lane_group() = default;

    virtual void publish(std::shared_ptr<routing_view const> view) = 0;
    virtual void publish(std::vector<fingerprint> const& refused) = 0;
    virtual void handover(std::vector<upstream_gauge> const& gauges) = 0;
    // Takes the state of the owned upstreams and publishes the view that gives
    // them up, in one step on each lane. done runs on the control thread when
    // every lane has done so.
    virtual void
    give_up(std::shared_ptr<routing_view const> view,
            std::function<void(std::vector<upstream_gauge>)> done) = 0;
};

// State of the control thread for operators.
struct control_status
{
    bool ready = false;
    bool draining = false;
    bool reader = false;
    bool platform_reachable = false;
    std::uint64_t config_number = 0;
    duration config_age{}; // since the platform last confirmed it
    std::vector<member_info> members;
    std::map<host_id, duration> unreachable; // members, for how long
    std::vector<crash_record> crashes;
    member_counters membership;
    platform_counters platform;
    peer_counters peer;
    byte_count platform_bytes;      // of all calls, claims among them
    std::uint64_t member_lists = 0; // passed on to the configuration's spread
    std::uint64_t probe_bytes_sent = 0;
    std::uint64_t probe_bytes_received = 0;
    std::shared_ptr<routing_view const> view;
};

// The control thread's state: membership, configuration, ownership and the
// record of crashing requests. Only the functions of control_services may be
// called from other threads.
class control_plane : public control_services
{
public:
    control_plane(host_settings const& settings, event_log& events,
                  lane_group& lanes, std::uint64_t seed);
    ~control_plane() override;

    boost::asio::io_context& io() { return io_; }

    // Joins the fleet; peer_port and operator_port are the ports in use.
    void start(std::uint16_t peer_port, std::uint16_t operator_port);
    void run() { io_.run(); }
    void stop() { io_.stop(); }

    // Announces that this host leaves and passes its ownership on.
    void leave();

    control_status status() const;
    bool ready() const;
    quarantine& crashes() { return quarantine_; }
    // Tells the lanes which requests are refused, if that has changed.
    void crashes_changed();
    config_snapshot const& config() const { return spread_->store().state(); }

    void put_claim(std::string key, std::string value, std::uint64_t if_version,
                   platform_callback<platform_object> f) override;
    void get_claim(std::string key,
                   platform_callback<platform_object> f) override;
    void report_crash(fingerprint print, upstream_id upstream) override;
    void peer_request(std::string path, std::string message,
                      std::function<void(std::string)> answer) override;

private:
    member_info make_self(std::uint16_t peer_port,
                          std::uint16_t operator_port) const;
    std::vector<member_seed> seeds(bool local_only) const;

    template <class F>
    void with_members(F f);
    template <class F>
    void with_spread(F f);
    void run_action(send_probe& a);
    void run_action(member_changed& a);
    void run_action(member_config& a);
    void run_action(read_config& a);
    void run_action(watch_config& a);
    void run_action(pull_config& a);
    void run_action(announce_config& a);
    void run_action(config_adopted& a);
    void run_action(config_ready& a);

    void run_action(list_claims& a);
    void run_action(remove_claim& a);

    void remove_old_claims(time_point now);
    void on_claims_listed(platform_result<platform_listing> const& result);
    void on_probe(probe_packet packet);
    void on_head(std::uint64_t have, platform_result<platform_object> result);
    void read_state(std::uint64_t revision, config_head head);
    void on_read(config_read read);
    void platform_failed();
    void on_pull_event(host_id const& from, stream_event event);
    void on_platform_state(bool reachable);
    void refresh_seeds();
    void add_seeds(std::vector<platform_host> const& hosts);
    // Makes the host ready once it has a configuration and has joined.
    void finish_start();
    void report_ready();
    std::map<host_id, duration> unreachable() const;

    std::string serve_config(std::string const& message);
    void serve_handover(std::string const& message);

    // Publishes a new routing view when hosts or configuration changed.
    void update_view();
    // Makes view_ fit hosts and configuration; false when it did so already.
    bool renew_view();
    // Sends the limits that the upstreams have earned to their new owners.
    void send_handover(std::vector<upstream_gauge> const& gauges);
    std::vector<live_host> live_hosts() const;
    std::vector<crash_record> next_crashes();
    // Sends new crash records to all members, as far as the rate allows.
    void send_crash_burst();
    void pass_on_members();
    peer_address const* member_address(host_id const& id);
    void report_data_centres(topology const& now);

    void arm_timer();
    void on_timer();

    host_settings const* settings_;
    event_log* events_;
    lane_group* lanes_;
    std::uint64_t seed_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    boost::asio::steady_timer timer_;
    seed_schedule seed_schedule_;

    std::unique_ptr<member_list> members_;
    std::unique_ptr<config_spread> spread_;
    std::unique_ptr<probe_socket> probes_;
    platform_client platform_;
    peer_client peers_;
    quarantine quarantine_;
    crash_bursts crash_bursts_;
    claim_removal removal_;
    std::vector<fingerprint> refused_; // as the lanes know it
    std::size_t next_crash_ = 0;       // rotates the records that probes carry

    // Changes of the member list that spread_ has not been told.
    paced_change members_changed_{from_ms(50)};
    std::uint64_t member_lists_ = 0;

    std::shared_ptr<topology const> topology_;
    std::shared_ptr<routing_view const> view_;
    std::uint64_t view_sequence_ = 0;
    bool view_stale_ = true;
    time_point next_view_{}; // earliest for a change of members
    bool ready_ = false;     // the configuration may be served
    bool routed_ = false;    // view_ was built after joining, with ready_ set
    bool leaving_ = false;
    bool reader_ = false;
    peer_address address_buffer_;
};

} // namespace snipemill
