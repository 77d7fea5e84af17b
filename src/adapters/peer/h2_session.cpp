#include "adapters/peer/h2_session.hpp"

#include "adapters/peer/h2_callbacks.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <new>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto linger_time = std::chrono::seconds(1);

// The asking side finds a silent peer after 250 to 300 ms. TCP sends a lost
// segment again after 200 ms at the earliest, so one loss is no silence. Both
// sides close a connection with open streams after 5 s without input.
constexpr keep_alive_settings client_keep_alive{
    .ping_after = 2, .silent_after = 5, .close_after = 100};
constexpr keep_alive_settings server_keep_alive{
    .ping_after = 4, .silent_after = 0, .close_after = 10};

// Frames up to this size are written together; more would only grow the
// buffer, because the socket takes less at one time.
constexpr std::size_t max_write = 256 * 1024;

// Hedges are cancelled by resetting their streams, at up to a few thousand
// per second. nghttp2's default limit of 33 per second would close the
// connection.
constexpr std::uint64_t reset_burst = 1'000'000;
constexpr std::uint64_t reset_rate = 100'000;

nghttp2_nv header(std::string_view name, std::string_view value)
{
    auto* const n = reinterpret_cast<std::uint8_t const*>(name.data());
    auto* const v = reinterpret_cast<std::uint8_t const*>(value.data());
    return {const_cast<std::uint8_t*>(n), const_cast<std::uint8_t*>(v),
            name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

nghttp2_data_provider provider(h2_stream& stream)
{
    nghttp2_data_provider out{};
    out.source.ptr = &stream;
    out.read_callback = h2_callbacks::read;
    return out;
}

} // namespace

h2_session::h2_session(tcp::socket socket, h2_role role,
                       peer_link_options const& options,
                       std::shared_ptr<peer_counters> counters,
                       std::shared_ptr<receive_budget> budget, h2_hooks hooks)
    : socket_(std::move(socket)), timer_(socket_.get_executor()),
      linger_timer_(socket_.get_executor()), role_(role), options_(options),
      counters_(std::move(counters)), budget_(std::move(budget)),
      hooks_(std::move(hooks)),
      keep_alive_(role == h2_role::client ? client_keep_alive
                                          : server_keep_alive)
{
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    make_session();
}

h2_session::~h2_session()
{
    nghttp2_session_del(session_);
}

void h2_session::make_session()
{
    nghttp2_option* option = nullptr;
    if (nghttp2_option_new(&option) != 0) {
        throw std::bad_alloc();
    }
    nghttp2_option_set_no_closed_streams(option, 1);
    nghttp2_option_set_stream_reset_rate_limit(option, reset_burst, reset_rate);
    auto* const callbacks = h2_callbacks::make();
    int const rc =
        role_ == h2_role::server
            ? nghttp2_session_server_new2(&session_, callbacks, this, option)
            : nghttp2_session_client_new2(&session_, callbacks, this, option);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_option_del(option);
    if (rc != 0) {
        throw std::bad_alloc();
    }
}

void h2_session::submit_settings()
{
    std::array<nghttp2_settings_entry, 2> const entries{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options_.max_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, options_.window},
    }};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(),
                            entries.size());
    nghttp2_session_set_local_window_size(
        session_, NGHTTP2_FLAG_NONE, 0,
        static_cast<std::int32_t>(options_.window));
}

void h2_session::start(bool peer_silent)
{
    submit_settings();
    schedule_write();
    read();
    if (peer_silent) {
        watching_ = true;
        keep_alive_.start(true);
        on_watch();
    }
}

bool h2_session::accepts_requests() const
{
    return !closed_ && !going_away_;
}

bool h2_session::request(std::shared_ptr<h2_stream> const& stream,
                         std::string_view path, std::string_view authority)
{
    if (!accepts_requests()) {
        return false;
    }
    std::array<nghttp2_nv, 4> const headers{{
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":path", path),
        header(":authority", authority),
    }};
    auto const data = provider(*stream);
    auto const id = nghttp2_submit_request(session_, nullptr, headers.data(),
                                           headers.size(), &data, nullptr);
    if (id < 0) {
        // The stream numbers of the connection are used up.
        go_away();
        return false;
    }
    stream->started = true;
    add(id, stream);
    ++counters_->streams_opened;
    schedule_write();
    return true;
}

void h2_session::start_answer(h2_stream& stream)
{
    std::array<nghttp2_nv, 1> const headers{{header(":status", "200")}};
    auto const data = provider(stream);
    stream.started = true;
    nghttp2_submit_response(session_, stream.id, headers.data(), headers.size(),
                            &data);
}

void h2_session::send(h2_stream& stream, std::string_view message, bool last)
{
    if (closed_ || stream.out_end || find(stream.id) != &stream) {
        return;
    }
    append_message(stream.out, message);
    stream.out_end = last;
    if (!stream.started) {
        start_answer(stream);
    }
    else if (stream.deferred) {
        stream.deferred = false;
        nghttp2_session_resume_data(session_, stream.id);
    }
    schedule_write();
}

void h2_session::reset(h2_stream& stream, std::uint32_t error)
{
    if (closed_ || find(stream.id) != &stream) {
        return;
    }
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream.id, error);
    schedule_write();
}

void h2_session::go_away()
{
    if (closed_) {
        return;
    }
    going_away_ = true;
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    schedule_write();
}

