#include "adapters/peer/h2_callbacks.hpp"

#include "adapters/peer/h2_session.hpp"

#include <algorithm>
#include <memory>
#include <new>

namespace snipemill {

namespace {

h2_session& session_of(void* user)
{
    return *static_cast<h2_session*>(user);
}

std::string_view view(std::uint8_t const* bytes, std::size_t size)
{
    return {reinterpret_cast<char const*>(bytes), size};
}

bool is_request(nghttp2_frame const* frame)
{
    return frame->hd.type == NGHTTP2_HEADERS &&
           frame->headers.cat == NGHTTP2_HCAT_REQUEST;
}

} // namespace

nghttp2_session_callbacks* h2_callbacks::make()
{
    nghttp2_session_callbacks* it = nullptr;
    if (nghttp2_session_callbacks_new(&it) != 0) {
        throw std::bad_alloc();
    }
    nghttp2_session_callbacks_set_on_begin_headers_callback(it, begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(it, header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(it, data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(it, frame_received);
    nghttp2_session_callbacks_set_on_frame_send_callback(it, frame_sent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(it,
                                                             frame_not_sent);
    nghttp2_session_callbacks_set_on_stream_close_callback(it, stream_closed);
    return it;
}

ssize_t h2_callbacks::read(nghttp2_session* /*session*/, std::int32_t /*id*/,
                           std::uint8_t* buf, std::size_t length,
                           std::uint32_t* flags, nghttp2_data_source* source,
                           void* /*user*/)
{
    auto& stream = *static_cast<h2_stream*>(source->ptr);
    auto const n = std::min(length, stream.out.size() - stream.out_at);
    if (n == 0 && !stream.out_end) {
        stream.deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    std::copy_n(stream.out.data() + stream.out_at, n, buf);
    stream.out_at += n;
    if (stream.out_at == stream.out.size()) {
        stream.out.clear();
        stream.out_at = 0;
        if (stream.out_end) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
    }
    return static_cast<ssize_t>(n);
}

int h2_callbacks::begin_headers(nghttp2_session* /*session*/,
                                nghttp2_frame const* frame, void* user)
{
    auto& self = session_of(user);
    if (!is_request(frame) || self.closed_) {
        return 0;
    }
    self.add(frame->hd.stream_id, self.hooks_.accept());
    return 0;
}

int h2_callbacks::header(nghttp2_session* /*session*/,
                         nghttp2_frame const* frame, std::uint8_t const* name,
                         std::size_t name_size, std::uint8_t const* value,
                         std::size_t value_size, std::uint8_t /*flags*/,
                         void* user)
{
    if (auto* const stream = session_of(user).find(frame->hd.stream_id)) {
        stream->on_header(view(name, name_size), view(value, value_size));
    }
    return 0;
}

int h2_callbacks::data(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
                       std::int32_t id, std::uint8_t const* bytes,
                       std::size_t size, void* user)
{
    session_of(user).on_data(id, view(bytes, size));
    return 0;
}

int h2_callbacks::frame_received(nghttp2_session* /*session*/,
                                 nghttp2_frame const* frame, void* user)
{
    auto& self = session_of(user);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        self.going_away_ = true;
        return 0;
    }
    bool const carries_data =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!carries_data || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    auto const it = self.streams_.find(frame->hd.stream_id);
    if (it != self.streams_.end()) {
        auto const stream = it->second; // kept during the call
        stream->on_remote_end();
    }
    return 0;
}

int h2_callbacks::frame_sent(nghttp2_session* /*session*/,
                             nghttp2_frame const* frame, void* user)
{
    if (frame->hd.type != NGHTTP2_HEADERS) {
        return 0;
    }
    if (auto* const stream = session_of(user).find(frame->hd.stream_id)) {
        stream->headers_framed = true;
    }
    return 0;
}

int h2_callbacks::frame_not_sent(nghttp2_session* /*session*/,
                                 nghttp2_frame const* frame, int /*error*/,
                                 void* user)
{
    // nghttp2 reports no close for a stream that it has never opened.
    if (is_request(frame)) {
        session_of(user).close_stream(frame->hd.stream_id,
                                      NGHTTP2_REFUSED_STREAM);
    }
    return 0;
}

int h2_callbacks::stream_closed(nghttp2_session* /*session*/, std::int32_t id,
                                std::uint32_t error, void* user)
{
    session_of(user).close_stream(id, error);
    return 0;
}

} // namespace snipemill
