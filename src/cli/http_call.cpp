#include "cli/http_call.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <utility>

namespace snipemill::cli {

http_result call(endpoint const& to, http_request request, duration timeout)
{
    boost::asio::io_context io;
    http_client client(io, {.ip = to.ip, .port = to.port});
    http_result out = http_failed{};
    client.send(std::move(request), timeout, [&](http_result result) {
        out = std::move(result);
        io.stop();
    });
    io.run();
    return out;
}

std::vector<http_result> call_all(std::vector<endpoint> const& to,
                                  http_request const& request, duration timeout)
{
    boost::asio::io_context io;
    std::vector<std::unique_ptr<http_client>> clients;
    std::vector<http_result> out(to.size(), http_failed{});
    auto missing = to.size();
    for (std::size_t i = 0; i < to.size(); ++i) {
        clients.push_back(std::make_unique<http_client>(
            io, http_client_options{.ip = to[i].ip, .port = to[i].port}));
        clients.back()->send(request, timeout, [&, i](http_result result) {
            out[i] = std::move(result);
            if (--missing == 0) {
                io.stop();
            }
        });
    }
    if (missing > 0) {
        io.run();
    }
    return out;
}

leaf::result<std::string> call_ok(endpoint const& to, http_request request)
{
    auto result = call(to, std::move(request));
    if (auto const* failed = std::get_if<http_failed>(&result)) {
        return leaf::new_error(
            no_answer{.endpoint = to_string(to), .sent = failed->sent});
    }
    auto& response = std::get<http_response>(result);
    if (response.status != 200) {
        return leaf::new_error(request_refused{std::move(response.body)});
    }
    return std::move(response.body);
}

} // namespace snipemill::cli
