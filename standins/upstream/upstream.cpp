#include "upstream/upstream.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace standin {

namespace {

namespace json = boost::json;

std::optional<std::uint64_t> whole(std::string const& text)
{
    std::uint64_t n = 0;
    auto const* end = text.data() + text.size();
    auto const [ptr, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || ptr != end) {
        return std::nullopt;
    }
    return n;
}

json::object const* object_in(json::object const& o, char const* name)
{
    auto const* it = o.if_contains(name);
    return it == nullptr ? nullptr : it->if_object();
}

bool flag_in(json::object const& o, char const* name)
{
    auto const* it = o.if_contains(name);
    return it != nullptr && it->is_bool() && it->get_bool();
}

std::optional<double> number_in(json::object const& o, char const* name)
{
    auto const* it = o.if_contains(name);
    if (it == nullptr || !it->is_number()) {
        return std::nullopt;
    }
    return it->to_number<double>();
}

std::string text_in(json::object const& o, char const* name)
{
    auto const* it = o.if_contains(name);
    bool const text = it != nullptr && it->is_string();
    return text ? std::string(it->get_string()) : std::string();
}

void bad_request(exchange& e, std::string const& reason)
{
    e.reply({.status = 400, .body = R"({"error":")" + reason + R"("})"});
}

search_request read_search(json::object const& body, json::object const& query)
{
    search_request out;
    out.min_rank = number_in(query, "min_rank");
    out.max_rank = number_in(query, "max_rank");
    out.prefix = text_in(query, "prefix");
    out.limit = static_cast<std::uint64_t>(
        std::max(0.0, number_in(body, "limit").value_or(20)));
    out.descending = text_in(body, "order") == "desc";
    return out;
}

} // namespace

upstream::upstream(boost::asio::io_context& io, upstream_settings settings,
                   clock_type::time_point started)
    : io_(io), settings_(std::move(settings)), started_(started),
      capacity_(io, settings_, counters_), index_(settings_),
      server_(io,
              {.port = settings_.port,
               .max_connections = settings_.connections,
               .setup_delay = std::chrono::microseconds(
                   static_cast<std::int64_t>(settings_.connect_ms * 1000))},
              [this](exchange_ptr const& e) { on_request(e); }),
      listen_timer_(io)
{}

void upstream::on_request(exchange_ptr const& e)
{
    std::string const first = e->path.empty() ? "" : e->path.front();
    if (first == "control") {
        on_control(e);
    }
    else if (e->method == "POST" && (first == "search" || first == "execute")) {
        on_work(e);
    }
    else if (e->method == "DELETE" && first == "requests" &&
             e->path.size() == 2) {
        cancel(*e);
    }
    else if (e->method == "GET" && first == "status") {
        e->reply({.body = status()});
    }
    else {
        e->reply({.status = 404});
    }
}

void upstream::on_work(exchange_ptr const& e)
{
    ++counters_.requests;
    counters_.last_request_ms = now_ms();
    if (draining_) {
        e->reply({.status = 503, .headers = {{"X-Draining", "1"}}});
        return;
    }
    boost::system::error_code ec;
    auto const v = json::parse(e->body, ec);
    if (ec || !v.is_object() || !whole(e->header("x-request-id")) ||
        !whole(e->header("x-deadline-ms"))) {
        bad_request(*e, "malformed body or headers");
        return;
    }
    if (e->path.front() == "search") {
        search(e, v.get_object());
    }
    else {
        execute(e, v.get_object());
    }
}

void upstream::search(exchange_ptr const& e, json::object const& body)
{
    auto const version = whole(e->header("x-index-version"));
    auto const* query = object_in(body, "query");
    if (!version || query == nullptr) {
        bad_request(*e, "X-Index-Version or query missing");
        return;
    }
    auto const& all = settings_.versions;
    if (std::find(all.begin(), all.end(), *version) == all.end()) {
        e->reply({.status = 410, .body = held()});
        return;
    }
    submit(
        e, flag_in(*query, "crash"), [] {},
        [this, e, v = *version, request = read_search(body, *query)] {
            e->reply({.body = index_.search(v, request)});
        });
}

