#pragma once

#include "core/base/rng.hpp"
#include "core/base/strong_id.hpp"
#include "core/base/time.hpp"
#include "core/config/config_store.hpp"
#include "core/membership/member_list.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

struct config_spread_settings
{
    std::uint32_t readers = 2; // per data centre
    duration watch_timeout = from_ms(30'000);
    duration reader_silence = from_ms(5000); // before another host takes over
    duration takeover_jitter = from_ms(2000);
    duration pull_retry = from_ms(300);
    duration platform_retry_min = from_ms(200);
    duration platform_retry_max = from_ms(10'000);
    std::uint32_t push_fanout = 3; // peers told at once of a new ticket
};

// Reads config/head, and config/state too when the head does not reach back
// to the number in force.
struct read_config
{
    std::uint64_t have = 0;
};

// Waits until config/head changes after this revision.
struct watch_config
{
    std::uint64_t after_revision = 0;
    duration timeout{};
};

struct pull_config
{
    host_id from;
    std::uint64_t have = 0;
};

// Tells a peer the number in force, so that it pulls.
struct announce_config
{
    host_id to;
    std::uint64_t number = 0;
};

// The number in force grew: a new topology has to be published.
struct config_adopted
{
    std::uint64_t number = 0;
};

// Whether the host has a configuration that it may serve with changed.
struct config_ready
{
    bool ready = false;
};

using spread_action =
    std::variant<read_config, watch_config, pull_config, announce_config,
                 config_adopted, config_ready>;
using spread_actions = std::vector<spread_action>;

// Result of read_config.
struct config_read
{
    std::uint64_t revision = 0; // of the store
    config_head head;
    std::optional<config_snapshot> state;
};

// Brings accepted tickets to this host: as a reader from the platform, else
// from peers. It performs no I/O.
class config_spread
{
public:
    config_spread(config_spread_settings const& settings, member_info self,
                  std::uint64_t seed);
    ~config_spread();
    config_spread(config_spread const&) = delete;
    config_spread& operator=(config_spread const&) = delete;

    void start(time_point now, std::vector<member_seed> local_seeds,
               spread_actions& out);
    void on_members(time_point now, std::vector<member_info> const& members,
                    spread_actions& out);
    // A peer has this ticket number in force.
    void on_peer_number(time_point now, host_id const& peer,
                        std::uint64_t number, spread_actions& out);
    // A peer announced its number of its own accord. Readers do so to the
    // hosts next in rank while the platform confirms their configuration.
    void on_announced(time_point now, host_id const& peer, std::uint64_t number,
                      spread_actions& out);
    void on_push(time_point now, host_id const& from, config_push push,
                 spread_actions& out);
    void on_pull_failed(time_point now, host_id const& from,
                        spread_actions& out);
    void on_read(time_point now, config_read read, spread_actions& out);
    void on_platform_failed(time_point now, spread_actions& out);
    // The watch ended: changed tells whether the head has changed.
    void on_watch(time_point now, bool changed, std::uint64_t revision,
                  spread_actions& out);
    void on_timer(time_point now, spread_actions& out);

    // What to answer to a pull; no value while this host is not ready, because
    // its answer must not count for another starting host.
    std::optional<config_push> answer(std::uint64_t have) const;

    time_point next_timer() const;
    config_store const& store() const;
    bool ready() const;
    bool reader() const;
    // When the platform last confirmed the configuration, directly or through
    // a reader.
    time_point confirmed_at() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace snipemill
