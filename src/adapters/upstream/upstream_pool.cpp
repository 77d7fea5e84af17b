#include "adapters/upstream/upstream_pool.hpp"

#include "adapters/codec/upstream_json.hpp"
#include "adapters/upstream/upstream_answers.hpp"
#include "adapters/upstream/upstream_entry.hpp"
#include "adapters/upstream/upstream_job.hpp"

#include <boost/asio/post.hpp>

#include <atomic>
#include <random>
#include <unordered_map>
#include <utility>

namespace snipemill {

namespace {

// Starts at a random number, because two hosts, or a host before and after a
// restart, can send to one upstream. Below 2^53, so that programs that read
// it as a floating-point number keep it exact.
std::uint64_t next_request_id()
{
    static std::atomic<std::uint64_t> next = [] {
        std::random_device source;
        auto const high = static_cast<std::uint64_t>(source());
        return ((high << 20) | (source() & 0xfffffU)) + 1;
    }();
    return next.fetch_add(1, std::memory_order_relaxed);
}

sub_result to_sub_result(job_end const& end, upstream_counters& counters)
{
    if (auto const* const result = std::get_if<exchange_result>(&end)) {
        return read_query_result(*result, counters);
    }
    if (std::holds_alternative<job_timed_out>(end)) {
        return sub_failure{.outcome = sub_outcome::timed_out};
    }
    return sub_failure{.outcome = sub_outcome::cancelled};
}

submit_outcome not_answered(bool sent, errc reason)
{
    if (sent) {
        return submit_unknown{.reason = reason};
    }
    return submit_not_run{.reason = reason};
}

submit_outcome to_submit_outcome(job_end end, upstream_counters& counters)
{
    if (auto* const result = std::get_if<exchange_result>(&end)) {
        return read_submit_outcome(std::move(*result), counters);
    }
    if (auto const* const late = std::get_if<job_timed_out>(&end)) {
        return not_answered(late->sent, errc::deadline_exceeded);
    }
    return not_answered(std::get<job_cancelled>(end).sent, errc::cancelled);
}

} // namespace

class upstream_pool::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(boost::asio::io_context& io, upstream_pool_options const& options)
        : io_(io), options_(options),
          counters_(std::make_shared<upstream_counters>())
    {
        options_.memory =
            std::make_shared<receive_budget>(options.max_total_answer);
    }

    void configure(set_connections const& request)
    {
        remove_unused();
        auto& it = entries_[request.upstream];
        if (!it) {
            it = std::make_shared<upstream_entry>(
                io_, options_, counters_, report_loss(request.upstream));
        }
        it->configure(request);
    }

    upstream_job_ptr make_job(duration remaining)
    {
        auto it = std::make_shared<upstream_job>(io_);
        it->id = next_request_id();
        it->deadline = std::chrono::steady_clock::now() + remaining;
        return it;
    }

    void query(dispatch_query request,
               std::function<void(slot_handle, sub_result)> f)
    {
        auto const it = make_job(request.request.remaining);
        it->request = std::move(request.request);
        auto const handle = request.handle;
        it->f = [weak = weak_from_this(), handle,
                 f = std::move(f)](job_end const& end) {
            if (auto const self = weak.lock()) {
                self->jobs_.erase(handle.packed());
                f(handle, to_sub_result(end, *self->counters_));
            }
        };
        start(request.upstream, handle, it);
    }

    void submit(dispatch_submit request,
                std::function<void(slot_handle, submit_result)> f)
    {
        auto const it = make_job(request.request.remaining);
        auto const id = request.request.id;
        it->request = std::move(request.request);
        auto const handle = request.handle;
        it->f = [weak = weak_from_this(), handle, id,
                 f = std::move(f)](job_end end) {
            if (auto const self = weak.lock()) {
                self->jobs_.erase(handle.packed());
                f(handle,
                  {id, to_submit_outcome(std::move(end), *self->counters_)});
            }
        };
        start(request.upstream, handle, it);
    }

