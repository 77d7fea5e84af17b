#pragma once

#include "adapters/http/server_core.hpp"
#include "adapters/net/counting_allocator.hpp"
#include "core/base/error.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace snipemill {

// One connection of an http_server. A read is always pending, so that the
// caller's disconnect is noticed while a handler works; data read ahead stays
// in the buffer.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(std::shared_ptr<server_core> core,
                      boost::asio::ip::tcp::socket socket);

    void start();
    // Answers that the server has too many connections, and closes.
    void refuse();
    // Closes after the current request, or soon when there is none.
    void drain();
    // Closes at once; the handler is not told.
    void stop();
    void respond(std::uint64_t request, http_response response);
    // Handles a queued request soon. Returns false when there is none.
    bool begin_turn();
    // The responder was destroyed without an answer.
    void abandon(std::uint64_t request);

private:
    enum class state : std::uint8_t
    {
        idle,      // no byte of the next request has arrived
        receiving, // a request has arrived in part
        queued,    // a whole request waits for its turn, see wait_for_turn()
        handling,  // the handler works
        writing,
        lingering, // the last response is out; input is discarded
        closed
    };
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body,
                                           counting_allocator<char>>;
    using response =
        boost::beast::http::response<boost::beast::http::string_body>;

    void begin_request();
    void read();
    void on_read(boost::system::error_code ec, std::size_t n);
    void on_input_closed();
    void parse();
    bool feed(boost::system::error_code& ec);
    void send_continue();
    http_request take_request();
    void dispatch();
    bool wait_for_turn();
    void end_turn();
    std::size_t held() const;
    void shed();
    void drop_request();
    bool has_endless_line() const;
    void reject_for_memory();
    void reject(boost::system::error_code ec);
    void reject(unsigned status, failure const& f);
    void write(response message);
    void on_written(boost::system::error_code ec);
    void linger();
    void arm(duration timeout);
    void on_timer();
    void request_done();
    void close();
    void abort();

    std::shared_ptr<server_core> core_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::array<char, 8192> input_; // of the pending read
    boost::beast::flat_buffer buffer_;
    std::size_t field_bytes_ = 0;   // of the parser's header fields
    std::size_t message_bytes_ = 0; // of the request or response in memory
    std::optional<parser> parser_;
    receive_budget::share received_; // see held()
    std::shared_ptr<response> response_;
    std::function<void()> on_gone_;
    std::chrono::steady_clock::time_point first_byte_{};
    std::uint64_t request_ = 0; // number of the current request
    std::uint64_t timer_generation_ = 0;
    std::size_t discarded_ = 0;
    state state_ = state::idle;
    bool reading_ = false;
    bool input_closed_ = false;
    bool continue_sent_ = false;
    bool counted_ = false;
    bool keep_alive_ = true;
    bool head_ = false;
    bool pipelined_ = false; // the request came before the last response
    bool has_turn_ = false;
};

// Heap memory of a message in bytes.
std::size_t memory_of(http_request const& it);
std::size_t memory_of(http_response const& it);

} // namespace snipemill
