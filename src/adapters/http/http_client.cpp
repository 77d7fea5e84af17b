#include "adapters/http/http_client.hpp"

#include "adapters/http/client_pool.hpp"

#include <utility>

namespace snipemill {

class http_client::impl : public client_pool
{
public:
    using client_pool::client_pool;
};

http_client::http_client(boost::asio::io_context& io,
                         http_client_options const& options)
    : impl_(std::make_shared<impl>(io, options))
{}

http_client::~http_client()
{
    impl_->stop();
}

void http_client::send(http_request request, duration timeout,
                       std::function<void(http_result)> f)
{
    impl_->send(std::move(request), timeout, std::move(f));
}

} // namespace snipemill
