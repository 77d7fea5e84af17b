#include "adapters/http/error_body.hpp"
#include "adapters/http/server_connection.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include <utility>

namespace snipemill {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Heap memory of a string; a short one lies in the object itself.
std::size_t heap_bytes(std::string const& text)
{
    static std::size_t const inside = std::string().capacity();
    return text.capacity() > inside ? text.capacity() + 1 : 0;
}

template <class Headers>
std::size_t header_bytes(Headers const& headers)
{
    std::size_t n = headers.capacity() * sizeof(typename Headers::value_type);
    for (auto const& [name, value] : headers) {
        n += heap_bytes(name) + heap_bytes(value);
    }
    return n;
}

} // namespace

std::size_t memory_of(http_request const& it)
{
    return header_bytes(it.headers) + heap_bytes(it.target) +
           heap_bytes(it.body);
}

std::size_t memory_of(http_response const& it)
{
    return header_bytes(it.headers) + heap_bytes(it.body);
}

void server_connection::reject(boost::system::error_code ec)
{
    ++core_->bad_requests;
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        reject(431, {.code = errc::header_too_large,
                     .run = run_state::not_run,
                     .detail = "the request header is too large"});
        return;
    }
    if (ec == http::error::body_limit) {
        reject(413, {.code = errc::body_too_large,
                     .run = run_state::not_run,
                     .detail = "the request body is too large"});
        return;
    }
    reject(400, {.code = errc::malformed_request,
                 .run = run_state::not_run,
                 .detail = ec.message()});
}

void server_connection::reject(unsigned status, failure const& f)
{
    response message{http::int_to_status(status), 11};
    message.set(http::field::content_type, "application/json");
    keep_alive_ = false;
    message.keep_alive(false);
    if (status == 503) {
        message.set(http::field::retry_after, "1");
    }
    message.body() = write_error_body(f);
    message.prepare_payload();
    write(std::move(message));
}

// What this connection makes the server hold, in bytes.
std::size_t server_connection::held() const
{
    switch (state_) {
    case state::receiving:
    case state::queued:
        return field_bytes_ + parser_->get().body().capacity() +
               buffer_.capacity();
    case state::handling:
    case state::writing:
        return message_bytes_ + buffer_.capacity();
    default:
        return 0;
    }
}

// The share has been released. Called while another receiver is served, so that
// a handler is told later.
void server_connection::shed()
{
    switch (state_) {
    case state::receiving:
    case state::queued:
        reject_for_memory();
        return;
    case state::handling:
        asio::post(core_->io(), [self = shared_from_this(), number = request_] {
            if (self->request_ == number) {
                self->drop_request();
            }
        });
        return;
    case state::writing:
        abort();
        return;
    default:
        return;
    }
}

// Ends a request that may have run: only a reset does not claim an outcome.
void server_connection::drop_request()
{
    if (state_ != state::handling) {
        return;
    }
    auto const gone = std::exchange(on_gone_, nullptr);
    abort();
    if (gone) {
        gone();
    }
}

void server_connection::reject_for_memory()
{
    ++core_->bad_requests;
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
    reject(503, {.code = errc::overloaded,
                 .run = run_state::not_run,
                 .detail = "too much memory is used by requests that arrive"});
}

// Requests that were read ahead of the response before them are handled a few
// at a time over all connections: a client that does not wait for responses
// must not take the capacity from those that do.
bool server_connection::wait_for_turn()
{
    if (!pipelined_ || has_turn_) {
        return false;
    }
    if (core_->take_turn(shared_from_this())) {
        has_turn_ = true;
        return false;
    }
    state_ = state::queued;
    arm(core_->options().idle_timeout);
    if (buffer_.size() < core_->options().max_read_ahead) {
        read();
    }
    return true;
}

bool server_connection::begin_turn()
{
    if (state_ != state::queued) {
        return false;
    }
    has_turn_ = true;
    asio::post(core_->io(), [self = shared_from_this(), number = request_] {
        if (self->state_ == state::queued && self->request_ == number) {
            self->dispatch();
        }
    });
    return true;
}

void server_connection::end_turn()
{
    if (state_ == state::queued) {
        core_->leave_queue(this);
    }
    if (std::exchange(has_turn_, false)) {
        core_->end_turn();
    }
}

} // namespace snipemill
