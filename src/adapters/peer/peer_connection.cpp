#include "adapters/peer/peer_connection.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace snipemill {

namespace asio = boost::asio;

namespace {

constexpr duration connect_timeout = from_ms(1000);

// A peer that takes longer to accept a connection is silent.
constexpr duration slow_connect = from_ms(250);

// A silent peer is tried again at this interval for at most this time. Long
// before, membership has declared it dead.
constexpr duration again_interval = from_ms(500);
constexpr duration silence_limit = from_ms(30'000);

} // namespace

peer_connection::peer_connection(asio::io_context& io, peer_address address,
                                 peer_link_options const& options,
                                 std::shared_ptr<peer_counters> counters,
                                 std::shared_ptr<receive_budget> budget,
                                 silence_hook on_silence)
    : io_(io), address_(std::move(address)),
      authority_(address_.ip + ":" + std::to_string(address_.port)),
      options_(options), counters_(std::move(counters)),
      budget_(std::move(budget)), socket_(io), timer_(io), again_timer_(io),
      on_silence_(std::move(on_silence))
{}

void peer_connection::open(std::shared_ptr<client_stream> const& stream)
{
    if (session_ && session_->accepts_requests()) {
        request(stream);
        return;
    }
    if (!connecting_ && backoff_.blocked()) {
        fail_later(stream);
        return;
    }
    waiting_.push_back(stream);
    if (!connecting_) {
        connect();
    }
}

void peer_connection::request(std::shared_ptr<client_stream> const& stream)
{
    stream->set_session(session_);
    if (!session_->request(stream, stream->path(), authority_)) {
        fail_later(stream);
    }
}

void peer_connection::fail_later(std::shared_ptr<client_stream> const& stream)
{
    if (failing_.empty()) {
        asio::post(io_, [self = shared_from_this()] { self->fail_now(); });
    }
    failing_.push_back(stream);
}

// A callback may end the client; the streams after it are then discarded.
void peer_connection::fail_now()
{
    for (auto const& it : std::exchange(failing_, {})) {
        if (discarded_) {
            it->on_discarded();
        }
        else {
            it->fail(errc::peer_unreachable, false);
        }
    }
}

void peer_connection::connect()
{
    if (session_) {
        leaving_.push_back(std::exchange(session_, nullptr));
    }
    connecting_ = true;
    boost::system::error_code ec;
    auto const ip = asio::ip::make_address(address_.ip, ec);
    socket_ = asio::ip::tcp::socket(io_);
    watch_connecting();
    socket_.async_connect(
        {ip, address_.port},
        [self = shared_from_this()](boost::system::error_code result) {
            self->on_connected(result);
        });
}

void peer_connection::watch_connecting()
{
    timer_.expires_after(slow_connect);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code slow) {
            if (slow || !self->connecting_) {
                return;
            }
            self->set_silent(true);
            self->timer_.expires_after(connect_timeout - slow_connect);
            self->timer_.async_wait([self](boost::system::error_code late) {
                if (!late && self->connecting_) {
                    boost::system::error_code ignored;
                    self->socket_.close(ignored);
                }
            });
        });
}

void peer_connection::on_connected(boost::system::error_code ec)
{
    connecting_ = false;
    timer_.cancel();
    auto const waiting = std::exchange(waiting_, {});
    if (discarded_) {
        return;
    }
    if (ec || closed_) {
        backoff_.failed();
        // First, so that retries of the failed streams avoid this peer.
        if (!closed_) {
            set_silent(true);
            try_again_later();
        }
        for (auto const& it : waiting) {
            it->fail(errc::peer_unreachable, false);
        }
        return;
    }
    start_session();
    for (auto const& it : waiting) {
        if (!it->done()) {
            request(it);
        }
    }
}

void peer_connection::start_session()
{
    auto const link = std::make_shared<h2_session const*>(nullptr);
    h2_hooks hooks;
    hooks.on_broken = [weak = weak_from_this(), link] {
        if (auto const self = weak.lock()) {
            self->on_broken(*link);
        }
    };
    hooks.on_silence = [weak = weak_from_this(), link](bool silent) {
        auto const self = weak.lock();
        if (self && self->session_.get() == *link) {
            self->set_silent(silent);
        }
    };
    session_ = std::make_shared<h2_session>(std::move(socket_), h2_role::client,
                                            options_, counters_, budget_,
                                            std::move(hooks));
    *link = session_.get();
    session_->start(silent_);
}

void peer_connection::on_broken(h2_session const* session)
{
    if (session->received_anything()) {
        backoff_.succeeded();
    }
    else {
        // A peer that accepts and closes would be tried in a loop.
        backoff_.failed();
    }
    std::erase_if(leaving_,
                  [session](auto const& it) { return it.get() == session; });
    if (session_.get() == session) {
        session_ = nullptr;
    }
    if (!session_) {
        try_again_later();
    }
}

void peer_connection::set_silent(bool silent)
{
    if (silent == silent_ || discarded_) {
        return;
    }
    silent_ = silent;
    silent_since_ = connect_backoff::clock::now();
    if (on_silence_) {
        on_silence_(address_.id, silent);
    }
}

void peer_connection::try_again_later()
{
    if (!silent_ || closed_) {
        return;
    }
    again_timer_.expires_after(again_interval);
    again_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec) {
            if (!ec) {
                self->try_again();
            }
        });
}

void peer_connection::try_again()
{
    if (!silent_ || closed_ || session_ || connecting_) {
        return;
    }
    if (connect_backoff::clock::now() - silent_since_ >= silence_limit) {
        set_silent(false);
        return;
    }
    connect();
}

void peer_connection::shut()
{
    closed_ = true;
    timer_.cancel();
    again_timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void peer_connection::close()
{
    shut();
    set_silent(false);
    for (auto const& it : std::exchange(waiting_, {})) {
        it->fail(errc::peer_unreachable, false);
    }
    for (auto const& it : std::exchange(leaving_, {})) {
        it->close();
    }
    if (auto const it = std::exchange(session_, nullptr)) {
        it->close();
    }
}

void peer_connection::discard()
{
    shut();
    discarded_ = true;
    for (auto const& it : std::exchange(waiting_, {})) {
        it->on_discarded();
    }
    for (auto const& it : std::exchange(failing_, {})) {
        it->on_discarded();
    }
    for (auto const& it : std::exchange(leaving_, {})) {
        it->discard();
    }
    if (auto const it = std::exchange(session_, nullptr)) {
        it->discard();
    }
}

} // namespace snipemill
