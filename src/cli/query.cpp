#include "cli/arguments.hpp"
#include "cli/commands.hpp"
#include "cli/http_call.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <iomanip>
#include <iostream>
#include <string>
#include <utility>

namespace snipemill::cli {

namespace {

namespace json = boost::json;

// Parses an option that holds a JSON object.
leaf::result<json::object> object_option(cxxopts::ParseResult const& args,
                                         std::string const& name)
{
    boost::system::error_code ec;
    auto value = json::parse(args[name].as<std::string>(), ec);
    if (ec || !value.is_object()) {
        return leaf::new_error(
            usage_error{"--" + name + " must be a JSON object"});
    }
    return std::move(value.as_object());
}

void print_coverage(json::object const& coverage)
{
    auto const& fraction = coverage.at("fraction");
    if (fraction.is_null()) {
        std::cout << "coverage  not known\n";
    }
    else {
        std::cout << "coverage  " << fraction.to_number<double>() << " ("
                  << coverage.at("merged") << " of "
                  << coverage.at("partitions") << " partitions)\n";
    }
    for (auto const& it : coverage.at("missing").as_array()) {
        std::cout << "missing   " << json::serialize(it) << '\n';
    }
}

void print_answer(std::string const& body)
{
    boost::system::error_code ec;
    auto const value = json::parse(body, ec);
    if (ec) {
        std::cout << body << '\n';
        return;
    }
    auto const& answer = value.as_object();
    std::cout << "snapshot  " << answer.at("snapshot") << '\n';
    print_coverage(answer.at("coverage").as_object());
    if (answer.at("deadline_cut").as_bool()) {
        std::cout << "the deadline cut this answer short\n";
    }
    std::cout << "total     " << answer.at("total") << "\n\n"
              << std::left << std::setw(12) << "rank" << std::setw(20) << "key"
              << "record\n";
    for (auto const& it : answer.at("records").as_array()) {
        auto const& record = it.as_object();
        std::cout << std::setw(12) << record.at("rank").to_number<double>()
                  << std::setw(20) << record.at("key").as_string().c_str()
                  << json::serialize(record.at("body")) << '\n';
    }
}

// Members of the query's body that have an option of their own.
json::object query_body(cxxopts::ParseResult const& args,
                        std::string const& group, json::object query)
{
    json::object body{{"group", group},
                      {"query", std::move(query)},
                      {"offset", args["offset"].as<std::uint32_t>()},
                      {"limit", args["limit"].as<std::uint32_t>()},
                      {"order", args["order"].as<std::string>()}};
    if (args.count("deadline-ms") > 0) {
        body["deadline_ms"] = args["deadline-ms"].as<std::uint32_t>();
    }
    if (args.count("min-coverage") > 0) {
        body["min_coverage"] = args["min-coverage"].as<double>();
    }
    if (args.count("partial") > 0) {
        body["partial"] = true;
    }
    return body;
}

} // namespace

leaf::result<int> run_query(int argc, char** argv)
{
    cxxopts::Options options("snipemill query",
                             "Sends a query to an entry host.");
    options.add_options()("host", "caller endpoint of an entry host, IP:PORT",
                          cxxopts::value<std::string>())(
        "group", "service group", cxxopts::value<std::string>())(
        "query", "the query, a JSON object",
        cxxopts::value<std::string>()->default_value("{}"))(
        "offset", "records to skip",
        cxxopts::value<std::uint32_t>()->default_value("0"))(
        "limit", "records to return",
        cxxopts::value<std::uint32_t>()->default_value("20"))(
        "order", "asc or desc",
        cxxopts::value<std::string>()->default_value("asc"))(
        "deadline-ms", "deadline", cxxopts::value<std::uint32_t>())(
        "min-coverage", "fraction that the answer must cover",
        cxxopts::value<double>())("partial",
                                  "accept an answer below min-coverage");
    BOOST_LEAF_AUTO(args, parse_arguments(options, argc, argv));
    BOOST_LEAF_AUTO(format, output_of(args));
    BOOST_LEAF_AUTO(host, endpoint_of(args, "host"));
    BOOST_LEAF_AUTO(group, required(args, "group"));
    BOOST_LEAF_AUTO(query, object_option(args, "query"));
    auto const body = query_body(args, group, std::move(query));
    BOOST_LEAF_AUTO(answer, call_ok(host, {.method = "POST",
                                           .target = "/v1/query",
                                           .body = json::serialize(body)}));
    if (format == output_format::json) {
        std::cout << answer << '\n';
    }
    else {
        print_answer(answer);
    }
    return exit_ok;
}

leaf::result<int> run_submit(int argc, char** argv)
{
    cxxopts::Options options(
        "snipemill submit", "Sends a request that may not be repeated. Sending "
                            "it again with the same key is safe.");
    options.add_options()("host", "caller endpoint of an entry host, IP:PORT",
                          cxxopts::value<std::string>())(
        "group", "service group", cxxopts::value<std::string>())(
        "service", "service; chosen by the key when absent",
        cxxopts::value<std::string>())("key", "idempotency key",
                                       cxxopts::value<std::string>())(
        "request", "the request, a JSON object",
        cxxopts::value<std::string>()->default_value("{}"));
    BOOST_LEAF_AUTO(args, parse_arguments(options, argc, argv));
    BOOST_LEAF_CHECK(output_of(args));
    BOOST_LEAF_AUTO(host, endpoint_of(args, "host"));
    BOOST_LEAF_AUTO(group, required(args, "group"));
    BOOST_LEAF_AUTO(key, required(args, "key"));
    BOOST_LEAF_AUTO(request, object_option(args, "request"));
    json::object body{{"group", group}, {"request", std::move(request)}};
    if (args.count("service") > 0) {
        body["service"] = args["service"].as<std::string>();
    }
    BOOST_LEAF_AUTO(answer,
                    call_ok(host, {.method = "POST",
                                   .target = "/v1/submit",
                                   .headers = {{"idempotency-key", key}},
                                   .body = json::serialize(body)}));
    std::cout << answer << '\n';
    return exit_ok;
}

} // namespace snipemill::cli
