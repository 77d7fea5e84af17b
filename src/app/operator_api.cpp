#include "app/operator_api.hpp"

#include <charconv>
#include <optional>
#include <utility>

namespace snipemill {

namespace {

constexpr char const* metrics_type = "text/plain; version=0.0.4";

http_response refusal(errc code, std::string detail)
{
    failure const f{
        .code = code, .run = run_state::not_run, .detail = std::move(detail)};
    return {.status = http_status(code), .body = write_failure(f)};
}

// Value of "name=<number>" in a query string.
std::optional<std::uint64_t> number_parameter(std::string const& query,
                                              std::string const& name)
{
    auto const prefix = name + "=";
    auto const at = query.find(prefix);
    if (at == std::string::npos || (at > 0 && query[at - 1] != '&')) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    auto const* first = query.data() + at + prefix.size();
    auto const result =
        std::from_chars(first, query.data() + query.size(), value);
    if (result.ec != std::errc()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

operator_api::operator_api(host_settings const& settings,
                           control_plane& control, event_log const& events,
                           traffic_metrics const& metrics,
                           lane_collector collect)
    : settings_(&settings), control_(&control), events_(&events),
      metrics_(&metrics), collect_(std::move(collect))
{
    auto options = settings.http;
    options.ip = settings.ip;
    options.port = settings.operator_port;
    server_ = std::make_unique<http_server>(
        control.io(), options,
        [this](http_request const& request, http_responder respond) {
            serve(request, std::move(respond));
            return std::function<void()>();
        });
}

void operator_api::serve(http_request const& request, http_responder respond)
{
    auto const mark = request.target.find('?');
    auto const path = request.target.substr(0, mark);
    auto const query = mark == std::string::npos
                           ? std::string()
                           : request.target.substr(mark + 1);
    if (path == "/healthz") {
        respond({.body = "{\"healthy\": true}"});
    }
    else if (path == "/readyz") {
        serve_ready(respond);
    }
    else if (path == "/metrics") {
        serve_metrics(std::move(respond));
    }
    else if (path == "/v1/status") {
        serve_status(std::move(respond));
    }
    else if (path == "/v1/timeline") {
        serve_timeline(query, respond);
    }
    else if (path == "/v1/crashes") {
        serve_crashes(request, query, respond);
    }
    else {
        respond(refusal(errc::unknown_route, "no such path: " + path));
    }
}

void operator_api::serve_ready(http_responder const& respond)
{
    if (control_->ready()) {
        respond({.body = "{\"ready\": true}"});
    }
    else {
        respond({.status = 503, .body = "{\"ready\": false}"});
    }
}

void operator_api::serve_status(http_responder respond)
{
    collect_([this, respond = std::move(respond)](lane_status const& traffic) {
        respond({.body = write_host_status(*settings_, control_->status(),
                                           traffic)});
    });
}

void operator_api::serve_metrics(http_responder respond)
{
    collect_([this, respond = std::move(respond)](lane_status const& traffic) {
        respond(
            {.content_type = metrics_type,
             .body = write_metrics(control_->status(), traffic, *metrics_)});
    });
}

void operator_api::serve_timeline(std::string const& query,
                                  http_responder const& respond)
{
    auto const after = number_parameter(query, "after").value_or(0);
    respond({.body = write_timeline(settings_->name, events_->after(after))});
}

// GET lists the records; POST and DELETE with ?fingerprint=N add and remove
// one.
void operator_api::serve_crashes(http_request const& request,
                                 std::string const& query,
                                 http_responder const& respond)
{
    if (request.method == "GET") {
        respond({.body = write_crashes(control_->crashes().records())});
        return;
    }
    auto const number = number_parameter(query, "fingerprint");
    if (!number) {
        respond(refusal(errc::malformed_request,
                        "fingerprint must be a decimal number"));
        return;
    }
    fingerprint const print(*number);
    if (request.method == "POST") {
        control_->crashes().add(core_now(), print);
    }
    else if (request.method == "DELETE") {
        if (!control_->crashes().remove(print)) {
            respond(refusal(errc::not_found, "no such fingerprint"));
            return;
        }
    }
    else {
        respond(refusal(errc::unknown_route, "no such method"));
        return;
    }
    control_->crashes_changed();
    respond({.body = write_crashes(control_->crashes().records())});
}

} // namespace snipemill
