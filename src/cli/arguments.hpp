#pragma once

#include "cli/errors.hpp"

#include <cxxopts.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace snipemill::cli {

struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;
};

std::string to_string(endpoint const& e);

// Parses "ip:port".
std::optional<endpoint> parse_endpoint(std::string const& text);

enum class output_format : std::uint8_t
{
    text,
    json
};

// Adds --output and --help to a command's options and parses the arguments.
leaf::result<cxxopts::ParseResult> parse_arguments(cxxopts::Options& options,
                                                   int argc, char** argv);

// The format that --output names.
leaf::result<output_format> output_of(cxxopts::ParseResult const& args);

// Value of a required option.
leaf::result<std::string> required(cxxopts::ParseResult const& args,
                                   std::string const& name);

// The endpoint in a required option.
leaf::result<endpoint> endpoint_of(cxxopts::ParseResult const& args,
                                   std::string const& name);

} // namespace snipemill::cli
