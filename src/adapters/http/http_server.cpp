#include "adapters/http/http_server.hpp"

#include "adapters/http/server_core.hpp"

#include <utility>

namespace snipemill {

std::string const& http_request::header(std::string const& name) const
{
    static std::string const empty;
    for (auto const& [key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return empty;
}

std::vector<std::string_view> http_request::values(std::string_view name) const
{
    std::vector<std::string_view> out;
    for (auto const& [key, value] : headers) {
        if (key == name) {
            out.emplace_back(value);
        }
    }
    return out;
}

class http_server::impl : public server_core
{
public:
    using server_core::server_core;
};

http_server::http_server(boost::asio::io_context& io,
                         http_server_options const& options,
                         http_handler handler)
    : impl_(std::make_shared<impl>(io, options, std::move(handler)))
{
    impl_->start();
}

http_server::~http_server()
{
    impl_->stop();
}

std::uint16_t http_server::port() const
{
    return impl_->port();
}

void http_server::set_limits(std::size_t max_header, std::size_t max_body,
                             duration header_timeout, duration idle_timeout)
{
    auto& options = impl_->mutable_options();
    options.max_header = max_header;
    options.max_body = max_body;
    options.header_timeout = header_timeout;
    options.idle_timeout = idle_timeout;
}

void http_server::refuse_reuse(bool refuse)
{
    impl_->refuse_reuse(refuse);
}

void http_server::drain()
{
    impl_->drain();
}

std::size_t http_server::open_requests() const
{
    return impl_->open_requests;
}

std::size_t http_server::open_connections() const
{
    return impl_->open_connections();
}

std::uint64_t http_server::bad_requests() const
{
    return impl_->bad_requests;
}

} // namespace snipemill
