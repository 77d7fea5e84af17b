#pragma once

#include "adapters/http/client_connection.hpp"
#include "core/owner/owner_engine.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

namespace snipemill {

// The deadline passed before an answer. sent: a byte may have left.
struct job_timed_out
{
    bool sent = false;
};

// Cancelled, and no answer was received.
struct job_cancelled
{
    bool sent = false;
};

using job_end = std::variant<exchange_result, job_timed_out, job_cancelled>;

// A request to an upstream, waiting or sent.
struct upstream_job
{
    explicit upstream_job(boost::asio::io_context& io) : grace(io) {}

    // Ends the job without calling f. The wait of its timer holds the job
    // until the io_context runs again, so that f is released here.
    void release()
    {
        done = true;
        grace.cancel();
        connection = nullptr;
        f = nullptr;
    }

    std::variant<sub_request, submit_forward> request;
    std::function<void(job_end)> f; // called once
    std::uint64_t id = 0;           // X-Request-Id
    std::chrono::steady_clock::time_point deadline;
    boost::asio::steady_timer grace;               // after a cancel
    std::shared_ptr<client_connection> connection; // while it is sent
    std::uint32_t attempts = 0; // connections that took no byte
    bool cancelling = false;
    bool given_up = false; // its connection was closed after cancel_grace
    bool done = false;
};

using upstream_job_ptr = std::shared_ptr<upstream_job>;

} // namespace snipemill
