#pragma once

#include "adapters/peer/peer_link.hpp"
#include "adapters/settings/forward_settings.hpp"
#include "app/forward/forward_snapshot.hpp"
#include "app/forward/run_table.hpp"
#include "core/forward/relay_call.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace snipemill {

// Runs fan-out queries for other hosts, on the traffic thread.
class relay_service
{
public:
    // Makes a direct run of a query.
    using run_factory = std::function<run_ptr(request_run::options)>;

    relay_service(boost::asio::io_context& io, listen_address const& address,
                  run_table& runs, run_factory make,
                  std::shared_ptr<receive_budget> memory = nullptr);
    relay_service(relay_service const&) = delete;
    relay_service& operator=(relay_service const&) = delete;

    void set_manifest(std::shared_ptr<indexed_manifest const> current);
    // Refuses queries that arrive after this call.
    void start_draining() { draining_ = true; }
    // Probes and queries are refused while this host is cut off.
    void set_cut_off(bool cut_off) { cut_off_ = cut_off; }
    void stop_accepting() { server_.drain(); }
    std::size_t open() const { return server_.open_streams(); }

private:
    struct served_query;

    void on_request(peer_request request);
    void accept(std::shared_ptr<served_query> const& it);
    void begin(std::shared_ptr<served_query> const& it);
    // The manifest that has the query's route, or null.
    std::shared_ptr<indexed_manifest const>
    find_manifest(relay_query const& query) const;

    boost::asio::io_context& io_;
    run_table& runs_;
    run_factory run_factory_;
    std::shared_ptr<indexed_manifest const> current_;
    std::shared_ptr<indexed_manifest const> previous_;
    time_point adopted_at_{};
    bool draining_ = false;
    bool cut_off_ = false;
    peer_server server_;
};

} // namespace snipemill
