#include "adapters/http/client_connection.hpp"

#include "adapters/http/status_kind.hpp"
#include "adapters/logging/logger.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <string_view>
#include <tuple>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::uint32_t max_answer_header = 64 * 1024;

// Interim answers and late answers to earlier requests before the answer.
constexpr std::uint32_t max_skipped_answers = 16;

// A faulty server responds to every request. Each thread logs an invalid status
// at most once in this time; all of them are counted.
constexpr auto status_log_interval = std::chrono::seconds(1);

void log_invalid_status(tcp::socket const& socket, unsigned status)
{
    thread_local std::chrono::steady_clock::time_point next{};
    auto const now = std::chrono::steady_clock::now();
    if (now < next) {
        return;
    }
    next = now + status_log_interval;
    boost::system::error_code ec;
    auto const server = socket.remote_endpoint(ec);
    log_error("invalid_status",
              {{"address", ec ? std::string("unknown")
                              : server.address().to_string() + ":" +
                                    std::to_string(server.port())},
               {"status", std::to_string(status)}});
}

// Header values can come from another host. Control characters would end the
// header line, so they are left out.
void append_value(std::string& out, std::string_view value)
{
    for (auto const c : value) {
        if (static_cast<unsigned char>(c) >= ' ') {
            out.push_back(c);
        }
    }
}

} // namespace

std::string write_http_request(http_request const& request,
                               std::string const& host)
{
    std::string out;
    out.reserve(request.body.size() + request.target.size() + 256);
    out.append(request.method).append(" ").append(request.target);
    out.append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
    for (auto const& [name, value] : request.headers) {
        out.append(name).append(": ");
        append_value(out, value);
        out.append("\r\n");
    }
    bool const bodyless = request.method == "GET" || request.method == "HEAD";
    if (!request.body.empty() || !bodyless) {
        out += "Content-Length: " + std::to_string(request.body.size());
        out += "\r\n";
    }
    out += "\r\n";
    out += request.body;
    return out;
}

client_connection::client_connection(asio::io_context& io, std::size_t max_body,
                                     std::shared_ptr<byte_count> bytes)
    : io_(io), socket_(io), timer_(io), max_body_(max_body),
      bytes_(std::move(bytes))
{}

void client_connection::limit_memory(std::shared_ptr<receive_budget> budget)
{
    received_.emplace(std::move(budget), [this] { close(); });
}

void client_connection::connect(tcp::endpoint const& to, duration timeout,
                                std::function<void(bool)> f)
{
    on_connect_ = std::move(f);
    timer_.expires_after(timeout);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec) {
            if (!ec && self->state_ == state::connecting) {
                self->close();
            }
        });
    socket_.async_connect(
        to, [self = shared_from_this()](boost::system::error_code ec) {
            self->on_connected(ec);
        });
}

void client_connection::on_connected(boost::system::error_code ec)
{
    timer_.cancel();
    auto const f = std::exchange(on_connect_, nullptr);
    if (state_ == state::closed) {
        ec = asio::error::operation_aborted;
    }
    if (!ec) {
        socket_.set_option(tcp::no_delay(true), ec);
    }
    if (!ec) {
        socket_.non_blocking(true, ec);
    }
    if (!ec && silence_limit_ > duration::zero()) {
        set_silence_limit();
    }
    if (ec) {
        shut();
    }
    else {
        state_ = state::idle;
        connected_at_ = std::chrono::steady_clock::now();
        read();
    }
    if (f) {
        f(!ec);
    }
}

// Probes start after a second of silence, the shortest time that can be set.
// A platform without these options only loses the early notice.
void client_connection::set_silence_limit()
{
    using user_timeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using probe_idle =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using probe_interval =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using probe_count =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    auto const ms = static_cast<int>(to_ms(silence_limit_));
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    socket_.set_option(probe_idle(1), ignored);
    socket_.set_option(probe_interval(1), ignored);
    socket_.set_option(probe_count(std::max(1, ms / 1000)), ignored);
    socket_.set_option(user_timeout(ms), ignored);
}

