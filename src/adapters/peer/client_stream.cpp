#include "adapters/peer/client_stream.hpp"

#include <utility>

namespace snipemill {

client_stream::client_stream(std::size_t max_message, std::string_view path,
                             std::string_view message,
                             std::function<void(stream_event)> f,
                             std::shared_ptr<peer_counters> counters)
    : h2_stream(max_message), path_(path),
      f_(std::make_shared<std::function<void(stream_event)>>(std::move(f))),
      counters_(std::move(counters))
{
    out.reserve(message.size() + 4);
    append_message(out, message);
    out_end = true;
}

void client_stream::set_session(std::weak_ptr<h2_session> session)
{
    session_ = std::move(session);
}

void client_stream::cancel()
{
    // Destroying the callback may release what it captured, this stream
    // among it.
    auto const self = shared_from_this();
    auto const f = std::exchange(f_, nullptr);
    if (!f) {
        return;
    }
    if (auto const it = session_.lock()) {
        it->reset(*this, NGHTTP2_CANCEL);
    }
}

void client_stream::on_header(std::string_view name, std::string_view value)
{
    if (name == ":status") {
        ok_ = value == "200";
    }
}

void client_stream::on_message(std::string message)
{
    if (f_) {
        auto const f = f_;
        (*f)(std::move(message));
    }
}

void client_stream::on_too_large()
{
    fail(errc::peer_protocol, true);
}

void client_stream::on_remote_end()
{
    if (!ok_ || splitter.partial()) {
        ++counters_->protocol_errors;
        fail(errc::peer_protocol, true);
        return;
    }
    finish(stream_ended{});
}

void client_stream::on_closed(h2_close const& close)
{
    bool const refused =
        !close.connection_lost && close.error == NGHTTP2_REFUSED_STREAM;
    bool const protocol =
        !close.connection_lost && close.error == NGHTTP2_PROTOCOL_ERROR;
    fail(protocol ? errc::peer_protocol : errc::peer_unreachable,
         headers_framed && !refused);
}

void client_stream::on_discarded()
{
    auto const self = shared_from_this();
    f_.reset();
}

void client_stream::fail(errc reason, bool sent)
{
    if (done()) {
        return;
    }
    ++counters_->streams_failed;
    finish(stream_failed{.reason = reason, .sent = sent});
}

void client_stream::finish(stream_event event)
{
    if (auto const f = std::exchange(f_, nullptr)) {
        (*f)(std::move(event));
    }
}

} // namespace snipemill
