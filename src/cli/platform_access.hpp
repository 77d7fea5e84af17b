#pragma once

#include "adapters/adapters.hpp"
#include "cli/arguments.hpp"
#include "core/config/ticket_submission.hpp"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace snipemill::cli {

// Blocking access of an operator's command to the platform's objects.
class platform_access
{
public:
    explicit platform_access(endpoint const& platform);

    // config/head and config/state; objects that do not exist are empty with
    // version 0.
    leaf::result<head_and_state> read();
    write_result write(write_head const& request);
    write_result write(write_state const& request);

private:
    template <class T, class F>
    platform_result<T> wait(F start);
    template <class T>
    leaf::result<object_version>
    read_object(char const* key, std::optional<T> (*parse)(std::string_view),
                T& out);
    write_result put(std::string key, std::string value,
                     object_version version);

    boost::asio::io_context io_;
    platform_client client_;
};

// Submits a ticket and waits for the outcome.
submission_result submit_ticket(platform_access& platform, ticket change);

// The configuration that config/head and config/state describe together.
config_snapshot current_config(head_and_state const& read);

} // namespace snipemill::cli
