#include "load_generator.hpp"

#include "platform/names.hpp"

#include <utility>
#include <vector>

namespace soak {

namespace names = snipemill::platform::names;
using snipemill::http_client;
using snipemill::http_client_options;
using snipemill::http_failed;
using snipemill::http_request;
using snipemill::http_response;
using snipemill::http_result;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds request_interval{8};
constexpr milliseconds poll_interval{500};
constexpr milliseconds poll_timeout{400};
constexpr int max_failed_polls = 2;

// A crashing request is sent at this interval, each time to another host, and
// replaced by another one after this number of times.
constexpr milliseconds crash_interval{400};
constexpr std::uint64_t sends_per_crashing_request = 30;

// Deadline sent with each request, and the time-out of the HTTP client.
constexpr unsigned deadline_ms = 800;
constexpr auto client_timeout = snipemill::from_ms(1500);

// A host without a fault for this time must complete its open requests after
// SIGTERM.
constexpr milliseconds settle_time{4000};

http_client_options client_options(std::uint16_t port)
{
    return {.ip = "127.0.0.1",
            .port = port,
            .host = "soak",
            .max_connections = 24,
            .connect_timeout = snipemill::from_ms(500)};
}

std::string header_of(http_response const& from, std::string_view name)
{
    std::string out;
    for (auto const& [key, value] : from.headers) {
        if (key == name) {
            out += (out.empty() ? "" : ",") + value;
        }
    }
    return out;
}

} // namespace

load_generator::load_generator(boost::asio::io_context& io, test_fleet& fleet,
                               invariant_checker& checks, std::uint64_t seed)
    : io_(io), fleet_(fleet), checks_(checks), random_(seed),
      request_timer_(io), readiness_timer_(io), crash_timer_(io)
{
    for (auto const& it : fleet_.hosts()) {
        caller_clients_[it->name] =
            std::make_unique<http_client>(io_, client_options(it->caller_port));
        readiness_clients_[it->name] = std::make_unique<http_client>(
            io_, client_options(it->readiness_port));
        failed_polls_[it->name] = max_failed_polls;
    }
}

void load_generator::start()
{
    poll_readiness();
    send_next();
    send_crashing();
}

void load_generator::stop()
{
    stopped_ = true;
    request_timer_.cancel();
    readiness_timer_.cancel();
    crash_timer_.cancel();
}

void load_generator::poll_readiness()
{
    for (auto const& it : fleet_.hosts()) {
        readiness_clients_[it->name]->send(
            {.method = "GET", .target = "/v1/ready"},
            std::chrono::duration_cast<snipemill::duration>(poll_timeout),
            [this, name = it->name](http_result result) {
                auto const* const answer = std::get_if<http_response>(&result);
                auto& failed_polls = failed_polls_[name];
                failed_polls =
                    answer && answer->status == 200 ? 0 : failed_polls + 1;
            });
    }
    readiness_timer_.expires_after(poll_interval);
    readiness_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec && !stopped_) {
            poll_readiness();
        }
    });
}

host* load_generator::pick_ready_host()
{
    std::vector<host*> ready;
    for (auto const& it : fleet_.hosts()) {
        if (failed_polls_[it->name] < max_failed_polls) {
            ready.push_back(it.get());
        }
    }
    if (ready.empty()) {
        return nullptr;
    }
    return ready[random_() % ready.size()];
}

void load_generator::send_next()
{
    if (auto* const to = pick_ready_host()) {
        auto const draw = random_() % 10;
        send_request(*to, draw < 6   ? request_kind::fan_out
                          : draw < 8 ? request_kind::idempotent
                                     : request_kind::non_idempotent);
    }
    request_timer_.expires_after(request_interval);
    request_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec && !stopped_) {
            send_next();
        }
    });
}

void load_generator::send_request(host& to, request_kind kind)
{
    request_outcome outcome{.id = "r" + std::to_string(next_id_++),
                            .kind = kind,
                            .sent = std::chrono::steady_clock::now()};
    auto const* const path = kind == request_kind::fan_out      ? "/wide/x"
                             : kind == request_kind::idempotent ? "/one/x"
                                                                : "/once/x";
    send(to, std::move(outcome), path);
}

void load_generator::send_crashing()
{
    if (stopped_ || !crashing_) {
        return;
    }
    if (auto* const to = pick_ready_host()) {
        auto const number = crashing_sends_++ / sends_per_crashing_request;
        bool const wide = number % 2 == 1;
        request_outcome outcome{.id = "c" + std::to_string(next_id_++),
                                .kind = wide ? request_kind::fan_out
                                             : request_kind::idempotent,
                                .crashing = true,
                                .sent = std::chrono::steady_clock::now()};
        auto const path = std::string(wide ? "/wide" : "/one") +
                          standin::crash_path + std::to_string(number);
        checks_.on_crashing_request(outcome.id, path, *to);
        send(*to, std::move(outcome), path);
    }
    crash_timer_.expires_after(crash_interval);
    crash_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            send_crashing();
        }
    });
}

void load_generator::send(host& to, request_outcome outcome, std::string path)
{
    http_request request{
        .method = "GET",
        .target = std::move(path),
        .headers = {{names::request_id, outcome.id},
                    {names::time_left, std::to_string(deadline_ms)}}};
    caller_clients_[to.name]->send(
        std::move(request), client_timeout,
        [this, &to, outcome = std::move(outcome)](http_result result) mutable {
            on_result(to, std::move(outcome), std::move(result));
        });
}

void load_generator::on_result(host const& to, request_outcome outcome,
                               http_result result)
{
    outcome.ended = std::chrono::steady_clock::now();
    if (auto const* const answer = std::get_if<http_response>(&result)) {
        outcome.status = answer->status;
        outcome.stamps = header_of(
            *answer, outcome.kind == request_kind::fan_out ? names::shard_stamps
                                                           : names::stamp);
        outcome.missing = header_of(*answer, names::missing_shards);
        outcome.body = answer->body;
    }
    else if (to.draining && std::get<http_failed>(result).sent &&
             outcome.ended - to.last_fault_at > settle_time &&
             outcome.ended - outcome.sent < milliseconds(deadline_ms) &&
             fleet_.runs().contains(outcome.id)) {
        checks_.report_violation("request " + outcome.id +
                                 " failed without an answer at " + to.name +
                                 " while the host was draining");
    }
    checks_.on_outcome(outcome);
}

} // namespace soak