    void cancel(cancel_dispatch const& request)
    {
        auto const job = jobs_.find(request.handle.packed());
        auto const entry = entries_.find(request.upstream);
        if (job != jobs_.end() && entry != entries_.end()) {
            entry->second->cancel(job->second);
        }
    }

    void status(upstream_id upstream,
                std::function<void(upstream_id, upstream_status)> f)
    {
        auto const entry = entries_.find(upstream);
        if (entry == entries_.end()) {
            return;
        }
        entry->second->status(
            [weak = weak_from_this(), upstream,
             f = std::move(f)](http_response const& response) {
                if (weak.expired() || response.status != 200) {
                    return;
                }
                if (auto status = parse_upstream_status(response.body)) {
                    f(upstream, std::move(*status));
                }
            });
    }

    void stop()
    {
        for (auto const& [id, it] : std::exchange(entries_, {})) {
            it->stop();
        }
        // A job that is about to end is in no entry.
        for (auto const& [id, it] : std::exchange(jobs_, {})) {
            it->release();
        }
    }

    void watch_lost_connections(std::function<void(upstream_id)> f)
    {
        on_lost_ = std::move(f);
    }

    upstream_counters const& counters() const { return *counters_; }

private:
    // Posted, because an entry may notice the loss inside a call of the pool.
    std::function<void()> report_loss(upstream_id upstream)
    {
        return [this, upstream] {
            boost::asio::post(io_, [weak = weak_from_this(), upstream] {
                auto const self = weak.lock();
                if (self && self->on_lost_) {
                    self->on_lost_(upstream);
                }
            });
        };
    }

    void start(upstream_id upstream, slot_handle handle,
               upstream_job_ptr const& it)
    {
        jobs_[handle.packed()] = it;
        auto const entry = entries_.find(upstream);
        if (entry != entries_.end()) {
            entry->second->add(it);
            return;
        }
        // The upstream was never configured: no connection, nothing sent.
        boost::asio::post(io_, [it] {
            it->done = true;
            if (auto const f = std::exchange(it->f, nullptr)) {
                f(exchange_result(exchange_failed{.sent = false}));
            }
        });
    }

    void remove_unused()
    {
        std::erase_if(entries_, [](auto const& it) {
            if (!it.second->unused()) {
                return false;
            }
            it.second->stop();
            return true;
        });
    }

    boost::asio::io_context& io_;
    upstream_pool_options options_;
    std::shared_ptr<upstream_counters> counters_;
    std::unordered_map<upstream_id, std::shared_ptr<upstream_entry>> entries_;
    std::unordered_map<std::uint64_t, upstream_job_ptr> jobs_;
    std::function<void(upstream_id)> on_lost_;
};

upstream_pool::upstream_pool(boost::asio::io_context& io,
                             upstream_pool_options const& options)
    : impl_(std::make_shared<impl>(io, options))
{}

upstream_pool::~upstream_pool()
{
    impl_->stop();
}

void upstream_pool::configure(set_connections const& request)
{
    impl_->configure(request);
}

void upstream_pool::query(dispatch_query request,
                          std::function<void(slot_handle, sub_result)> f)
{
    impl_->query(std::move(request), std::move(f));
}

void upstream_pool::submit(dispatch_submit request,
                           std::function<void(slot_handle, submit_result)> f)
{
    impl_->submit(std::move(request), std::move(f));
}

void upstream_pool::cancel(cancel_dispatch const& request)
{
    impl_->cancel(request);
}

void upstream_pool::status(upstream_id upstream,
                           std::function<void(upstream_id, upstream_status)> f)
{
    impl_->status(upstream, std::move(f));
}

void upstream_pool::watch_lost_connections(std::function<void(upstream_id)> f)
{
    impl_->watch_lost_connections(std::move(f));
}

upstream_counters const& upstream_pool::counters() const
{
    return impl_->counters();
}

} // namespace snipemill
