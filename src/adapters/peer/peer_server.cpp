#include "adapters/peer/peer_acceptor.hpp"
#include "adapters/peer/peer_link.hpp"

#include <utility>

namespace snipemill {

class peer_server::impl : public peer_acceptor
{
public:
    using peer_acceptor::peer_acceptor;
};

peer_server::peer_server(boost::asio::io_context& io,
                         peer_link_options const& options, peer_handler handler)
    : impl_(std::make_shared<impl>(io, options, std::move(handler)))
{
    impl_->start();
}

peer_server::~peer_server()
{
    impl_->stop();
}

std::uint16_t peer_server::port() const
{
    return impl_->port();
}

void peer_server::drain()
{
    impl_->drain();
}

std::size_t peer_server::open_streams() const
{
    return impl_->open_streams();
}

peer_counters const& peer_server::counters() const
{
    return impl_->counters();
}

} // namespace snipemill
