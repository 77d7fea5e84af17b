#include "adapters/http/server_connection.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cctype>
#include <iterator>
#include <string>
#include <tuple>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// After an error response, input is discarded up to these limits. Closing with
// unread input would reset the connection and the caller could lose the
// response.
constexpr std::size_t max_discard = 4 * 1024 * 1024;
constexpr duration linger_time = from_ms(1000);

// A caller may be sending on an idle connection when the server drains; it is
// closed after this time without a byte.
constexpr duration drain_idle_time = from_ms(1000);

// Buffer that an idle connection keeps for its next request.
constexpr std::size_t max_idle_buffer = 4 * 1024;

constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";

// Closes the connection when a handler drops its responder unused.
class response_guard
{
public:
    response_guard(std::weak_ptr<server_connection> connection,
                   std::uint64_t request)
        : connection_(std::move(connection)), request_(request)
    {}
    response_guard(response_guard const&) = delete;
    response_guard& operator=(response_guard const&) = delete;
    ~response_guard()
    {
        if (auto const it = connection_.lock(); it && !used_) {
            it->abandon(request_);
        }
    }

    void respond(http_response response)
    {
        if (used_) {
            return;
        }
        used_ = true;
        if (auto const it = connection_.lock()) {
            it->respond(request_, std::move(response));
        }
    }

private:
    std::weak_ptr<server_connection> connection_;
    std::uint64_t request_;
    bool used_ = false;
};

std::string lower(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return out;
}

} // namespace

server_connection::server_connection(std::shared_ptr<server_core> core,
                                     tcp::socket socket)
    : core_(std::move(core)), socket_(std::move(socket)), timer_(core_->io()),
      received_(core_->budget(), [this] { shed(); })
{
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
}

void server_connection::start()
{
    begin_request();
    arm(core_->options().header_timeout);
    read();
}

void server_connection::refuse()
{
    begin_request();
    read();
    reject(503, {.code = errc::overloaded,
                 .run = run_state::not_run,
                 .detail = "the server has too many connections"});
}

void server_connection::begin_request()
{
    ++request_;
    field_bytes_ = 0;
    parser_.reset();
    parser_.emplace(std::piecewise_construct, std::make_tuple(),
                    std::make_tuple(counting_allocator<char>(&field_bytes_)));
    parser_->eager(true);
    parser_->header_limit(
        static_cast<std::uint32_t>(core_->options().max_header));
    parser_->body_limit(core_->options().max_body);
    continue_sent_ = false;
    state_ = state::idle;
}

void server_connection::read()
{
    if (reading_ || input_closed_ || state_ == state::closed) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](boost::system::error_code ec,
                                    std::size_t n) { self->on_read(ec, n); });
}

void server_connection::on_read(boost::system::error_code ec, std::size_t n)
{
    reading_ = false;
    if (state_ == state::closed) {
        return;
    }
    if (ec) {
        on_input_closed();
        return;
    }
    auto const room = buffer_.prepare(n);
    buffer_.commit(asio::buffer_copy(room, asio::buffer(input_, n)));
    switch (state_) {
    case state::idle:
    case state::receiving:
        parse();
        return;
    case state::lingering:
        discarded_ += buffer_.size();
        buffer_.consume(buffer_.size());
        if (discarded_ > max_discard) {
            close();
            return;
        }
        read();
        return;
    default:
        if (!received_.hold(held())) {
            shed();
            return;
        }
        if (buffer_.size() < core_->options().max_read_ahead) {
            read();
        }
    }
}

void server_connection::on_input_closed()
{
    input_closed_ = true;
    if (state_ == state::writing) {
        return;
    }
    auto const gone = std::exchange(on_gone_, nullptr);
    bool const handling = state_ == state::handling;
    close();
    if (handling && gone) {
        gone();
    }
}

void server_connection::parse()
{
    if (buffer_.size() == 0) {
        read();
        return;
    }
    if (state_ == state::idle) {
        state_ = state::receiving;
        first_byte_ = std::chrono::steady_clock::now();
        counted_ = true;
        ++core_->open_requests;
        arm(core_->options().header_timeout);
    }
    boost::system::error_code ec;
    bool const good = feed(ec);
    if (!received_.hold(held())) {
        reject_for_memory();
        return;
    }
    if (!good) {
        reject(ec);
        return;
    }
    if (parser_->is_done()) {
        if (!wait_for_turn()) {
            dispatch();
        }
        return;
    }
    if (has_endless_line()) {
        reject(http::error::header_limit);
        return;
    }
    if (parser_->is_header_done()) {
        if (core_->options().body_timeout > duration::zero()) {
            arm(core_->options().body_timeout);
        }
        send_continue();
    }
    read();
}

// Gives buffered input to the parser. Returns false on a malformed request.
bool server_connection::feed(boost::system::error_code& ec)
{
    while (!parser_->is_done() && buffer_.size() > 0) {
        auto const n = parser_->put(buffer_.data(), ec);
        buffer_.consume(n);
        if (ec == http::error::need_more) {
            ec = {};
            return true;
        }
        if (ec) {
            return false;
        }
    }
    return true;
}

// The parser consumes the size line of a chunk and the trailer of a body only
// when they are complete, and does not limit them.
bool server_connection::has_endless_line() const
{
    return buffer_.size() > core_->options().max_header;
}

