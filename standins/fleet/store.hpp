#pragma once

#include "adapters/http/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace standin {

// How the store treats calls.
enum class store_state : std::uint8_t
{
    up,
    unavailable, // 503, nothing is done
    answers_lost // calls are done, their connections closed without an answer
};

// Stand-in of the platform's object store: kinds of named objects, one
// revision counter, lists, watches, conditional creation.
class store
{
public:
    explicit store(boost::asio::io_context& io);
    store(store const&) = delete;
    store& operator=(store const&) = delete;

    std::uint16_t port() const { return server_.port(); }
    void put(std::string const& kind, std::string const& name,
             boost::json::object spec);
    void remove(std::string const& kind, std::string const& name);
    bool has(std::string const& kind, std::string const& name) const;
    void set_state(store_state state) { state_ = state; }
    // Forgets the history; watches from before get 410.
    void compact() { oldest_revision_ = revision_; }
    std::uint64_t calls() const { return calls_; }

private:
    struct event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text; // as a watch reports it
    };
    struct waiting_watch
    {
        std::string kind;
        std::uint64_t revision = 0;
        snipemill::http_responder respond;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    using watch_list = std::list<waiting_watch>;
    struct request_path;

    std::function<void()> on_request(snipemill::http_request const& request,
                                     snipemill::http_responder const& respond);
    snipemill::http_response write(snipemill::http_request const& request,
                                   request_path const& path);
    snipemill::http_response list(request_path const& path) const;
    std::function<void()> watch(request_path const& path,
                                snipemill::http_responder const& respond);
    std::optional<std::string> events_since(std::string const& kind,
                                            std::uint64_t revision) const;
    void append_event(std::string const& kind, std::string const& name,
                      bool deleted, std::string const& object);
    void answer_watches();

    boost::asio::io_context& io_;
    store_state state_ = store_state::up;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_revision_ = 0; // history before it is gone
    std::uint64_t calls_ = 0;
    std::map<std::string, std::map<std::string, std::string>> objects_;
    std::deque<event> history_;
    watch_list watches_;
    snipemill::http_server server_;
};

} // namespace standin
