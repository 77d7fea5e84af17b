#pragma once

#include "adapters/net/receive_budget.hpp"
#include "adapters/peer/length_prefix.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipemill {

// How a stream came to its end.
struct h2_close
{
    std::uint32_t error = 0;      // HTTP/2 error code
    bool connection_lost = false; // the connection broke
};

// One stream of an h2_session. The session owns it from its opening to its
// close and calls the functions below.
class h2_stream
{
public:
    explicit h2_stream(std::size_t max_message) : splitter(max_message) {}
    virtual ~h2_stream() = default;
    h2_stream(h2_stream const&) = delete;
    h2_stream& operator=(h2_stream const&) = delete;

    virtual void on_header(std::string_view name, std::string_view value) = 0;
    virtual void on_message(std::string message) = 0;
    // A message is larger than allowed; the session resets the stream.
    virtual void on_too_large() = 0;
    // The peer has sent everything.
    virtual void on_remote_end() = 0;
    // Called once. The session does not use the stream any more.
    virtual void on_closed(h2_close const& close) = 0;
    // The session is destroyed; nothing is reported any more.
    virtual void on_discarded() {}

    std::int32_t id = 0;
    message_splitter splitter;
    std::optional<receive_budget::share> received; // by the splitter
    std::string out;                               // bytes to send
    std::size_t out_at = 0; // bytes of out that have been framed
    bool out_end = false;   // the stream ends after out
    bool deferred = false;  // framing has paused for lack of bytes
    bool started = false;   // headers submitted
    bool headers_framed = false;
};

} // namespace snipemill
