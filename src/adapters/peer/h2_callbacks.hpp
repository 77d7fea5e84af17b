#pragma once

#include <nghttp2/nghttp2.h>
#include <sys/types.h>

#include <cstddef>
#include <cstdint>

namespace snipemill {

// Functions that nghttp2 calls; the user data is the h2_session.
struct h2_callbacks
{
    // The caller deletes the result with nghttp2_session_callbacks_del.
    static nghttp2_session_callbacks* make();
    // Frames the bytes that wait in the h2_stream behind the source.
    static ssize_t read(nghttp2_session* session, std::int32_t id,
                        std::uint8_t* buf, std::size_t length,
                        std::uint32_t* flags, nghttp2_data_source* source,
                        void* user);

private:
    static int begin_headers(nghttp2_session* session,
                             nghttp2_frame const* frame, void* user);
    static int header(nghttp2_session* session, nghttp2_frame const* frame,
                      std::uint8_t const* name, std::size_t name_size,
                      std::uint8_t const* value, std::size_t value_size,
                      std::uint8_t flags, void* user);
    static int data(nghttp2_session* session, std::uint8_t flags,
                    std::int32_t id, std::uint8_t const* bytes,
                    std::size_t size, void* user);
    static int frame_received(nghttp2_session* session,
                              nghttp2_frame const* frame, void* user);
    static int frame_sent(nghttp2_session* session, nghttp2_frame const* frame,
                          void* user);
    static int frame_not_sent(nghttp2_session* session,
                              nghttp2_frame const* frame, int error,
                              void* user);
    static int stream_closed(nghttp2_session* session, std::int32_t id,
                             std::uint32_t error, void* user);
};

} // namespace snipemill
