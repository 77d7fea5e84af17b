#include "common/session.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <cctype>

namespace standin {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace {

// A connection that is idle for longer is counted without its first request.
constexpr std::chrono::milliseconds classify_wait(50);

std::string lower(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return out;
}

} // namespace

session::session(http_server& server, tcp::socket socket)
    : server_(server), socket_(std::move(socket)),
      setup_timer_(socket_.get_executor()),
      classify_timer_(socket_.get_executor())
{
    error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
}

void session::start()
{
    auto const self = shared_from_this();
    classify_timer_.expires_after(classify_wait);
    classify_timer_.async_wait([self](error_code ec) {
        if (!ec) {
            self->classify(false);
        }
    });
    if (server_.options_.setup_delay.count() == 0) {
        read();
        return;
    }
    setup_timer_.expires_after(server_.options_.setup_delay);
    setup_timer_.async_wait([self](error_code ec) {
        if (!ec) {
            self->read();
        }
    });
}

void session::classify(bool for_control)
{
    if (kind_ != kind::unknown || closed_) {
        return;
    }
    classify_timer_.cancel();
    kind_ = for_control ? kind::control : kind::counted;
    if (for_control) {
        return;
    }
    auto& n = server_.counters_;
    ++n.open;
    n.max_open = std::max(n.max_open, n.open);
    if (n.open > server_.options_.max_connections) {
        ++n.violations;
        close();
    }
}

void session::read()
{
    if (closed_) {
        return;
    }
    parser_.emplace();
    parser_->body_limit(server_.options_.max_body);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, std::size_t) {
                         self->on_read(ec);
                     });
}

void session::on_read(error_code ec)
{
    if (closed_) {
        return;
    }
    if (ec == http::error::body_limit) {
        waiting_ = true;
        reply({.status = 413, .close = true});
        return;
    }
    if (ec) {
        close();
        return;
    }
    auto request = make_exchange();
    if (!request) {
        waiting_ = true;
        reply({.status = 400, .close = true});
        return;
    }
    classify(!request->path.empty() && request->path.front() == "control");
    if (closed_) {
        return;
    }
    waiting_ = true;
    watch_for_close();
    server_.handler_(std::move(request));
}

exchange_ptr session::make_exchange()
{
    auto message = parser_->release();
    auto const url = boost::urls::parse_origin_form(
        {message.target().data(), message.target().size()});
    if (!url) {
        return nullptr;
    }
    auto out = std::make_shared<exchange>();
    out->session_ = weak_from_this();
    out->method = std::string(message.method_string());
    for (auto const& it : url->segments()) {
        out->path.push_back(it);
    }
    for (auto const& it : url->params()) {
        out->params[it.key] = it.value;
    }
    for (auto const& it : message) {
        out->headers[lower(it.name_string())] = std::string(it.value());
    }
    request_id_ = out->header("x-request-id");
    out->body = std::move(message.body());
    return out;
}

// While a request is open, the end of the stream means that the peer has
// closed the connection. Peeking leaves the bytes of a next request in place.
void session::watch_for_close()
{
    socket_.async_receive(
        boost::asio::buffer(&peeked_, 1), tcp::socket::message_peek,
        [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec) {
                self->close();
            }
        });
}

void session::reply(response r)
{
    if (closed_ || !waiting_) {
        return;
    }
    waiting_ = false;
    response_ = {};
    response_.version(11);
    response_.result(r.status);
    response_.set(http::field::content_type, "application/json");
    for (auto const& [name, value] : r.headers) {
        response_.set(name, value);
    }
    if (!request_id_.empty()) {
        response_.set("X-Request-Id", request_id_);
    }
    response_.keep_alive(!r.close);
    response_.body() = std::move(r.body);
    response_.prepare_payload();
    http::async_write(socket_, response_,
                      [self = shared_from_this(), last = r.close](error_code ec,
                                                                  std::size_t) {
                          self->on_written(ec, last);
                      });
}

void session::on_written(error_code ec, bool close_after)
{
    if (ec || close_after) {
        close();
    }
    else {
        read();
    }
}

void session::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    if (kind_ == kind::counted) {
        --server_.counters_.open;
    }
    setup_timer_.cancel();
    classify_timer_.cancel();
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_both, ec);
    socket_.close(ec);
    server_.sessions_.erase(shared_from_this());
}

} // namespace standin
