#pragma once

#include <cxxopts.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace snipemill::cli {

struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;
};

// Parses "ip:port".
std::optional<endpoint> parse_endpoint(std::string const& text);

enum class output_format : std::uint8_t
{
    text,
    json
};

// Adds --output and --help to a command's options.
void add_common_options(cxxopts::Options& options);

// Parses the arguments. Returns an exit code instead when --help was given or
// the arguments are wrong; the reason has then been printed.
std::variant<cxxopts::ParseResult, int>
parse_arguments(cxxopts::Options& options, int argc, char** argv);

// The format that --output names; no value after printing the reason.
std::optional<output_format> output_of(cxxopts::ParseResult const& args);

// The endpoint in the named option; no value after printing the reason.
std::optional<endpoint> endpoint_of(cxxopts::ParseResult const& args,
                                    std::string const& name);

} // namespace snipemill::cli
