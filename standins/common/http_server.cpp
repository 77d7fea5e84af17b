#include "common/http_server.hpp"

#include "common/session.hpp"

namespace standin {

using boost::asio::ip::tcp;

namespace {

std::string const& value_in(std::map<std::string, std::string> const& values,
                            std::string const& name)
{
    static std::string const none;
    auto const it = values.find(name);
    return it == values.end() ? none : it->second;
}

} // namespace

std::string const& exchange::header(std::string const& name) const
{
    return value_in(headers, name);
}

std::string const& exchange::param(std::string const& name) const
{
    return value_in(params, name);
}

void exchange::reply(response r)
{
    if (auto const it = session_.lock()) {
        it->reply(std::move(r));
    }
    session_.reset();
}

void exchange::drop()
{
    if (auto const it = session_.lock()) {
        it->close();
    }
    session_.reset();
}

http_server::http_server(boost::asio::io_context& io,
                         server_options const& options,
                         std::function<void(exchange_ptr)> handler)
    : io_(io), options_(options), handler_(std::move(handler)), acceptor_(io),
      reserved_(io)
{
    reserve();
    open();
}

// A second socket that is bound to the port and never listens. While the
// listener is closed, connections are refused but no other process is given
// the port.
void http_server::reserve()
{
    tcp::endpoint const at(boost::asio::ip::address_v4::loopback(),
                           options_.port);
    reserved_.open(at.protocol());
    reserved_.set_option(tcp::acceptor::reuse_address(true));
    reserved_.bind(at);
    options_.port = reserved_.local_endpoint().port();
}

void http_server::open()
{
    if (acceptor_.is_open()) {
        return;
    }
    tcp::endpoint const at(boost::asio::ip::address_v4::loopback(),
                           options_.port);
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen();
    accept();
}

void http_server::accept()
{
    acceptor_.async_accept(io_, [this](boost::system::error_code ec,
                                       tcp::socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (!ec) {
            auto const it = std::make_shared<session>(*this, std::move(socket));
            sessions_.insert(it);
            it->start();
        }
        accept();
    });
}

void http_server::drop_connections()
{
    auto const all = sessions_;
    for (auto const& it : all) {
        if (!it->control()) {
            it->close();
        }
    }
}

void http_server::close()
{
    boost::system::error_code ec;
    acceptor_.close(ec);
    drop_connections();
}

} // namespace standin
