#pragma once

#include "adapters/adapters.hpp"
#include "adapters/settings/host_settings.hpp"
#include "app/batch_router.hpp"
#include "app/core_time.hpp"
#include "app/event_log.hpp"
#include "app/lane_status.hpp"
#include "app/traffic_metrics.hpp"
#include "app/upstream_watch.hpp"
#include "core/base/drain_admission.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace snipemill {

// What lanes ask of the control thread; callable from any thread. Callbacks
// run on the control thread.
class control_services
{
public:
    virtual ~control_services() = default;

    virtual void put_claim(std::string key, std::string value,
                           std::uint64_t if_version,
                           platform_callback<platform_object> f) = 0;
    virtual void get_claim(std::string key,
                           platform_callback<platform_object> f) = 0;
    virtual void report_crash(fingerprint print, upstream_id upstream) = 0;
    // A peer's request for the control thread: configuration or handover.
    virtual void peer_request(std::string path, std::string message,
                              std::function<void(std::string)> answer) = 0;
};

// The parts of a process that all lanes share.
struct lane_environment
{
    host_settings const* settings = nullptr;
    std::uint32_t lane = 0;
    std::uint64_t seed = 0;
    owner_lanes* owners = nullptr;
    control_services* control = nullptr;
    event_log* events = nullptr;
    traffic_metrics* metrics = nullptr;
};

// One traffic thread's state: queries and submits of its callers, and the
// upstreams that are pinned to it. Only post() and io() may be used from
// other threads.
class lane
{
public:
    explicit lane(lane_environment const& environment);
    ~lane();
    lane(lane const&) = delete;
    lane& operator=(lane const&) = delete;

    boost::asio::io_context& io() { return io_; }

    // Runs f on the lane's thread.
    template <class F>
    void post(F f)
    {
        boost::asio::post(io_, std::move(f));
    }

    // Opens the listening sockets; a port of 0 takes any free one.
    void listen(std::uint16_t caller_port, std::uint16_t peer_port);
    std::uint16_t caller_port() const { return callers_->port(); }
    std::uint16_t peer_port() const { return peer_server_->port(); }

    // Runs until stop().
    void run();
    void stop();

    // The functions below run on the lane's thread.
    void set_view(std::shared_ptr<routing_view const> view);
    // State of the owned upstreams, taken before the view applies.
    std::vector<upstream_gauge>
    give_up(std::shared_ptr<routing_view const> const& view);
    void set_quarantine(std::vector<fingerprint> const& prints);
    void set_handover(std::vector<upstream_gauge> const& gauges);
    // Asks callers to close their connections and refuses requests that may not
    // end in time.
    void start_draining(drain_times const& times);
    // Accepts no more callers' connections.
    void drain_callers();
    // Answers the open requests of callers as failed.
    void end_requests();
    void drain_peers();
    lane_status status() const;

    void owner_batch(peer_handle peer, query_batch batch);
    void owner_describe(peer_handle peer, describe_request const& request);
    void owner_submit(peer_handle peer, submit_forward request);
    void owner_cancel(peer_handle peer,
                      std::vector<upstream_id> const& targets);
    void owner_gone(peer_handle peer);

    batch_router& router() { return router_; }

private:
    struct pending_query
    {
        http_responder respond;
        time_point started;
    };
    struct outgoing
    {
        std::shared_ptr<peer_stream> stream; // to another host
        std::optional<peer_handle> local;    // to this host
    };

    // Callers.
    // The failure to answer with if a request of this kind and time-out is not
    // started, because this host stops.
    std::optional<failure> refusal_by_drain(idempotency kind,
                                            duration time_allowed) const;
    std::function<void()> on_http(http_request const& request,
                                  http_responder respond);
    std::function<void()> on_query_request(http_request const& request,
                                           http_responder respond);
    std::function<void()> on_submit_request(http_request const& request,
                                            http_responder respond);

    // Requests of other hosts.
    void on_peer(peer_request const& request);
    void serve_query(peer_request const& request);
    void serve_describe(peer_request const& request);
    void serve_submit(peer_request const& request);
    void serve_cancel(peer_request const& request);
    void serve_control(peer_request const& request);

    // Calls an engine, carries out its actions and sets the timer. buffer keeps
    // its memory from call to call.
    template <class Actions, class F>
    void drive(Actions& buffer, F f)
    {
        auto actions = std::exchange(buffer, {});
        f(core_now(), actions);
        for (auto& it : actions) {
            std::visit([this](auto& a) { run_action(a); }, it);
        }
        actions.clear();
        buffer = std::move(actions);
        arm_timer();
    }
    template <class F>
    void with_query(F f)
    {
        drive(query_actions_, f);
    }
    template <class F>
    void with_owner(F f)
    {
        drive(owner_actions_, f);
    }
    template <class F>
    void with_submit(F f)
    {
        drive(submit_actions_, f);
    }

    void run_action(send_batch& a);
    void run_action(cancel_batch& a);
    void run_action(cancel_targets& a);
    void run_action(send_describe& a);
    void run_action(answer_caller& a);
    void run_action(dispatch_query& a);
    void run_action(dispatch_submit& a);
    void run_action(cancel_dispatch& a);
    void run_action(send_part& a);
    void run_action(send_described& a);
    void run_action(send_submit_result& a);
    void run_action(poll_status& a);
    void run_action(set_connections& a);
    void run_action(report_crash& a);
    void run_action(put_claim& a);
    void run_action(get_claim& a);
    void run_action(forward_submit& a);
    void run_action(answer_submit& a);

    void on_batch_event(host_id const& to, request_id id, stream_event event);
    void on_describe_event(host_id const& to, request_id id,
                           stream_event event);
    void on_submit_event(request_id id, stream_event event);
    void on_claim_written(request_id id,
                          platform_result<platform_object> result);
    void on_claim_read(request_id id, platform_result<platform_object> result);

    void on_peer_silence(host_id const& peer, bool silent);
    peer_address const* address_of(host_id const& id) const;
    bool is_self(host_id const& id) const;
    void arm_timer();
    void on_timer();
    void watch_upstreams();

    lane_environment env_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer watch_timer_;
    std::optional<time_point> armed_;

    std::shared_ptr<routing_view const> view_;
    std::unordered_map<host_id, peer_address> addresses_;

    query_engine query_;
    owner_engine owner_;
    submit_engine submit_;
    query_actions query_actions_;
    owner_actions owner_actions_;
    submit_actions submit_actions_;

    batch_router router_;
    upstream_pool pool_;
    upstream_watch watch_;
    peer_client peers_;
    std::unique_ptr<http_server> callers_;
    std::unique_ptr<peer_server> peer_server_;

    drain_admission admission_;
    std::uint64_t next_caller_ = 1;
    std::unordered_map<caller_handle, pending_query> callers_pending_;
    std::unordered_map<std::uint64_t, http_responder> submits_pending_;
    std::unordered_map<request_id, outgoing> outgoing_;
};

} // namespace snipemill
