#pragma once

#include "adapters/settings/yaml_reader.hpp"

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

// Failures of commands. They travel through boost::leaf::result to main(),
// which prints them and picks the exit code.
namespace snipemill::cli {

namespace leaf = boost::leaf;

// --help was given; the text goes to standard output.
struct help_requested
{
    std::string text;
};

// The arguments are wrong.
struct usage_error
{
    std::string reason;
};

// A settings or ticket file has faults.
struct file_faults
{
    std::string file;
    std::vector<settings_fault> faults;
};

// A host answered with a failure; body is its JSON error body.
struct request_refused
{
    std::string body;
};

// There was no answer from this endpoint.
struct no_answer
{
    std::string endpoint;
    bool sent = false; // the request may have run
};

// The platform's objects cannot be read or are not understood.
struct platform_unreadable
{};

} // namespace snipemill::cli
