#pragma once

#include "adapters/peer/h2_session.hpp"
#include "ports/peer_port.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace snipemill {

// A request to a peer, on the asking side.
class client_stream : public h2_stream,
                      public peer_stream,
                      public std::enable_shared_from_this<client_stream>
{
public:
    client_stream(std::size_t max_message, std::string_view path,
                  std::string_view message, std::function<void(stream_event)> f,
                  std::shared_ptr<peer_counters> counters);

    void cancel() override;

    void on_header(std::string_view name, std::string_view value) override;
    void on_message(std::string message) override;
    void on_too_large() override;
    void on_remote_end() override;
    void on_closed(h2_close const& close) override;
    // Releases the callback, which may hold this stream.
    void on_discarded() override;

    void fail(errc reason, bool sent);
    void set_session(std::weak_ptr<h2_session> session);
    // Cancelled, failed or ended.
    bool done() const { return f_ == nullptr; }
    std::string const& path() const { return path_; }

private:
    void finish(stream_event event);

    std::weak_ptr<h2_session> session_;
    std::string path_;
    // Shared, so that a call can outlive a cancel made inside it.
    std::shared_ptr<std::function<void(stream_event)>> f_;
    std::shared_ptr<peer_counters> counters_;
    bool ok_ = false; // the status is 200
};

} // namespace snipemill
