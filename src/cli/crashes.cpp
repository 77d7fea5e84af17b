#include "cli/arguments.hpp"
#include "cli/commands.hpp"
#include "cli/http_call.hpp"

#include <iostream>
#include <string>

namespace snipemill::cli {

namespace {

// The request to a host's operator interface that carries out the action.
leaf::result<http_request> crashes_request(cxxopts::ParseResult const& args)
{
    auto const action = args["action"].as<std::string>();
    if (action == "list") {
        return http_request{.method = "GET", .target = "/v1/crashes"};
    }
    if (action != "add" && action != "remove") {
        return leaf::new_error(
            usage_error{"the action must be list, add or remove"});
    }
    BOOST_LEAF_AUTO(print, required(args, "fingerprint"));
    return http_request{.method = action == "add" ? "POST" : "DELETE",
                        .target = "/v1/crashes?fingerprint=" + print};
}

} // namespace

leaf::result<int> run_crashes(int argc, char** argv)
{
    cxxopts::Options options(
        "snipemill crashes",
        "Lists, adds or removes fingerprints of requests that are refused "
        "because they crash upstreams.");
    options.add_options()("action", "list, add or remove",
                          cxxopts::value<std::string>()->default_value("list"))(
        "fingerprint", "decimal fingerprint", cxxopts::value<std::string>())(
        "host", "operator endpoint of any host, IP:PORT",
        cxxopts::value<std::string>());
    options.parse_positional({"action", "fingerprint"});
    options.positional_help("list | add FINGERPRINT | remove FINGERPRINT");
    BOOST_LEAF_AUTO(args, parse_arguments(options, argc, argv));
    BOOST_LEAF_CHECK(output_of(args));
    BOOST_LEAF_AUTO(host, endpoint_of(args, "host"));
    BOOST_LEAF_AUTO(request, crashes_request(args));
    BOOST_LEAF_AUTO(answer, call_ok(host, request));
    std::cout << answer << '\n';
    return exit_ok;
}

} // namespace snipemill::cli