void upstream::execute(exchange_ptr const& e, json::object const& body)
{
    auto const* request = object_in(body, "request");
    if (e->header("idempotency-key").empty() || request == nullptr) {
        bad_request(*e, "Idempotency-Key or request missing");
        return;
    }
    if (execute_fault_ == execute_fault::before) {
        ++counters_.closed_before;
        e->drop();
        return;
    }
    submit(
        e, flag_in(*request, "crash"),
        [this, e] { ++executed_[e->header("idempotency-key")]; },
        [this, e, rejected = flag_in(*request, "reject")] {
            finish_execute(*e, rejected);
        });
}

void upstream::finish_execute(exchange& e, bool rejected)
{
    if (execute_fault_ == execute_fault::during) {
        ++counters_.closed_during;
        e.drop();
        return;
    }
    // No two runs have the same answer, so that a caller can tell whether a
    // resend was given the first one.
    auto const run = std::to_string(server_.port()) + "-" +
                     std::to_string(++execute_answers_);
    std::string const result = rejected ? "rejected" : "executed";
    response r{.status = rejected ? 409U : 200U,
               .body = "{\"" + result + R"(":true,"run":")" + run + "\"}"};
    if (execute_fault_ == execute_fault::after) {
        ++counters_.closed_after;
        r.close = true;
    }
    e.reply(std::move(r));
}

void upstream::submit(exchange_ptr const& e, bool crashes,
                      std::function<void()> start, std::function<void()> finish)
{
    auto j = std::make_shared<job>();
    j->request = e;
    j->id = whole(e->header("x-request-id")).value_or(0);
    // Bounded, so that the sum stays in the range of the clock.
    j->deadline =
        clock_type::now() +
        std::chrono::milliseconds(std::min<std::uint64_t>(
            whole(e->header("x-deadline-ms")).value_or(0), 86'400'000));
    j->start = std::move(start);
    j->finish = std::move(finish);
    if (crashes) {
        j->finish = [this] { crash(); };
    }
    capacity_.submit(j);
}

// Loses every connection and the listener for a time, then starts cold.
void upstream::crash()
{
    ++counters_.crashes;
    capacity_.clear();
    capacity_.turn_cold();
    stop_listening(settings_.restart_ms);
}

// Closes the listener and every connection but those for /control. A second
// call replaces the time of the first.
void upstream::stop_listening(double ms)
{
    server_.close();
    listen_timer_.expires_after(
        std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
    listen_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            server_.open();
        }
    });
}

// The listener stays open: connection attempts succeed at once.
void upstream::restart()
{
    capacity_.clear();
    server_.drop_connections();
    capacity_.turn_cold();
}

void upstream::cancel(exchange& e)
{
    auto const id = whole(e.path[1]);
    bool const found = id && capacity_.cancel(*id);
    e.reply({.status = found ? 204U : 404U});
}

std::string upstream::status()
{
    auto const now = clock_type::now();
    std::chrono::duration<double, std::milli> const age = now - status_at_;
    if (status_.empty() || age.count() >= settings_.status_lag_ms) {
        status_ = status_now();
        status_at_ = now;
    }
    return status_;
}

std::string upstream::status_now() const
{
    std::string out = R"({"starting":)";
    out += capacity_.cold() ? "true" : "false";
    out += R"(,"draining":)";
    out += draining_ ? "true" : "false";
    out += R"(,"in_flight":)" + std::to_string(capacity_.in_flight());
    out += R"(,"held":[)";
    for (auto const v : settings_.versions) {
        out += out.back() == '[' ? "" : ",";
        out += index_.describe(v);
    }
    return out + "]}";
}

std::string upstream::held() const
{
    std::string out = R"({"held":[)";
    for (auto const v : settings_.versions) {
        out += out.back() == '[' ? "" : ",";
        out += std::to_string(v);
    }
    return out + "]}";
}

std::int64_t upstream::now_ms() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               clock_type::now() - started_)
        .count();
}

} // namespace standin
