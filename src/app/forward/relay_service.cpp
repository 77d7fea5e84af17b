#include "app/forward/relay_service.hpp"

#include "adapters/codec/relay_codec.hpp"
#include "adapters/forward/relay_link.hpp"
#include "adapters/logging/logger.hpp"
#include "app/core_time.hpp"
#include "app/forward/request_log.hpp"
#include "core/base/overloaded.hpp"

#include <boost/asio/post.hpp>

#include <optional>
#include <utility>

namespace snipemill {

namespace {

// Queries are refused while this host has this many open runs, including those
// for its own callers. Bounds memory: a query over 90 shards holds 90 answers
// of about 1 KB, so 400 runs hold 36 MB. A relay has at least 160 MB.
constexpr std::size_t max_open_runs = 400;

// Time for which queries to routes of the previous manifest are still run.
// Hosts apply a manifest within about 0.2 s of one another, and a host must not
// use an older manifest more than 250 ms after a newer one.
constexpr duration previous_manifest_lifetime = from_ms(200);

peer_link_options server_options(listen_address const& address,
                                 std::shared_ptr<receive_budget> memory)
{
    return {
        .ip = address.ip, .port = address.port, .memory = std::move(memory)};
}

} // namespace

struct relay_service::served_query
{
    std::shared_ptr<indexed_manifest const> manifest; // has the route
    forward_route const* route = nullptr;
    std::shared_ptr<peer_responder> responder;
    relay_query query;
    time_point received{};
    std::optional<std::uint64_t> run;
    bool cancelled = false;
};

relay_service::relay_service(boost::asio::io_context& io,
                             listen_address const& address, run_table& runs,
                             run_factory make,
                             std::shared_ptr<receive_budget> memory)
    : io_(io), runs_(runs), run_factory_(std::move(make)),
      server_(io, server_options(address, std::move(memory)),
              [this](peer_request request) { on_request(std::move(request)); })
{}

void relay_service::set_manifest(
    std::shared_ptr<indexed_manifest const> current)
{
    if (current != current_) {
        previous_ = std::exchange(current_, std::move(current));
        adopted_at_ = core_now();
    }
}

std::shared_ptr<indexed_manifest const>
relay_service::find_manifest(relay_query const& query) const
{
    auto const has_route = [&](auto const& it) {
        return it && it->gathers.find(query.route, query.fingerprint);
    };
    if (has_route(current_)) {
        return current_;
    }
    bool const recent = core_now() - adopted_at_ < previous_manifest_lifetime;
    return recent && has_route(previous_) ? previous_ : nullptr;
}

void relay_service::on_request(peer_request request)
{
    auto const refuse = [&](relay_refusal reason) {
        request.responder->send(encode(relay_refused{reason}), true);
    };
    if (draining_ || !current_) {
        refuse(relay_refusal::leaving);
        return;
    }
    if (cut_off_) {
        refuse(relay_refusal::cut_off);
        return;
    }
    if (request.path == relay_paths::probe) {
        request.responder->send(encode(relay_accepted{}), true);
        return;
    }
    auto query = decode_relay_query(request.message);
    if (request.path != relay_paths::run || !query) {
        return; // dropping the responder resets the stream
    }
    if (runs_.size() >= max_open_runs) {
        refuse(relay_refusal::busy);
        return;
    }
    auto const it = std::make_shared<served_query>(
        served_query{.responder = std::move(request.responder),
                     .query = std::move(*query),
                     .received = core_now()});
    *request.on_gone = [this, it] {
        it->cancelled = true;
        if (it->run) {
            if (auto const summary = runs_.cancel(*it->run)) {
                log_request("relayed_request", it->query.request->id, *summary,
                            {.status = 499,
                             .latency = core_now() - it->received,
                             .reason = "the host cancelled the query"});
            }
        }
    };
    // After a suspension this process reads queries together with their
    // cancellations. Accepting is deferred until both have been read, so that
    // cancelled queries are not started.
    boost::asio::post(io_, [this, it] {
        if (!it->cancelled) {
            accept(it);
        }
    });
}

// Sends the acceptance before the run starts: writing the requests to all
// shards takes longer than the calling host waits for an acceptance.
void relay_service::accept(std::shared_ptr<served_query> const& it)
{
    it->manifest = find_manifest(it->query);
    if (!it->manifest) {
        it->responder->send(encode(relay_refused{relay_refusal::other_route}),
                            true);
        return;
    }
    it->route =
        it->manifest->gathers.find(it->query.route, it->query.fingerprint);
    it->responder->send(encode(relay_accepted{}), false);
    boost::asio::post(io_, [this, it] {
        if (!it->cancelled) {
            begin(it);
        }
    });
}

void relay_service::begin(std::shared_ptr<served_query> const& it)
{
    auto const now = core_now();
    request_run::options o{.state = it->manifest->state,
                           .route = it->route,
                           .request = it->query.request,
                           .attempts = it->query.attempts,
                           .arrival = now - it->query.elapsed,
                           .end = now + it->query.left};
    auto const number = runs_.start(
        [&](run_callbacks callbacks) {
            o.on_answer = std::move(callbacks.on_answer);
            o.on_timer_changed = std::move(callbacks.on_timer_changed);
            return run_factory_(std::move(o));
        },
        [it](caller_answer answer, run_summary const& summary) {
            auto const latency = core_now() - it->received;
            relay_answer out{.summary = summary};
            unsigned status = 200;
            std::string reason;
            std::visit(
                overloaded{[](proxied_answer&) {
                               // Fan-out queries have no proxied answer.
                           },
                           [&](merged_answer& a) { out.answer = std::move(a); },
                           [&](error_answer& a) {
                               status = a.status;
                               reason = a.reason.detail;
                               out.answer = std::move(a);
                           }},
                answer);
            log_request(
                "relayed_request", it->query.request->id, summary,
                {.status = status, .latency = latency, .reason = reason});
            it->responder->send(encode(out), true);
        });
    it->run = number;
}

} // namespace snipemill
