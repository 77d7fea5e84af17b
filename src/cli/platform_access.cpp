#include "cli/platform_access.hpp"

#include <utility>

namespace snipemill::cli {

namespace {

char const* const head_key = "config/head";
char const* const state_key = "config/state";

} // namespace

platform_access::platform_access(endpoint const& platform)
    : client_(io_, {.ip = platform.ip, .port = platform.port}, [](bool) {})
{}

template <class T, class F>
platform_result<T> platform_access::wait(F start)
{
    platform_result<T> out = platform_error::not_sent;
    start([&](platform_result<T> result) {
        out = std::move(result);
        io_.stop();
    });
    io_.restart();
    io_.run();
    return out;
}

leaf::result<head_and_state> platform_access::read()
{
    head_and_state out;
    // The head first: a state that is read after it is at least as new as the
    // head's base.
    BOOST_LEAF_ASSIGN(out.head_version,
                      read_object(head_key, parse_head, out.head));
    BOOST_LEAF_ASSIGN(out.state_version,
                      read_object(state_key, parse_snapshot, out.state));
    return out;
}

template <class T>
leaf::result<object_version> platform_access::read_object(
    char const* key, std::optional<T> (*parse)(std::string_view), T& out)
{
    auto const result =
        wait<platform_object>([&](auto f) { client_.get(key, std::move(f)); });
    if (auto const* ec = std::get_if<platform_error>(&result)) {
        if (*ec == platform_error::not_found) {
            return object_version{0};
        }
        return leaf::new_error(platform_unreadable{});
    }
    auto const& object = std::get<platform_object>(result);
    auto parsed = parse(object.value);
    if (!parsed) {
        return leaf::new_error(platform_unreadable{});
    }
    out = std::move(*parsed);
    return object.version;
}

write_result platform_access::put(std::string key, std::string value,
                                  object_version version)
{
    auto const result = wait<platform_object>([&](auto f) {
        client_.put(std::move(key), std::move(value), version, std::move(f));
    });
    if (std::holds_alternative<platform_object>(result)) {
        return write_result::written;
    }
    auto const ec = std::get<platform_error>(result);
    auto const conflict =
        ec == platform_error::conflict || ec == platform_error::not_found;
    return conflict ? write_result::conflict : write_result::unavailable;
}

write_result platform_access::write(write_head const& request)
{
    return put(head_key, write_config_head(request.head), request.if_version);
}

write_result platform_access::write(write_state const& request)
{
    return put(state_key, write_snapshot(request.state), request.if_version);
}

namespace {

// Carries out one step of a submission.
struct step_visitor
{
    platform_access& platform;
    ticket_submission& submission;

    submission_step operator()(read_head_and_state const&) const
    {
        auto const read = platform.read();
        return read ? submission.on_read(*read) : submission.on_read_failed();
    }
    submission_step operator()(write_state const& s) const
    {
        return submission.on_written(platform.write(s));
    }
    submission_step operator()(struct write_head const& s) const
    {
        return submission.on_written(platform.write(s));
    }
    submission_step operator()(submission_result const& s) const { return s; }
};

} // namespace

submission_result submit_ticket(platform_access& platform, ticket change)
{
    ticket_submission submission(std::move(change));
    auto step = submission.start();
    while (!std::holds_alternative<submission_result>(step)) {
        step = std::visit(step_visitor{platform, submission}, step);
    }
    return std::get<submission_result>(step);
}

config_snapshot current_config(head_and_state const& read)
{
    auto state = read.state;
    for (auto const& it : read.head.tickets) {
        if (it.number == state.number + 1) {
            apply_ticket(state, it);
        }
    }
    return state;
}

} // namespace snipemill::cli
