#include "adapters/peer/h2_session.hpp"

namespace snipemill {

// The part of h2_session that looks for silent peers.

namespace {

// The settings of keep_alive count in these.
constexpr auto client_tick = std::chrono::milliseconds(50);
constexpr auto server_tick = std::chrono::milliseconds(500);

} // namespace

// Runs while streams are open or the peer is silent.
void h2_session::watch()
{
    if (watching_ || closed_) {
        return;
    }
    watching_ = true;
    keep_alive_.start(false);
    on_watch();
}

void h2_session::on_watch()
{
    timer_.expires_after(role_ == h2_role::client ? client_tick : server_tick);
    timer_.async_wait([self = shared_from_this()](boost::system::error_code) {
        if (self->closed_) {
            return;
        }
        if (self->streams_.empty() && !self->keep_alive_.silent()) {
            self->watching_ = false;
            return;
        }
        self->on_tick();
        if (!self->closed_) {
            self->on_watch();
        }
    });
}

void h2_session::on_tick()
{
    switch (keep_alive_.on_tick()) {
    case keep_alive_step::none:
        break;
    case keep_alive_step::ping:
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        schedule_write();
        break;
    case keep_alive_step::silent:
        if (hooks_.on_silence) {
            hooks_.on_silence(true);
        }
        break;
    case keep_alive_step::close:
        close();
        break;
    }
}

} // namespace snipemill
