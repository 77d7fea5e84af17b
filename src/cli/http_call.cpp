#include "cli/http_call.hpp"

#include "cli/commands.hpp"

#include <boost/asio/io_context.hpp>

#include <iostream>
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

int report_failure(http_result const& result)
{
    if (auto const* response = std::get_if<http_response>(&result)) {
        std::cerr << response->body << '\n';
        return exit_failed;
    }
    auto const& failed = std::get<http_failed>(result);
    std::cerr << "snipemill: no answer ("
              << (failed.sent ? "the request may have run"
                              : "the request did not run")
              << ")\n";
    return exit_unavailable;
}

} // namespace snipemill::cli
