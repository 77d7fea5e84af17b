#include "adapters/upstream/upstream_answers.hpp"

#include "adapters/codec/upstream_json.hpp"

#include <boost/json/error.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace snipemill {

namespace {

std::string const& header(http_response const& response, std::string_view name)
{
    static std::string const empty;
    for (auto const& [key, value] : response.headers) {
        if (key == name) {
            return value;
        }
    }
    return empty;
}

std::string milliseconds(duration d)
{
    auto const n =
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
    return std::to_string(std::max<std::int64_t>(n, 0));
}

boost::json::error_code json_fault(std::string const& text)
{
    boost::json::error_code ec;
    boost::json::parse(text, ec);
    return ec;
}

// An answer without a length ends where the connection ends, so that one that
// is cut off shows only in its text.
bool cut_off(http_response const& response)
{
    return header(response, "content-length").empty() &&
           header(response, "transfer-encoding").empty() &&
           json_fault(response.body) == boost::json::error::incomplete;
}

void count(exchange_failed const& failed, upstream_counters& counters)
{
    switch (failed.fault) {
    case exchange_fault::closed:
        counters.resets += failed.sent ? 1 : 0;
        return;
    case exchange_fault::truncated:
        ++counters.truncated;
        return;
    case exchange_fault::malformed:
        ++counters.malformed;
        return;
    }
}

sub_failure failure_of(exchange_failed const& failed)
{
    if (!failed.sent) {
        return {.outcome = sub_outcome::unreachable};
    }
    // A crash can also cut off an answer that has begun.
    bool const lost = failed.fault != exchange_fault::malformed;
    return {.outcome = lost ? sub_outcome::reset : sub_outcome::malformed};
}

submit_outcome failure_of_submit(exchange_failed const& failed)
{
    if (!failed.sent) {
        return submit_not_run{.reason = errc::upstream_unreachable};
    }
    bool const lost = failed.fault != exchange_fault::malformed;
    return submit_unknown{.reason = lost ? errc::upstream_reset
                                         : errc::upstream_failed};
}

sub_result read_search_answer(http_response const& response,
                              upstream_counters& counters)
{
    if (auto answer = parse_sub_answer(response.body)) {
        return std::move(*answer);
    }
    if (cut_off(response)) {
        ++counters.truncated;
        return sub_failure{.outcome = sub_outcome::reset};
    }
    ++counters.malformed;
    return sub_failure{.outcome = sub_outcome::malformed};
}

bool draining(http_response const& response)
{
    return header(response, "x-draining") == "1";
}

} // namespace

std::string write_search(sub_request const& request, std::uint64_t id,
                         duration remaining, std::string const& host)
{
    return write_http_request(
        {.method = "POST",
         .target = "/search",
         .headers = {{"X-Request-Id", std::to_string(id)},
                     {"X-Index-Version", std::to_string(request.version.value)},
                     {"X-Deadline-Ms", milliseconds(remaining)},
                     {"Content-Type", "application/json"}},
         .body = write_sub_request(request)},
        host);
}

std::string write_execute(submit_forward const& request, std::uint64_t id,
                          duration remaining, std::string const& host)
{
    std::string body = R"({"group":)";
    body += boost::json::serialize(boost::json::string(request.group));
    body += R"(,"request":)";
    body += request.body.empty() ? "null" : request.body;
    body += "}";
    return write_http_request(
        {.method = "POST",
         .target = "/execute",
         .headers = {{"X-Request-Id", std::to_string(id)},
                     {"X-Deadline-Ms", milliseconds(remaining)},
                     {"Idempotency-Key", request.key},
                     {"Content-Type", "application/json"}},
         .body = std::move(body)},
        host);
}

std::string write_cancel(std::uint64_t id, std::string const& host)
{
    return write_http_request(
        {.method = "DELETE", .target = "/requests/" + std::to_string(id)},
        host);
}

std::string write_status_request(std::string const& host)
{
    return write_http_request({.method = "GET", .target = "/status"}, host);
}

sub_result read_query_result(exchange_result const& result,
                             upstream_counters& counters)
{
    if (auto const* const failed = std::get_if<exchange_failed>(&result)) {
        count(*failed, counters);
        return failure_of(*failed);
    }
    auto const& response = std::get<http_response>(result);
    switch (response.status) {
    case 200:
        return read_search_answer(response, counters);
    case 400:
        return sub_failure{.outcome = sub_outcome::refused};
    case 410:
        return sub_failure{.outcome = sub_outcome::version_gone,
                           .held = parse_held_versions(response.body)};
    case 499:
        return sub_failure{.outcome = sub_outcome::cancelled};
    case 503:
        return sub_failure{.outcome = draining(response) ? sub_outcome::draining
                                                         : sub_outcome::shed};
    case 504:
        return sub_failure{.outcome = sub_outcome::timed_out};
    default:
        ++counters.malformed;
        return sub_failure{.outcome = sub_outcome::malformed};
    }
}

submit_outcome read_submit_outcome(exchange_result result,
                                   upstream_counters& counters)
{
    if (auto const* const failed = std::get_if<exchange_failed>(&result)) {
        count(*failed, counters);
        return failure_of_submit(*failed);
    }
    auto& response = std::get<http_response>(result);
    switch (response.status) {
    case 400:
        return submit_not_run{.reason = errc::malformed_request};
    case 499:
        return submit_unknown{.reason = errc::cancelled};
    case 503:
        return submit_not_run{.reason = draining(response)
                                            ? errc::upstream_draining
                                            : errc::upstream_shed};
    case 504:
        return submit_not_run{.reason = errc::deadline_exceeded};
    default:
        break;
    }
    bool const ran = response.status == 200 ||
                     (response.status > 400 && response.status < 500);
    if (ran && !json_fault(response.body)) {
        return submit_answered{.status = response.status,
                               .body = std::move(response.body)};
    }
    if (ran && cut_off(response)) {
        ++counters.truncated;
        return submit_unknown{.reason = errc::upstream_reset};
    }
    ++counters.malformed;
    return submit_unknown{.reason = errc::upstream_failed};
}

} // namespace snipemill
