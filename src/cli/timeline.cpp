#include "cli/arguments.hpp"
#include "cli/commands.hpp"
#include "cli/fleet.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace snipemill::cli {

namespace {

namespace json = boost::json;

constexpr auto follow_interval = std::chrono::milliseconds(500);

struct timeline_event
{
    std::uint64_t wall_us = 0;
    std::uint32_t counter = 0;
    std::uint64_t sequence = 0;
    std::string host;
    std::string kind;
    std::string subject;
    std::string detail;

    auto order() const { return std::tie(wall_us, counter, host, sequence); }
};

struct event_filter
{
    std::string kind;    // empty: every kind
    std::string subject; // empty: every subject

    bool accepts(timeline_event const& e) const
    {
        return (kind.empty() || e.kind == kind) &&
               (subject.empty() ||
                e.subject.find(subject) != std::string::npos);
    }
};

std::string text_of(json::object const& o, char const* key)
{
    return std::string(o.at(key).as_string());
}

timeline_event parse_event(std::string const& host, json::object const& o)
{
    return {.wall_us = o.at("wall_us").to_number<std::uint64_t>(),
            .counter = o.at("counter").to_number<std::uint32_t>(),
            .sequence = o.at("sequence").to_number<std::uint64_t>(),
            .host = host,
            .kind = text_of(o, "kind"),
            .subject = text_of(o, "subject"),
            .detail = text_of(o, "detail")};
}

// Reads the events of every host that came after the last read.
class timeline_reader
{
public:
    explicit timeline_reader(std::vector<endpoint> hosts)
        : hosts_(std::move(hosts)), last_(hosts_.size())
    {}

    std::vector<timeline_event> read()
    {
        std::vector<timeline_event> out;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            http_request const request{.method = "GET",
                                       .target = "/v1/timeline?after=" +
                                                 std::to_string(last_[i])};
            auto const body = parse_object(call(hosts_[i], request));
            if (body) {
                add_events(i, *body, out);
            }
        }
        std::sort(out.begin(), out.end(),
                  [](timeline_event const& a, timeline_event const& b) {
                      return a.order() < b.order();
                  });
        return out;
    }

private:
    void add_events(std::size_t i, json::object const& body,
                    std::vector<timeline_event>& out)
    {
        auto const host = text_of(body, "host");
        for (auto const& it : body.at("events").as_array()) {
            out.push_back(parse_event(host, it.as_object()));
            last_[i] = std::max(last_[i], out.back().sequence);
        }
    }

    std::vector<endpoint> hosts_;
    std::vector<std::uint64_t> last_; // sequence, per host
};

std::string format_time(std::uint64_t wall_us)
{
    auto const seconds = static_cast<std::time_t>(wall_us / 1'000'000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S.") << std::setw(6)
        << std::setfill('0') << wall_us % 1'000'000 << 'Z';
    return out.str();
}

void print_event(timeline_event const& e, output_format format)
{
    if (format == output_format::json) {
        std::cout << json::serialize(json::object{{"wall_us", e.wall_us},
                                                  {"counter", e.counter},
                                                  {"host", e.host},
                                                  {"kind", e.kind},
                                                  {"subject", e.subject},
                                                  {"detail", e.detail}})
                  << '\n';
        return;
    }
    std::cout << format_time(e.wall_us) << '+' << e.counter << "  " << std::left
              << std::setw(20) << e.host << std::setw(24) << e.kind
              << e.subject;
    if (!e.detail.empty()) {
        std::cout << "  " << e.detail;
    }
    std::cout << '\n';
}

} // namespace

leaf::result<int> run_timeline(int argc, char** argv)
{
    cxxopts::Options options("snipemill timeline",
                             "Shows the events of all hosts in causal order.");
    options.add_options()("host", "operator endpoint of any host, IP:PORT",
                          cxxopts::value<std::string>())(
        "kind", "only events of this kind",
        cxxopts::value<std::string>()->default_value(""))(
        "subject", "only events whose subject contains this text",
        cxxopts::value<std::string>()->default_value(""))(
        "follow", "go on with new events until interrupted");
    BOOST_LEAF_AUTO(args, parse_arguments(options, argc, argv));
    BOOST_LEAF_AUTO(format, output_of(args));
    BOOST_LEAF_AUTO(host, endpoint_of(args, "host"));
    BOOST_LEAF_AUTO(fleet, fetch_fleet(host));
    std::vector<endpoint> endpoints;
    endpoints.reserve(fleet.size());
    for (auto const& it : fleet) {
        endpoints.push_back(it.operator_endpoint);
    }
    event_filter const filter{.kind = args["kind"].as<std::string>(),
                              .subject = args["subject"].as<std::string>()};
    timeline_reader reader(std::move(endpoints));
    do {
        for (auto const& it : reader.read()) {
            if (filter.accepts(it)) {
                print_event(it, format);
            }
        }
        std::cout.flush();
        if (args.count("follow") > 0) {
            std::this_thread::sleep_for(follow_interval);
        }
    } while (args.count("follow") > 0);
    return exit_ok;
}

} // namespace snipemill::cli
