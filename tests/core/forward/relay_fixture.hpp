#pragma once

#include "core/forward/relay_pool.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snipemill::test {

// Relays whose events are sent by the test.
class scripted_relays : public relay_port
{
public:
    struct call : relay_call
    {
        void cancel() override { cancelled = true; }

        std::string to;
        relay_query query;
        std::function<void(relay_event)> on_event;
        bool cancelled = false;
    };

    std::shared_ptr<relay_call> run(fleet_host const& to,
                                    relay_query const& query,
                                    std::function<void(relay_event)> f) override
    {
        auto const it = std::make_shared<call>();
        it->to = to.name;
        it->query = query;
        it->on_event = std::move(f);
        runs.push_back(it);
        return it;
    }
    std::shared_ptr<relay_call>
    probe(fleet_host const& to, std::function<void(relay_event)> f) override
    {
        auto const it = std::make_shared<call>();
        it->to = to.name;
        it->on_event = std::move(f);
        probes.push_back(it);
        return it;
    }
    void answer_probes(relay_event const& event = relay_accepted{})
    {
        for (auto const& it : std::exchange(probes, {})) {
            if (!it->cancelled) {
                it->on_event(event);
            }
        }
    }

    std::vector<std::shared_ptr<call>> runs;
    std::vector<std::shared_ptr<call>> probes;
};

// Two relays in the host's data centre "a" and one in "b".
inline std::vector<fleet_host> three_relays()
{
    std::vector<fleet_host> out;
    for (auto const* const name : {"a0", "a1", "b0"}) {
        out.push_back({.name = name,
                       .data_centre = std::string(name, 1),
                       .ip = "192.0.2.1",
                       .relay_port = 7,
                       .cores = 0.5});
    }
    return out;
}

struct relay_pool_fixture
{
    void probe()
    {
        pool.probe(now);
        port.answer_probes();
    }
    std::string choose()
    {
        auto const it = pool.choose({});
        return it ? it->host.name : "none";
    }

    time_point now{from_ms(100'000)};
    scripted_relays port;
    int state_changes = 0;
    relay_pool pool{{.data_centre = "a"}, port, 1, [this](auto const&) {
                        ++state_changes;
                    }};
};

} // namespace snipemill::test
