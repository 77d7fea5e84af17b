#pragma once

#include "common/http_server.hpp"
#include "upstream/capacity.hpp"
#include "upstream/index.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <map>
#include <string>

namespace standin {

// Where POST /execute loses its connection.
enum class execute_fault
{
    none,
    before, // without running
    during, // after running, without an answer
    after   // after the answer
};

// One stand-in upstream on a port of its own.
class upstream
{
public:
    upstream(boost::asio::io_context& io, upstream_settings settings,
             clock_type::time_point started);

    std::uint16_t port() const { return server_.port(); }

private:
    void on_request(exchange_ptr const& e);
    void on_work(exchange_ptr const& e);
    void search(exchange_ptr const& e, boost::json::object const& body);
    void execute(exchange_ptr const& e, boost::json::object const& body);
    void finish_execute(exchange& e, bool rejected);
    void submit(exchange_ptr const& e, bool crashes,
                std::function<void()> start, std::function<void()> finish);
    void crash();
    void stop_listening(double ms);
    void restart();
    void cancel(exchange& e);
    void on_control(exchange_ptr const& e);
    bool set_controls(boost::json::object const& o);
    bool refuse_connections(boost::json::value const& v);
    bool set_number(std::string_view name, boost::json::value const& v);
    void reset_counters();

    std::string status();
    std::string status_now() const;
    std::string held() const;
    std::string counters();
    std::string log() const;
    std::int64_t now_ms() const;

    boost::asio::io_context& io_;
    upstream_settings settings_;
    clock_type::time_point started_;
    upstream_counters counters_;
    capacity capacity_;
    index index_;
    http_server server_;
    boost::asio::steady_timer listen_timer_;
    std::map<std::string, std::uint64_t> executed_; // by key
    std::string status_;
    clock_type::time_point status_at_;
    execute_fault execute_fault_ = execute_fault::none;
    std::uint64_t execute_answers_ = 0;
    bool draining_ = false;
};

} // namespace standin
