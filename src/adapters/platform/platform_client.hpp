#pragma once

#include "adapters/net/byte_count.hpp"
#include "adapters/net/receive_budget.hpp"
#include "ports/platform_port.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipemill {

struct platform_client_options
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    duration call_timeout = from_ms(2000);
    double calls_per_second = 20; // budget of this host, without claims
    double claim_calls_per_second = 400;
    std::uint32_t burst = 20;
    std::uint32_t breaker_failures = 5;    // in a row, opens the breaker
    duration breaker_open = from_ms(1000); // first time; doubles
    duration breaker_max = from_ms(10'000);
    std::size_t max_connections = 8;
    // Call that shows whether the platform works again; any answer below 500
    // does, also 404.
    std::string trial_target = "/objects/config%2Fhead";
    // Peers that do not acknowledge for this long count as lost; 0: the
    // system's default.
    duration silence_limit{};
    // Of one answer, and of all that are being received. Answers hold values of
    // up to 1 MB each; a listing holds several.
    std::size_t max_answer = 64 * 1024 * 1024; // bytes
    std::shared_ptr<receive_budget> memory; // for them; null: one of that size
};

struct platform_counters
{
    std::uint64_t gets = 0;
    std::uint64_t puts = 0;
    std::uint64_t removes = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t host_lists = 0;
    std::uint64_t failed = 0;
    std::uint64_t ambiguous = 0;
    std::uint64_t not_sent_budget = 0;
    std::uint64_t not_sent_breaker = 0;
};

// Client of the platform's object API with a call budget, a circuit breaker
// and a counter for each kind of call. Keys below "claims/" have a budget of
// their own, so that submits do not delay the configuration.
class platform_client : public platform_port
{
public:
    platform_client(boost::asio::io_context& io,
                    platform_client_options const& options,
                    std::function<void(bool reachable)> on_state);
    ~platform_client() override;
    platform_client(platform_client const&) = delete;
    platform_client& operator=(platform_client const&) = delete;

    void get(std::string key, platform_callback<platform_object> f) override;
    void put(std::string key, std::string value, std::uint64_t if_version,
             platform_callback<platform_object> f) override;
    void remove(std::string key, std::uint64_t if_version,
                platform_callback<platform_object> f) override;
    void list(std::string prefix,
              platform_callback<platform_listing> f) override;
    void watch(std::string prefix, std::uint64_t after_revision,
               duration timeout,
               platform_callback<platform_listing> f) override;
    void hosts(platform_callback<std::vector<platform_host>> f) override;

    bool reachable() const;
    platform_counters const& counters() const;
    // Of all calls, claims among them.
    byte_count const& bytes() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace snipemill
