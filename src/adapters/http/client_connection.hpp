#pragma once

#include "adapters/http/http_server.hpp"
#include "adapters/net/byte_count.hpp"
#include "adapters/net/counting_allocator.hpp"
#include "adapters/net/receive_budget.hpp"
#include "core/base/recent_ids.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace snipemill {

enum class exchange_fault : std::uint8_t
{
    closed,    // before any byte of an answer
    truncated, // inside the answer
    malformed  // not HTTP, an invalid status, or larger than allowed
};

struct exchange_failed
{
    exchange_fault fault = exchange_fault::closed;
    bool sent = false; // a byte of the request may have left
};

using exchange_result = std::variant<http_response, exchange_failed>;

// Writes a request as HTTP/1.1 text. host is the value of the Host header.
std::string write_http_request(http_request const& request,
                               std::string const& host);

// Client side of one HTTP/1.1 connection that carries one request at a time.
// A read is always pending, so that a close by the server is noticed at once.
// Callbacks come from the io_context, never inside a call.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    // bytes may be null: then nothing is counted.
    client_connection(boost::asio::io_context& io, std::size_t max_body,
                      std::shared_ptr<byte_count> bytes = nullptr);

    void connect(boost::asio::ip::tcp::endpoint const& to, duration timeout,
                 std::function<void(bool)> f);
    // f is called when the connection breaks while no exchange is open.
    void on_closed(std::function<void()> f) { on_closed_ = std::move(f); }
    // Counts the connection as broken when the server does not acknowledge
    // for this long; 0: the system's default. Before connect().
    void limit_silence(duration limit) { silence_limit_ = limit; }
    // Counts what the open exchange holds in a budget that connections share.
    // Before connect().
    void limit_memory(std::shared_ptr<receive_budget> budget);
    // Skips answers whose header (lower case) has another value: they belong
    // to an earlier request. Without that header the answer cannot be told from
    // a late copy of an earlier one, so it is accepted only as the first of its
    // connection, which is not reused. Holds for the next exchange. A request
    // that may be sent again with the same value until `resent_until` has to go
    // over another connection then: see has_carried().
    void expect_echo(std::string header, std::string value,
                     std::chrono::steady_clock::time_point resent_until = {});
    // Whether the connection has carried a request with this value. A late copy
    // of the answer to it would be taken for the answer to a retry.
    bool has_carried(std::string_view value) const;
    // Sends a written request. Only when usable().
    void exchange(std::string request, bool head,
                  std::function<void(exchange_result)> f);
    // Closes the socket. An open exchange fails, an open connect too.
    void close();
    // Closes the socket and releases the callbacks without calling them. They
    // usually hold this connection, so an owner that stops must discard it.
    void discard();

    // Connected and without an open exchange. Asks the kernel whether the
    // server has closed the connection.
    bool usable();
    bool open() const { return state_ != state::closed; }
    // Whether a byte of the open exchange may have left.
    bool sent() const { return sent_; }
    std::uint64_t exchanges() const { return exchanges_; }
    // Number of late answers to earlier requests that were skipped since the
    // last call.
    std::uint64_t take_late_answers()
    {
        return std::exchange(late_answers_, 0);
    }
    // The same for responses with an invalid status; each failed its exchange.
    std::uint64_t take_invalid_statuses()
    {
        return std::exchange(invalid_statuses_, 0);
    }
    // time_point::max() until it is connected.
    std::chrono::steady_clock::time_point connected_at() const
    {
        return connected_at_;
    }

private:
    enum class state : std::uint8_t
    {
        connecting,
        idle,
        busy,
        closed
    };
    using parser =
        boost::beast::http::response_parser<boost::beast::http::string_body,
                                            counting_allocator<char>>;

    void on_connected(boost::system::error_code ec);
    void begin_parser();
    void write_first();
    void write_rest(std::size_t from);
    void count_sent(std::size_t n);
    void read();
    void on_read(boost::system::error_code ec, std::size_t n);
    void on_input(std::size_t n);
    std::size_t held() const;
    bool feed(boost::system::error_code& ec);
    bool skip_foreign();
    bool has_invalid_status() const;
    bool is_foreign() const;
    bool is_identified() const;
    void set_silence_limit();
    void on_end_of_input();
    void finish();
    void fail(exchange_fault fault);
    void shut();

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::size_t max_body_;
    std::shared_ptr<byte_count> bytes_;
    std::optional<receive_budget::share> received_; // see held()
    std::uint32_t skipped_ = 0;    // answers before that to the open exchange
    std::array<char, 8192> input_; // of the pending read
    boost::beast::flat_buffer buffer_;
    std::size_t field_bytes_ = 0; // of the parser's header fields
    std::size_t unsent_ = 0;      // of the request, while it is written
    std::optional<parser> parser_;
    std::string request_;
    std::string echo_header_;
    std::string echo_value_;
    recent_ids carried_;
    std::uint64_t late_answers_ = 0;
    std::uint64_t invalid_statuses_ = 0;
    duration silence_limit_{};
    std::function<void(bool)> on_connect_;
    std::function<void(exchange_result)> on_result_;
    std::function<void()> on_closed_;
    std::uint64_t exchanges_ = 0;
    std::chrono::steady_clock::time_point connected_at_ =
        std::chrono::steady_clock::time_point::max();
    state state_ = state::connecting;
    bool head_ = false;
    bool sent_ = false;
    bool answer_started_ = false;
    bool writing_ = false; // the request is not yet written whole
};

} // namespace snipemill
