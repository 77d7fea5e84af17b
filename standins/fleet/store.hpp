#pragma once

#include "adapters/http/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace standin {

// Availability of the store.
enum class store_state : std::uint8_t
{
    up,
    unavailable, // answers 503 and executes nothing
    answers_lost // executes calls but answers only watches
};

// Stand-in of the platform's object store: named objects by kind, one revision
// counter, listings, watches and conditional creation.
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
    // Calls that accept outdated data see the store as it was that long ago.
    void set_outdated_by(std::chrono::milliseconds lag) { outdated_by_ = lag; }
    // Drops the history. Watches from an earlier revision get 410.
    void compact() { oldest_revision_ = revision_; }
    // Comes back as it was at that time: what was written since is lost, and
    // its revisions are issued again. The era rises by one; answers name it
    // from then on.
    void restore(std::chrono::steady_clock::time_point copied_at);
    std::uint64_t era() const { return era_; }
    std::uint64_t revision() const { return revision_; }
    std::uint64_t calls() const { return calls_; }
    // Reads that do not accept outdated data.
    std::uint64_t current_reads() const { return current_reads_; }

private:
    struct event
    {
        std::uint64_t revision = 0;
        std::chrono::steady_clock::time_point at;
        std::string kind;
        std::string name;
        bool deleted = false;
        std::string object; // JSON
    };
    struct waiting_watch
    {
        std::string kind;
        std::uint64_t revision = 0;
        bool may_be_outdated = false;
        snipemill::http_responder respond;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    using object_map = std::map<std::string, std::string>; // JSON by name
    using watch_list = std::list<waiting_watch>;
    struct request_path;

    std::function<void()> on_request(snipemill::http_request const& request,
                                     snipemill::http_responder const& respond);
    snipemill::http_response write(snipemill::http_request const& request,
                                   request_path const& path);
    // Adds the era to an answer.
    snipemill::http_response with_era(snipemill::http_response answer) const;
    snipemill::http_response list(request_path const& path) const;
    // Revision that a call sees.
    std::uint64_t visible_revision(bool may_be_outdated) const;
    object_map objects_at(std::string const& kind,
                          std::uint64_t revision) const;
    std::function<void()> watch(request_path const& path,
                                snipemill::http_responder const& respond);
    std::optional<std::string> events_since(std::string const& kind,
                                            std::uint64_t revision,
                                            std::uint64_t last) const;
    void append_event(std::string const& kind, std::string const& name,
                      bool deleted, std::string const& object);
    void answer_watches();

    boost::asio::io_context& io_;
    store_state state_ = store_state::up;
    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 0;             // named in answers unless it is 0
    std::uint64_t oldest_revision_ = 0; // watches from before it get 410
    std::uint64_t calls_ = 0;
    std::uint64_t current_reads_ = 0;
    std::chrono::milliseconds outdated_by_{};
    std::map<std::string, object_map> objects_;
    std::deque<event> history_;
    watch_list watches_;
    snipemill::http_server server_;
};

} // namespace standin
