#pragma once

#include "adapters/net/connect_backoff.hpp"
#include "adapters/peer/client_stream.hpp"
#include "adapters/peer/h2_session.hpp"
#include "ports/peer_port.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipemill {

// Told when a peer becomes silent (true), and when it answers again or too
// much time has passed to tell (false). It is not called from within open.
using silence_hook = std::function<void(host_id const&, bool)>;

// The connection to one peer: made on first use, made again after it broke,
// with a growing delay after failures. A peer that cannot be reached or sends
// nothing while streams are open is silent; the connection is then tried
// again without streams until the peer answers.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    peer_connection(boost::asio::io_context& io, peer_address address,
                    peer_link_options const& options,
                    std::shared_ptr<peer_counters> counters,
                    std::shared_ptr<receive_budget> budget,
                    silence_hook on_silence);

    peer_address const& address() const { return address_; }
    void open(std::shared_ptr<client_stream> const& stream);
    // Closes the connection; open streams fail.
    void close();
    // Closes the connection; nobody is told.
    void discard();

private:
    void connect();
    void shut();
    void on_connected(boost::system::error_code ec);
    void start_session();
    void on_broken(h2_session const* session);
    void watch_connecting();
    void set_silent(bool silent);
    void try_again_later();
    void try_again();
    void request(std::shared_ptr<client_stream> const& stream);
    void fail_later(std::shared_ptr<client_stream> const& stream);
    void fail_now();

    boost::asio::io_context& io_;
    peer_address address_;
    std::string authority_;
    peer_link_options options_;
    std::shared_ptr<peer_counters> counters_;
    std::shared_ptr<receive_budget> budget_;
    boost::asio::ip::tcp::socket socket_; // while connecting
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer again_timer_;
    silence_hook on_silence_;
    connect_backoff::clock::time_point silent_since_{};
    bool silent_ = false;
    std::shared_ptr<h2_session> session_;
    std::vector<std::shared_ptr<h2_session>> leaving_; // finish their streams
    std::vector<std::shared_ptr<client_stream>> waiting_;
    std::vector<std::shared_ptr<client_stream>> failing_; // by fail_later
    connect_backoff backoff_;
    bool connecting_ = false;
    bool closed_ = false;
    bool discarded_ = false;
};

} // namespace snipemill
