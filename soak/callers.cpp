#include "callers.hpp"

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

constexpr milliseconds ask_interval{8};
constexpr milliseconds poll_interval{500};
constexpr milliseconds poll_timeout{400};
constexpr int misses_until_out = 2;

// What a caller waits for an answer, and when it gives up on the connection.
constexpr unsigned deadline_ms = 800;
constexpr auto give_up = snipemill::from_ms(1500);

// Around a SIGTERM alone no request may be cut.
constexpr milliseconds calm_before{4000};

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

callers::callers(boost::asio::io_context& io, world& w, checker& checks,
                 std::uint64_t seed)
    : io_(io), world_(w), checks_(checks), random_(seed), ask_timer_(io),
      poll_timer_(io)
{
    for (auto const& it : world_.hosts()) {
        traffic_[it->name] =
            std::make_unique<http_client>(io_, client_options(it->callers));
        readiness_[it->name] =
            std::make_unique<http_client>(io_, client_options(it->readiness));
        misses_[it->name] = misses_until_out;
    }
}

void callers::start()
{
    poll_readiness();
    ask_again();
}

void callers::stop()
{
    stopped_ = true;
    ask_timer_.cancel();
    poll_timer_.cancel();
}

void callers::poll_readiness()
{
    for (auto const& it : world_.hosts()) {
        readiness_[it->name]->send(
            {.method = "GET", .target = "/v1/ready"},
            std::chrono::duration_cast<snipemill::duration>(poll_timeout),
            [this, name = it->name](http_result result) {
                auto const* const answer = std::get_if<http_response>(&result);
                auto& misses = misses_[name];
                misses = answer && answer->status == 200 ? 0 : misses + 1;
            });
    }
    poll_timer_.expires_after(poll_interval);
    poll_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec && !stopped_) {
            poll_readiness();
        }
    });
}

host* callers::pick()
{
    std::vector<host*> ready;
    for (auto const& it : world_.hosts()) {
        if (misses_[it->name] < misses_until_out) {
            ready.push_back(it.get());
        }
    }
    if (ready.empty()) {
        return nullptr;
    }
    return ready[random_() % ready.size()];
}

void callers::ask_again()
{
    if (auto* const to = pick()) {
        auto const draw = random_() % 10;
        ask_host(*to, draw < 6 ? ask::wide : draw < 8 ? ask::one : ask::once);
    }
    ask_timer_.expires_after(ask_interval);
    ask_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec && !stopped_) {
            ask_again();
        }
    });
}

void callers::ask_host(host& to, ask kind)
{
    attempt_end end{.id = "r" + std::to_string(next_id_++),
                    .kind = kind,
                    .sent = std::chrono::steady_clock::now()};
    auto const* const path = kind == ask::wide  ? "/wide/x"
                             : kind == ask::one ? "/one/x"
                                                : "/once/x";
    http_request request{
        .method = "GET",
        .target = path,
        .headers = {{names::request_id, end.id},
                    {names::time_left, std::to_string(deadline_ms)}}};
    traffic_[to.name]->send(
        std::move(request), give_up,
        [this, &to, end = std::move(end)](http_result result) mutable {
            on_result(to, std::move(end), std::move(result));
        });
}

void callers::on_result(host const& to, attempt_end end, http_result result)
{
    end.ended = std::chrono::steady_clock::now();
    if (auto const* const answer = std::get_if<http_response>(&result)) {
        end.status = answer->status;
        end.stamps =
            header_of(*answer, end.kind == ask::wide ? names::shard_stamps
                                                     : names::stamp);
        end.missing = header_of(*answer, names::missing_shards);
        end.body = answer->body;
    }
    else if (to.leaving && std::get<http_failed>(result).sent &&
             end.ended - to.disturbed > calm_before &&
             end.ended - end.sent < milliseconds(deadline_ms) &&
             world_.runs().contains(end.id)) {
        checks_.fail("request " + end.id + " was cut by " + to.name +
                     " while it left");
    }
    checks_.on_end(end);
}

} // namespace soak