void server_connection::send_continue()
{
    if (continue_sent_ ||
        lower(parser_->get()[http::field::expect]) != "100-continue") {
        return;
    }
    continue_sent_ = true;
    asio::async_write(
        socket_, asio::buffer(continue_line),
        [self = shared_from_this()](boost::system::error_code, std::size_t) {});
}

http_request server_connection::take_request()
{
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    head_ = message.method() == http::verb::head;
    http_request request{.method = std::string(message.method_string()),
                         .target = std::string(message.target()),
                         .body = std::move(message.body()),
                         .first_byte = first_byte_};
    request.headers.reserve(static_cast<std::size_t>(
        std::distance(message.begin(), message.end())));
    for (auto const& field : message) {
        request.headers.emplace_back(lower(field.name_string()),
                                     std::string(field.value()));
    }
    return request;
}

void server_connection::dispatch()
{
    timer_.cancel();
    ++timer_generation_;
    auto request = take_request();
    message_bytes_ = memory_of(request);
    state_ = state::handling;
    if (!received_.hold(held())) {
        reject_for_memory();
        return;
    }
    if (buffer_.size() < core_->options().max_read_ahead) {
        read();
    }
    auto const number = request_;
    auto guard = std::make_shared<response_guard>(weak_from_this(), number);
    auto gone = core_->handler()(std::move(request), [guard](http_response r) {
        guard->respond(std::move(r));
    });
    if (state_ == state::handling && request_ == number) {
        on_gone_ = std::move(gone);
    }
}

void server_connection::respond(std::uint64_t request, http_response answer)
{
    if (state_ != state::handling || request != request_) {
        return;
    }
    response message{http::int_to_status(answer.status), 11};
    message.result(answer.status);
    if (!answer.content_type.empty()) {
        message.set(http::field::content_type, answer.content_type);
    }
    for (auto const& [name, value] : answer.headers) {
        message.insert(name, value);
    }
    keep_alive_ = keep_alive_ && !core_->reuse_refused();
    message.keep_alive(keep_alive_);
    message_bytes_ = memory_of(answer);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    if (head_) {
        message.body().clear();
    }
    on_gone_ = nullptr;
    write(std::move(message));
    if (state_ == state::writing && !received_.hold(held())) {
        abort();
    }
}

void server_connection::abandon(std::uint64_t request)
{
    if (state_ == state::handling && request == request_) {
        abort();
    }
}

void server_connection::write(response message)
{
    received_.release();
    end_turn();
    state_ = state::writing;
    response_ = std::make_shared<response>(std::move(message));
    arm(core_->options().idle_timeout);
    http::async_write(socket_, *response_,
                      [self = shared_from_this(), message = response_](
                          boost::system::error_code ec, std::size_t) {
                          self->on_written(ec);
                      });
}

void server_connection::on_written(boost::system::error_code ec)
{
    if (state_ != state::writing) {
        return;
    }
    response_.reset();
    if (ec) {
        abort();
        return;
    }
    request_done();
    if (!keep_alive_) {
        linger();
        return;
    }
    if (input_closed_) {
        close();
        return;
    }
    begin_request();
    pipelined_ = buffer_.size() > 0;
    received_.release();
    if (!pipelined_ && buffer_.capacity() > max_idle_buffer) {
        buffer_.shrink_to_fit();
    }
    arm(core_->draining() ? drain_idle_time : core_->options().idle_timeout);
    parse();
}

void server_connection::linger()
{
    state_ = state::lingering;
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (input_closed_) {
        close();
        return;
    }
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
    arm(linger_time);
    read();
}

void server_connection::arm(duration timeout)
{
    auto const generation = ++timer_generation_;
    timer_.expires_after(timeout);
    timer_.async_wait(
        [self = shared_from_this(), generation](boost::system::error_code ec) {
            if (!ec && generation == self->timer_generation_) {
                self->on_timer();
            }
        });
}

void server_connection::on_timer()
{
    if (state_ == state::receiving) {
        ++core_->bad_requests;
        reject(408, {.code = errc::request_timeout,
                     .run = run_state::not_run,
                     .detail = "the request did not arrive in time"});
        return;
    }
    if (state_ == state::queued) {
        reject(503, {.code = errc::overloaded,
                     .run = run_state::not_run,
                     .detail = "too many requests do not wait for responses"});
        return;
    }
    if (state_ == state::writing) {
        abort();
        return;
    }
    close();
}

void server_connection::drain()
{
    if (state_ == state::idle) {
        arm(drain_idle_time);
    }
}

void server_connection::stop()
{
    on_gone_ = nullptr;
    close();
}

void server_connection::request_done()
{
    if (counted_) {
        counted_ = false;
        --core_->open_requests;
    }
}

void server_connection::close()
{
    if (state_ == state::closed) {
        return;
    }
    end_turn();
    state_ = state::closed;
    on_gone_ = nullptr;
    request_done();
    ++timer_generation_;
    timer_.cancel();
    received_.release();
    boost::system::error_code ignored;
    socket_.close(ignored);
    core_->remove(shared_from_this());
}

// Closes with a reset, so that the caller cannot take a partial response for
// a whole one.
void server_connection::abort()
{
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

} // namespace snipemill
