#include "adapters/peer/client_stream.hpp"
#include "adapters/peer/peer_connection.hpp"
#include "adapters/peer/peer_link.hpp"

#include <boost/asio/post.hpp>

#include <unordered_map>
#include <utility>
#include <vector>

namespace snipemill {

class peer_client::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(boost::asio::io_context& io, peer_link_options const& options)
        : io_(io), options_(options),
          counters_(std::make_shared<peer_counters>()),
          budget_(options.memory
                      ? options.memory
                      : std::make_shared<receive_budget>(options.max_received))
    {}

    std::shared_ptr<peer_stream> open(peer_address const& to,
                                      std::string_view path,
                                      std::string_view message,
                                      std::function<void(stream_event)> f)
    {
        auto stream = std::make_shared<client_stream>(
            options_.max_message, path, message, std::move(f), counters_);
        connection(to)->open(stream);
        return stream;
    }

    void forget(host_id const& id)
    {
        auto const it = peers_.find(id);
        if (it == peers_.end()) {
            return;
        }
        auto const connection = std::move(it->second);
        peers_.erase(it);
        close_later(connection);
    }

    void stop()
    {
        stopped_ = true;
        for (auto const& [id, it] : std::exchange(peers_, {})) {
            it->discard();
        }
        for (auto const& it : std::exchange(closing_, {})) {
            it->discard();
        }
    }

    void watch_silence(silence_hook f) { on_silence_ = std::move(f); }

    peer_counters const& counters() const { return *counters_; }

private:
    // Streams fail after the call, as everywhere.
    void close_later(std::shared_ptr<peer_connection> const& it)
    {
        if (closing_.empty()) {
            boost::asio::post(io_, [weak = weak_from_this()] {
                if (auto const self = weak.lock()) {
                    self->close_now();
                }
            });
        }
        closing_.push_back(it);
    }

    // A callback may end the client; the connections after it are then
    // discarded.
    void close_now()
    {
        for (auto const& it : std::exchange(closing_, {})) {
            if (stopped_) {
                it->discard();
            }
            else {
                it->close();
            }
        }
    }

    std::shared_ptr<peer_connection> const& connection(peer_address const& to)
    {
        auto& it = peers_[to.id];
        if (it && !(it->address() == to)) {
            close_later(it); // the host was replaced
            it = nullptr;
        }
        if (!it) {
            it = std::make_shared<peer_connection>(io_, to, options_, counters_,
                                                   budget_, on_silence_);
        }
        return it;
    }

    boost::asio::io_context& io_;
    peer_link_options options_;
    std::shared_ptr<peer_counters> counters_;
    std::shared_ptr<receive_budget> budget_;
    silence_hook on_silence_;
    std::unordered_map<host_id, std::shared_ptr<peer_connection>> peers_;
    std::vector<std::shared_ptr<peer_connection>> closing_; // by close_later
    bool stopped_ = false;
};

peer_client::peer_client(boost::asio::io_context& io,
                         peer_link_options const& options)
    : impl_(std::make_shared<impl>(io, options))
{}

peer_client::~peer_client()
{
    impl_->stop();
}

std::shared_ptr<peer_stream>
peer_client::open(peer_address const& to, std::string_view path,
                  std::string message, std::function<void(stream_event)> f)
{
    return impl_->open(to, path, message, std::move(f));
}

void peer_client::forget(host_id const& id)
{
    impl_->forget(id);
}

void peer_client::watch_silence(std::function<void(host_id const&, bool)> f)
{
    impl_->watch_silence(std::move(f));
}

peer_counters const& peer_client::counters() const
{
    return impl_->counters();
}

} // namespace snipemill
