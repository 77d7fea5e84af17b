#include "adapters/forward/relay_link.hpp"

#include "adapters/codec/relay_codec.hpp"
#include "core/base/overloaded.hpp"

#include <boost/asio/post.hpp>

#include <optional>
#include <utility>

namespace snipemill {

// A call on one stream to a relay. Delivers the final event only at the end of
// the stream: a callback that cancels the call earlier would reset a stream
// whose answer is complete.
class relay_link::call : public relay_call
{
public:
    explicit call(std::function<void(relay_event)> f) : f_(std::move(f)) {}

    void start(std::shared_ptr<peer_stream> stream)
    {
        stream_ = std::move(stream);
    }

    void cancel() override
    {
        f_ = nullptr;
        if (auto const stream = std::exchange(stream_, nullptr)) {
            stream->cancel();
        }
    }

    // Cancels the stream and passes relay_lost to the callback.
    void abort()
    {
        if (auto const stream = std::exchange(stream_, nullptr)) {
            stream->cancel();
        }
        finish(relay_lost{});
    }

    void on_event(stream_event event)
    {
        std::visit(overloaded{[this](std::string& it) { on_message(it); },
                              [this](stream_failed const& it) {
                                  stream_ = nullptr;
                                  finish(relay_lost{.sent = it.sent});
                              },
                              [this](stream_ended const&) {
                                  stream_ = nullptr;
                                  finish(final_event_
                                             ? std::move(*final_event_)
                                             : relay_event(relay_lost{}));
                              }},
                   event);
    }

private:
    void on_message(std::string const& message)
    {
        auto event = decode_relay_event(message);
        if (!event) {
            abort();
            return;
        }
        if (!std::holds_alternative<relay_accepted>(*event)) {
            final_event_ = std::move(event);
        }
        else if (f_) {
            f_(*event);
        }
    }

    void finish(relay_event event)
    {
        if (auto const f = std::exchange(f_, nullptr)) {
            f(std::move(event));
        }
    }

    std::function<void(relay_event)> f_;
    std::shared_ptr<peer_stream> stream_;
    std::optional<relay_event> final_event_;
};

relay_link::relay_link(boost::asio::io_context& io,
                       std::shared_ptr<receive_budget> memory)
    : client_(io, {.memory = std::move(memory)})
{
    // on_unresponsive() is posted instead of called directly: when the
    // connection could not be set up, the streams' own events must come first,
    // because these report that nothing was sent.
    client_.watch_silence([this, &io, alive = std::weak_ptr(alive_)](
                              host_id const& id, bool silent) {
        if (silent) {
            boost::asio::post(io, [this, alive, id] {
                if (!alive.expired()) {
                    on_unresponsive(id);
                }
            });
        }
    });
}

relay_link::~relay_link() = default;

std::shared_ptr<relay_link::call>
relay_link::open(fleet_host const& to, char const* path, std::string message,
                 std::function<void(relay_event)> f)
{
    auto out = std::make_shared<call>(std::move(f));
    peer_address const address{
        .id = host_id(to.name), .ip = to.ip, .port = to.relay_port};
    auto& open_calls = calls_[address.id];
    std::erase_if(open_calls, [](auto const& it) { return it.expired(); });
    open_calls.push_back(out);
    out->start(client_.open(address, path, std::move(message),
                            [weak = std::weak_ptr(out)](stream_event event) {
                                if (auto const it = weak.lock()) {
                                    it->on_event(std::move(event));
                                }
                            }));
    return out;
}

std::shared_ptr<relay_call> relay_link::run(fleet_host const& to,
                                            relay_query const& query,
                                            std::function<void(relay_event)> f)
{
    return open(to, relay_paths::run, encode(query), std::move(f));
}

std::shared_ptr<relay_call>
relay_link::probe(fleet_host const& to, std::function<void(relay_event)> f)
{
    // A stream that ends after relay_accepted yields a second event,
    // relay_lost. Only the first event is passed on.
    auto const callback =
        std::make_shared<std::function<void(relay_event)>>(std::move(f));
    return open(to, relay_paths::probe, "", [callback](relay_event event) {
        if (auto const pending = std::exchange(*callback, nullptr)) {
            pending(std::move(event));
        }
    });
}

void relay_link::on_unresponsive(host_id const& id)
{
    auto const found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    for (auto const& weak : std::exchange(found->second, {})) {
        if (auto const it = weak.lock()) {
            it->abort();
        }
    }
}

} // namespace snipemill
