#pragma once

#include "common/http_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace standin {

// A connection of an http_server.
class session : public std::enable_shared_from_this<session>
{
public:
    session(http_server& server, boost::asio::ip::tcp::socket socket);

    void start();
    void reply(response r);
    void close();
    bool control() const { return kind_ == kind::control; }

private:
    // Not known before the first request or the end of a short wait.
    enum class kind
    {
        unknown,
        counted,
        control
    };

    void read();
    void on_read(boost::beast::error_code ec);
    void on_written(boost::beast::error_code ec, bool close_after);
    void watch_for_close();
    void classify(bool for_control);
    exchange_ptr make_exchange();

    http_server& server_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer setup_timer_;
    boost::asio::steady_timer classify_timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    boost::beast::http::response<boost::beast::http::string_body> response_;
    std::string request_id_; // of the open request; repeated in the answer
    char peeked_ = 0;
    kind kind_ = kind::unknown;
    bool waiting_ = false; // a request has no answer yet
    bool closed_ = false;
};

} // namespace standin
