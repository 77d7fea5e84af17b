#include "cli/arguments.hpp"

#include <charconv>

namespace snipemill::cli {

std::string to_string(endpoint const& e)
{
    return e.ip + ":" + std::to_string(e.port);
}

std::optional<endpoint> parse_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    endpoint out{.ip = text.substr(0, colon)};
    auto const* first = text.data() + colon + 1;
    auto const* last = text.data() + text.size();
    auto const result = std::from_chars(first, last, out.port);
    if (result.ec != std::errc() || result.ptr != last || out.port == 0 ||
        !is_ip_address(out.ip)) {
        return std::nullopt;
    }
    return out;
}

leaf::result<cxxopts::ParseResult> parse_arguments(cxxopts::Options& options,
                                                   int argc, char** argv)
{
    options.add_options()("output", "text or json",
                          cxxopts::value<std::string>()->default_value("text"))(
        "h,help", "show this help");
    try {
        auto result = options.parse(argc, argv);
        if (result.count("help") > 0) {
            return leaf::new_error(help_requested{options.help()});
        }
        return result;
    }
    catch (cxxopts::exceptions::exception const& e) {
        return leaf::new_error(usage_error{e.what()});
    }
}

leaf::result<output_format> output_of(cxxopts::ParseResult const& args)
{
    auto const text = args["output"].as<std::string>();
    if (text == "text") {
        return output_format::text;
    }
    if (text == "json") {
        return output_format::json;
    }
    return leaf::new_error(usage_error{"--output must be text or json"});
}

leaf::result<std::string> required(cxxopts::ParseResult const& args,
                                   std::string const& name)
{
    if (args.count(name) == 0) {
        return leaf::new_error(usage_error{"--" + name + " is required"});
    }
    return args[name].as<std::string>();
}

leaf::result<endpoint> endpoint_of(cxxopts::ParseResult const& args,
                                   std::string const& name)
{
    BOOST_LEAF_AUTO(text, required(args, name));
    auto const out = parse_endpoint(text);
    if (!out) {
        return leaf::new_error(usage_error{"--" + name + " must be IP:PORT"});
    }
    return *out;
}

} // namespace snipemill::cli
