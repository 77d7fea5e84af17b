#include "adapters/peer/server_stream.hpp"

#include <utility>

namespace snipemill {

namespace {

class stream_responder : public peer_responder
{
public:
    explicit stream_responder(std::weak_ptr<server_stream> stream)
        : stream_(std::move(stream))
    {}
    stream_responder(stream_responder const&) = delete;
    stream_responder& operator=(stream_responder const&) = delete;
    ~stream_responder() override
    {
        if (auto const it = stream_.lock()) {
            it->abandon();
        }
    }

    void send(std::string message, bool last) override
    {
        if (auto const it = stream_.lock()) {
            it->send(message, last);
        }
    }

private:
    std::weak_ptr<server_stream> stream_;
};

} // namespace

server_stream::server_stream(std::weak_ptr<h2_session> session,
                             std::size_t max_message,
                             std::shared_ptr<peer_handler const> handler,
                             std::shared_ptr<peer_counters> counters)
    : h2_stream(max_message), session_(std::move(session)),
      handler_(std::move(handler)), counters_(std::move(counters))
{}

void server_stream::on_header(std::string_view name, std::string_view value)
{
    if (name == ":path") {
        path_ = value;
        if (auto const it = session_.lock()) {
            it->note_path(value);
        }
    }
    else if (name == ":method") {
        method_ = value;
    }
}

void server_stream::on_message(std::string message)
{
    ++messages_;
    message_ = std::move(message);
}

bool server_stream::complete() const
{
    return method_ == "POST" && messages_ == 1 && !splitter.partial();
}

void server_stream::on_remote_end()
{
    if (!complete()) {
        refuse();
        return;
    }
    ++counters_->streams_served;
    (*handler_)(
        {.path = std::move(path_),
         .message = std::move(message_),
         .responder = std::make_shared<stream_responder>(weak_from_this()),
         .on_gone = &on_gone_});
    if (last_sent_ || closed_) {
        on_gone_ = nullptr;
    }
}

void server_stream::refuse()
{
    ++counters_->protocol_errors;
    if (auto const it = session_.lock()) {
        it->reset(*this, NGHTTP2_PROTOCOL_ERROR);
    }
}

void server_stream::send(std::string_view message, bool last)
{
    if (last_sent_ || closed_) {
        return;
    }
    last_sent_ = last;
    if (last) {
        on_gone_ = nullptr;
    }
    if (auto const it = session_.lock()) {
        it->send(*this, message, last);
    }
}

void server_stream::abandon()
{
    if (last_sent_ || closed_) {
        return;
    }
    on_gone_ = nullptr;
    if (auto const it = session_.lock()) {
        it->reset(*this, NGHTTP2_INTERNAL_ERROR);
    }
}

void server_stream::on_closed(h2_close const& /*close*/)
{
    closed_ = true;
    if (last_sent_) {
        return;
    }
    ++counters_->streams_failed;
    if (auto const gone = std::exchange(on_gone_, nullptr)) {
        gone();
    }
}

} // namespace snipemill