void client_connection::expect_echo(
    std::string header, std::string value,
    std::chrono::steady_clock::time_point resent_until)
{
    carried_.add(value, resent_until, std::chrono::steady_clock::now());
    echo_header_ = std::move(header);
    echo_value_ = std::move(value);
}

bool client_connection::has_carried(std::string_view value) const
{
    return carried_.contains(value);
}

bool client_connection::usable()
{
    if (state_ != state::idle) {
        return false;
    }
    char byte = 0;
    boost::system::error_code ec;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    // Bytes that nobody asked for make the next answer ambiguous.
    return ec == asio::error::would_block || ec == asio::error::try_again;
}

void client_connection::begin_parser()
{
    parser_.reset();
    field_bytes_ = 0;
    parser_.emplace(std::piecewise_construct, std::make_tuple(),
                    std::make_tuple(counting_allocator<char>(&field_bytes_)));
    parser_->eager(true);
    parser_->header_limit(max_answer_header);
    parser_->body_limit(max_body_);
    parser_->skip(head_);
}

void client_connection::exchange(std::string request, bool head,
                                 std::function<void(exchange_result)> f)
{
    assert(state_ == state::idle);
    state_ = state::busy;
    head_ = head;
    sent_ = false;
    answer_started_ = false;
    skipped_ = 0;
    request_ = std::move(request);
    on_result_ = std::move(f);
    begin_parser();
    write_first();
}

// The first write does not wait, so that it is known whether a byte left.
void client_connection::write_first()
{
    boost::system::error_code ec;
    auto const n = socket_.write_some(asio::buffer(request_), ec);
    if (ec && ec != asio::error::would_block && ec != asio::error::try_again) {
        asio::post(io_, [self = shared_from_this()] {
            self->fail(exchange_fault::closed);
        });
        return;
    }
    sent_ = n > 0;
    count_sent(n);
    if (n < request_.size()) {
        write_rest(n);
    }
    request_ = std::string();
}

void client_connection::write_rest(std::size_t from)
{
    sent_ = true;
    writing_ = true;
    auto const data = std::make_shared<std::string>(request_.substr(from));
    unsent_ = data->size();
    if (received_ && !received_->hold(held())) {
        asio::post(io_, [self = shared_from_this()] {
            self->fail(exchange_fault::closed);
        });
        return;
    }
    asio::async_write(socket_, asio::buffer(*data),
                      [self = shared_from_this(),
                       data](boost::system::error_code, std::size_t n) {
                          self->count_sent(n);
                          self->writing_ = false;
                          self->unsent_ = 0;
                          // The pending read reports a broken connection; a
                          // server may also answer before it has read all.
                      });
}

void client_connection::count_sent(std::size_t n)
{
    if (bytes_) {
        bytes_->sent += n;
    }
}

void client_connection::read()
{
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](boost::system::error_code ec,
                                    std::size_t n) { self->on_read(ec, n); });
}

void client_connection::on_read(boost::system::error_code ec, std::size_t n)
{
    if (state_ == state::closed) {
        return;
    }
    if (state_ == state::idle) {
        shut();
        if (auto const f = std::exchange(on_closed_, nullptr)) {
            f();
        }
        return;
    }
    if (ec == asio::error::eof) {
        on_end_of_input();
        return;
    }
    if (ec) {
        fail(answer_started_ ? exchange_fault::truncated
                             : exchange_fault::closed);
        return;
    }
    on_input(n);
}

void client_connection::on_input(std::size_t n)
{
    answer_started_ = true;
    if (bytes_) {
        bytes_->received += n;
    }
    auto const room = buffer_.prepare(n);
    buffer_.commit(asio::buffer_copy(room, asio::buffer(input_, n)));
    boost::system::error_code ec;
    if (!feed(ec) || (received_ && !received_->hold(held())) ||
        skipped_ > max_skipped_answers || buffer_.size() > max_answer_header) {
        fail(exchange_fault::malformed);
        return;
    }
    if (parser_->is_done()) {
        finish();
        return;
    }
    read();
}

// What the open exchange makes this connection hold, in bytes.
std::size_t client_connection::held() const
{
    return field_bytes_ + parser_->get().body().capacity() +
           buffer_.capacity() + unsent_;
}

