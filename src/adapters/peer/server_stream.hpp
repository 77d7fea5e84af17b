#pragma once

#include "adapters/peer/h2_session.hpp"
#include "ports/peer_port.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace snipemill {

// A request that a peer sends, on the serving side.
class server_stream : public h2_stream,
                      public std::enable_shared_from_this<server_stream>
{
public:
    server_stream(std::weak_ptr<h2_session> session, std::size_t max_message,
                  std::shared_ptr<peer_handler const> handler,
                  std::shared_ptr<peer_counters> counters);

    void on_header(std::string_view name, std::string_view value) override;
    void on_message(std::string message) override;
    void on_too_large() override {}
    void on_remote_end() override;
    void on_closed(h2_close const& close) override;

    void send(std::string_view message, bool last);
    // The handler dropped its responder before the last message.
    void abandon();

private:
    bool complete() const;
    void refuse();

    std::weak_ptr<h2_session> session_;
    std::shared_ptr<peer_handler const> handler_;
    std::shared_ptr<peer_counters> counters_;
    std::function<void()> on_gone_;
    std::string method_;
    std::string path_;
    std::string message_;
    std::size_t messages_ = 0;
    bool last_sent_ = false;
    bool closed_ = false;
};

} // namespace snipemill
