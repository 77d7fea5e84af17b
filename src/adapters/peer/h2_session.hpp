#pragma once

#include "adapters/net/byte_count.hpp"
#include "adapters/peer/h2_stream.hpp"
#include "adapters/peer/keep_alive.hpp"
#include "adapters/peer/peer_link.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nghttp2/nghttp2.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace snipemill {

enum class h2_role : std::uint8_t
{
    client,
    server
};

// What a session needs from its user.
struct h2_hooks
{
    // Makes the stream of a request that arrives; server only.
    std::function<std::shared_ptr<h2_stream>()> accept;
    // The connection is closed; all streams have been told.
    std::function<void()> on_broken;
    // The peer has become silent while streams are open, or has sent
    // something after that; client only.
    std::function<void(bool)> on_silence;
};

// One HTTP/2 connection without TLS, driven from an io_context. Frames that
// are submitted in one turn of the io_context are written together. A
// connection with open streams is probed, and closed when the peer is silent.
class h2_session : public std::enable_shared_from_this<h2_session>
{
public:
    h2_session(boost::asio::ip::tcp::socket socket, h2_role role,
               peer_link_options const& options,
               std::shared_ptr<peer_counters> counters,
               std::shared_ptr<receive_budget> budget, h2_hooks hooks);
    ~h2_session();
    h2_session(h2_session const&) = delete;
    h2_session& operator=(h2_session const&) = delete;

    // peer_silent: the peer counts as silent until it sends something.
    void start(bool peer_silent = false);
    // Opens a stream for what stream->out holds. Returns false when the
    // connection takes no new streams.
    bool request(std::shared_ptr<h2_stream> const& stream,
                 std::string_view path, std::string_view authority);
    // Sends one message; on a server the first one starts the answer.
    void send(h2_stream& stream, std::string_view message, bool last);
    void reset(h2_stream& stream, std::uint32_t error);
    // Counts the connection as control traffic if its options name the path.
    void note_path(std::string_view path);
    // No new streams; the connection closes when the open ones have ended.
    void go_away();
    // Closes the connection; open streams fail.
    void close();
    // Closes the connection without telling anyone.
    void discard();

    bool accepts_requests() const;
    bool received_anything() const { return received_; }
    std::size_t streams() const { return streams_.size(); }

private:
    friend struct h2_callbacks;

    void make_session();
    void submit_settings();
    void start_answer(h2_stream& stream);
    void add(std::int32_t id, std::shared_ptr<h2_stream> stream);
    h2_stream* find(std::int32_t id);
    void close_stream(std::int32_t id, std::uint32_t error);
    void on_data(std::int32_t id, std::string_view bytes);
    // Resets a stream whose messages take too much memory.
    void end_too_large(h2_stream& stream);

    void read();
    void on_read(boost::system::error_code ec, std::size_t n);
    void count_sent(std::size_t n);
    void count_received(std::size_t n);
    void schedule_write();
    void write();
    bool frame();
    void on_written(boost::system::error_code ec, std::size_t n);
    void close_when_done();
    void linger();
    void shut();
    void watch();
    void on_watch();
    void on_tick();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer linger_timer_;
    h2_role role_;
    peer_link_options options_;
    std::shared_ptr<peer_counters> counters_;
    std::shared_ptr<receive_budget> budget_;
    h2_hooks hooks_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<std::int32_t, std::shared_ptr<h2_stream>> streams_;
    std::array<std::uint8_t, 16384> input_;
    std::string output_;
    byte_count bytes_;
    keep_alive keep_alive_;
    bool control_ = false; // its bytes are control traffic
    bool watching_ = false;
    bool write_posted_ = false;
    bool writing_ = false;
    bool received_ = false;
    bool going_away_ = false;
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace snipemill