// Gives buffered input to the parser. Returns false on a malformed answer.
bool client_connection::feed(boost::system::error_code& ec)
{
    while (buffer_.size() > 0) {
        if (parser_->is_done() && !skip_foreign()) {
            return true;
        }
        auto const n = parser_->put(buffer_.data(), ec);
        buffer_.consume(n);
        if (has_invalid_status()) {
            ++invalid_statuses_;
            log_invalid_status(socket_, parser_->get().result_int());
            return false;
        }
        if (ec == http::error::need_more) {
            ec = {};
            return true;
        }
        if (ec) {
            return false;
        }
    }
    if (parser_->is_done()) {
        skip_foreign();
    }
    return true;
}

bool client_connection::has_invalid_status() const
{
    return parser_->is_header_done() &&
           kind_of_status(parser_->get().result_int()) == status_kind::invalid;
}

bool client_connection::is_foreign() const
{
    if (echo_header_.empty()) {
        return false;
    }
    auto const it = parser_->get().find(echo_header_);
    return it != parser_->get().end() && it->value() != echo_value_;
}

// Whether the answer is known to belong to the open exchange.
bool client_connection::is_identified() const
{
    return echo_header_.empty() ||
           parser_->get().find(echo_header_) != parser_->get().end();
}

// An interim answer is followed by the final one, and a late answer to
// an earlier request by the one to this request.
bool client_connection::skip_foreign()
{
    auto const kind = kind_of_status(parser_->get().result_int());
    if (kind == status_kind::final_response && !is_foreign()) {
        return false;
    }
    ++skipped_;
    late_answers_ += is_foreign() ? 1 : 0;
    begin_parser();
    return true;
}

void client_connection::on_end_of_input()
{
    if (!answer_started_) {
        fail(exchange_fault::closed);
        return;
    }
    // The parser would complete an answer of which it has seen nothing.
    if (!parser_->got_some()) {
        fail(exchange_fault::truncated);
        return;
    }
    boost::system::error_code ec;
    parser_->put_eof(ec);
    if (ec || !parser_->is_done() || is_foreign()) {
        fail(exchange_fault::truncated);
        return;
    }
    finish();
}

void client_connection::finish()
{
    bool const identified = is_identified();
    if (!identified && exchanges_ > 0) {
        fail(exchange_fault::malformed);
        return;
    }
    // A server may answer before it has read the request; the rest of the
    // request must not become part of the next one.
    bool const keep =
        parser_->keep_alive() && buffer_.size() == 0 && !writing_ && identified;
    auto message = parser_->release();
    http_response answer{.status = message.result_int(),
                         .content_type =
                             std::string(message[http::field::content_type]),
                         .body = std::move(message.body())};
    answer.headers.reserve(static_cast<std::size_t>(
        std::distance(message.begin(), message.end())));
    for (auto const& field : message) {
        std::string name(field.name_string());
        for (auto& c : name) {
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        }
        answer.headers.emplace_back(std::move(name),
                                    std::string(field.value()));
    }
    ++exchanges_;
    echo_header_.clear();
    if (received_) {
        received_->release();
    }
    auto const f = std::exchange(on_result_, nullptr);
    if (keep) {
        state_ = state::idle;
        read();
    }
    else {
        shut();
    }
    f(std::move(answer));
}

void client_connection::fail(exchange_fault fault)
{
    shut();
    if (auto const f = std::exchange(on_result_, nullptr)) {
        f(exchange_failed{.fault = fault, .sent = sent_});
    }
}

void client_connection::close()
{
    shut();
    if (on_result_) {
        asio::post(io_, [self = shared_from_this()] {
            self->fail(exchange_fault::closed);
        });
    }
}

void client_connection::discard()
{
    // The callbacks may hold the last references to this connection.
    auto const self = shared_from_this();
    auto const on_connect = std::exchange(on_connect_, nullptr);
    auto const on_result = std::exchange(on_result_, nullptr);
    auto const on_closed = std::exchange(on_closed_, nullptr);
    shut();
}

void client_connection::shut()
{
    state_ = state::closed;
    if (received_) {
        received_->release();
    }
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace snipemill
