#include "cli/arguments.hpp"

#include "adapters/settings/yaml_reader.hpp"
#include "cli/commands.hpp"

#include <charconv>
#include <iostream>

namespace snipemill::cli {

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

void add_common_options(cxxopts::Options& options)
{
    options.add_options()("output", "text or json",
                          cxxopts::value<std::string>()->default_value("text"))(
        "h,help", "show this help");
}

std::variant<cxxopts::ParseResult, int>
parse_arguments(cxxopts::Options& options, int argc, char** argv)
{
    try {
        auto result = options.parse(argc, argv);
        if (result.count("help") > 0) {
            std::cout << options.help();
            return exit_ok;
        }
        return result;
    }
    catch (cxxopts::exceptions::exception const& e) {
        std::cerr << "snipemill: " << e.what() << '\n';
        return exit_usage;
    }
}

std::optional<output_format> output_of(cxxopts::ParseResult const& args)
{
    auto const text = args["output"].as<std::string>();
    if (text == "text") {
        return output_format::text;
    }
    if (text == "json") {
        return output_format::json;
    }
    std::cerr << "snipemill: --output must be text or json\n";
    return std::nullopt;
}

std::optional<endpoint> endpoint_of(cxxopts::ParseResult const& args,
                                    std::string const& name)
{
    if (args.count(name) == 0) {
        std::cerr << "snipemill: --" << name << " IP:PORT is required\n";
        return std::nullopt;
    }
    auto const out = parse_endpoint(args[name].as<std::string>());
    if (!out) {
        std::cerr << "snipemill: --" << name << " must be IP:PORT\n";
    }
    return out;
}

} // namespace snipemill::cli
