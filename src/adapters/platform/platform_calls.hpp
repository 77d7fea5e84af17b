#pragma once

#include "adapters/http/http_client.hpp"
#include "adapters/platform/call_bucket.hpp"
#include "adapters/platform/circuit_breaker.hpp"
#include "adapters/platform/platform_client.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace snipemill {

// Budgets, breaker and connections behind a platform_client.
class platform_calls : public std::enable_shared_from_this<platform_calls>
{
public:
    // A 200, or why there is none.
    using call_result = std::variant<http_response, platform_error>;
    using callback = std::function<void(call_result)>;

    platform_calls(boost::asio::io_context& io,
                   platform_client_options const& options,
                   std::function<void(bool)> on_state);

    // key decides the budget. A write that fails after a byte was sent is
    // ambiguous.
    void send(http_request request, std::string_view key, bool write,
              callback f);
    // On a connection of its own, because it waits for up to the timeout.
    void send_watch(http_request request, std::string_view prefix,
                    duration timeout, callback f);
    void stop();

    bool reachable() const { return breaker_.closed(); }

    platform_counters counters;
    std::shared_ptr<byte_count> const bytes = std::make_shared<byte_count>();

private:
    bool allowed(std::string_view key, callback const& f);
    void refuse(callback const& f);
    void on_result(bool write, http_result result, callback const& f);
    platform_error error_of(bool write, http_result const& result);
    void note(bool good);
    void report(bool reachable);
    void schedule_trial();
    void send_trial();

    boost::asio::io_context& io_;
    platform_client_options options_;
    std::function<void(bool)> on_state_;
    call_bucket budget_;
    call_bucket claim_budget_;
    circuit_breaker breaker_;
    boost::asio::steady_timer trial_timer_;
    std::shared_ptr<receive_budget> memory_; // for answers
    std::unique_ptr<http_client> client_;
    std::unique_ptr<http_client> watch_client_;
    bool stopped_ = false;
};

} // namespace snipemill