void h2_session::add(std::int32_t id, std::shared_ptr<h2_stream> stream)
{
    stream->id = id;
    // Posted, because another session ends the stream inside its own input.
    stream->received.emplace(budget_, [weak = weak_from_this(), id] {
        if (auto const session = weak.lock()) {
            asio::post(session->socket_.get_executor(), [session, id] {
                if (auto* const it = session->find(id)) {
                    session->end_too_large(*it);
                }
            });
        }
    });
    streams_[id] = std::move(stream);
    watch();
}

h2_stream* h2_session::find(std::int32_t id)
{
    auto const it = streams_.find(id);
    return it == streams_.end() ? nullptr : it->second.get();
}

void h2_session::close_stream(std::int32_t id, std::uint32_t error)
{
    auto const it = streams_.find(id);
    if (it == streams_.end()) {
        return;
    }
    auto const stream = std::move(it->second);
    streams_.erase(it);
    stream->on_closed({.error = error});
}

void h2_session::on_data(std::int32_t id, std::string_view bytes)
{
    auto const it = streams_.find(id);
    if (it == streams_.end()) {
        return;
    }
    auto const stream = it->second; // kept during the call
    bool const fits = stream->splitter.feed(bytes, [&](std::string message) {
        stream->on_message(std::move(message));
    });
    bool const has_room =
        stream->received->hold(stream->splitter.pending_bytes());
    if (!fits || !has_room) {
        end_too_large(*stream);
    }
}

void h2_session::end_too_large(h2_stream& stream)
{
    ++counters_->protocol_errors;
    stream.on_too_large();
    reset(stream, NGHTTP2_ENHANCE_YOUR_CALM);
}

void h2_session::read()
{
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](boost::system::error_code ec,
                                    std::size_t n) { self->on_read(ec, n); });
}

void h2_session::on_read(boost::system::error_code ec, std::size_t n)
{
    if (closed_) {
        return;
    }
    if (ec) {
        close();
        return;
    }
    received_ = true;
    count_received(n);
    if (keep_alive_.on_input() && hooks_.on_silence) {
        hooks_.on_silence(false);
    }
    auto const used = nghttp2_session_mem_recv(session_, input_.data(), n);
    if (closed_) {
        return;
    }
    if (used < 0) {
        ++counters_->protocol_errors;
        close();
        return;
    }
    schedule_write();
    read();
}

void h2_session::count_sent(std::size_t n)
{
    bytes_.sent += n;
    counters_->bytes_sent += n;
    counters_->control_bytes_sent += control_ ? n : 0;
}

void h2_session::count_received(std::size_t n)
{
    bytes_.received += n;
    counters_->bytes_received += n;
    counters_->control_bytes_received += control_ ? n : 0;
}

void h2_session::note_path(std::string_view path)
{
    auto const& all = options_.control_paths;
    if (control_ || std::find(all.begin(), all.end(), path) == all.end()) {
        return;
    }
    control_ = true;
    counters_->control_bytes_sent += bytes_.sent;
    counters_->control_bytes_received += bytes_.received;
}

// The write itself is posted, so that all frames submitted by the handlers
// that are ready now go out together.
void h2_session::schedule_write()
{
    if (write_posted_ || writing_ || closed_) {
        return;
    }
    write_posted_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->write_posted_ = false;
        if (!self->writing_ && !self->closed_) {
            self->write();
        }
    });
}

// Collects frames in output_. Returns false when the session is broken.
bool h2_session::frame()
{
    output_.clear();
    while (output_.size() < max_write) {
        std::uint8_t const* bytes = nullptr;
        auto const n = nghttp2_session_mem_send(session_, &bytes);
        if (n < 0) {
            ++counters_->protocol_errors;
            return false;
        }
        if (n == 0) {
            break;
        }
        output_.append(reinterpret_cast<char const*>(bytes),
                       static_cast<std::size_t>(n));
    }
    return true;
}

void h2_session::write()
{
    bool const framed = frame();
    if (closed_) {
        return;
    }
    if (!framed) {
        close();
        return;
    }
    if (output_.empty()) {
        close_when_done();
        return;
    }
    writing_ = true;
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](boost::system::error_code ec,
                                                  std::size_t n) {
                          self->on_written(ec, n);
                      });
}

void h2_session::on_written(boost::system::error_code ec, std::size_t n)
{
    writing_ = false;
    count_sent(n);
    if (closed_) {
        return;
    }
    if (ec) {
        close();
        return;
    }
    write();
}

void h2_session::close_when_done()
{
    bool const done = nghttp2_session_want_read(session_) == 0 &&
                      nghttp2_session_want_write(session_) == 0;
    if (!done && (!going_away_ || !streams_.empty())) {
        return;
    }
    if (role_ == h2_role::server) {
        linger();
        return;
    }
    close();
}

// The client closes the connection after a GOAWAY. Closing first could reset
// it before the client has read the last frames.
void h2_session::linger()
{
    if (lingering_) {
        return;
    }
    lingering_ = true;
    linger_timer_.expires_after(linger_time);
    linger_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec) {
            if (!ec) {
                self->close();
            }
        });
}

void h2_session::close()
{
    if (closed_) {
        return;
    }
    shut();
    auto const streams = std::exchange(streams_, {});
    for (auto const& [id, stream] : streams) {
        stream->on_closed(
            {.error = NGHTTP2_INTERNAL_ERROR, .connection_lost = true});
    }
    auto const hooks = std::exchange(hooks_, {});
    if (hooks.on_broken) {
        hooks.on_broken();
    }
}

void h2_session::discard()
{
    shut();
    hooks_ = {};
    for (auto const& [id, stream] : std::exchange(streams_, {})) {
        stream->on_discarded();
    }
}

void h2_session::shut()
{
    closed_ = true;
    timer_.cancel();
    linger_timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace snipemill
