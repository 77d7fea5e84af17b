#include "adapters/platform/platform_calls.hpp"

#include <boost/asio/post.hpp>

#include <random>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;

namespace {

// Submits come in bursts; a quarter of a second's claims may be made at once.
constexpr double claim_burst_seconds = 0.25;

// Watches at one time, each with a connection of its own.
constexpr std::size_t max_watches = 8;

http_client_options client_options(platform_client_options const& options,
                                   std::size_t connections,
                                   std::shared_ptr<byte_count> bytes,
                                   std::shared_ptr<receive_budget> memory)
{
    return {.ip = options.ip,
            .port = options.port,
            .max_connections = connections,
            .connect_timeout = options.call_timeout,
            .max_body = options.max_answer,
            .silence_limit = options.silence_limit,
            .bytes = std::move(bytes),
            .memory = std::move(memory)};
}

bool had_no_effect(unsigned status)
{
    return status == 429 || status == 503;
}

// Whether the platform answered as a working server does.
bool is_good(http_result const& result)
{
    auto const* const answer = std::get_if<http_response>(&result);
    return answer && answer->status < 500 && answer->status != 429;
}

} // namespace

platform_calls::platform_calls(asio::io_context& io,
                               platform_client_options const& options,
                               std::function<void(bool)> on_state)
    : io_(io), options_(options), on_state_(std::move(on_state)),
      budget_(options.calls_per_second, options.burst),
      claim_budget_(options.claim_calls_per_second,
                    options.claim_calls_per_second * claim_burst_seconds),
      breaker_(options.breaker_failures, options.breaker_open,
               options.breaker_max, std::random_device()()),
      trial_timer_(io),
      memory_(options.memory
                  ? options.memory
                  : std::make_shared<receive_budget>(options.max_answer)),
      client_(std::make_unique<http_client>(
          io,
          client_options(options, options.max_connections, bytes, memory_))),
      watch_client_(std::make_unique<http_client>(
          io, client_options(options, max_watches, bytes, memory_)))
{}

bool platform_calls::allowed(std::string_view key, callback const& f)
{
    if (!breaker_.closed()) {
        ++counters.not_sent_breaker;
        refuse(f);
        return false;
    }
    auto& budget = key.starts_with("claims/") ? claim_budget_ : budget_;
    if (!budget.take(call_bucket::clock::now())) {
        ++counters.not_sent_budget;
        refuse(f);
        return false;
    }
    return true;
}

void platform_calls::refuse(callback const& f)
{
    asio::post(io_, [self = shared_from_this(), f] {
        if (!self->stopped_) {
            f(platform_error::not_sent);
        }
    });
}

void platform_calls::send(http_request request, std::string_view key,
                          bool write, callback f)
{
    if (!allowed(key, f)) {
        return;
    }
    client_->send(std::move(request), options_.call_timeout,
                  [self = shared_from_this(), write,
                   f = std::move(f)](http_result result) {
                      self->on_result(write, std::move(result), f);
                  });
}

void platform_calls::send_watch(http_request request, std::string_view prefix,
                                duration timeout, callback f)
{
    if (!allowed(prefix, f)) {
        return;
    }
    watch_client_->send(
        std::move(request), timeout + options_.call_timeout,
        [self = shared_from_this(), f = std::move(f)](http_result result) {
            self->on_result(false, std::move(result), f);
        });
}

void platform_calls::on_result(bool write, http_result result,
                               callback const& f)
{
    if (stopped_) {
        return;
    }
    note(is_good(result));
    if (stopped_) {
        return;
    }
    auto* const answer = std::get_if<http_response>(&result);
    if (answer && (answer->status == 200 || answer->status == 201)) {
        f(std::move(*answer));
        return;
    }
    f(error_of(write, result));
}

platform_error platform_calls::error_of(bool write, http_result const& result)
{
    if (auto const* const answer = std::get_if<http_response>(&result)) {
        if (answer->status == 404) {
            return platform_error::not_found;
        }
        if (answer->status == 410) {
            return platform_error::history_gone;
        }
        if (answer->status == 409 || answer->status == 412) {
            return platform_error::conflict;
        }
        ++counters.failed;
        if (had_no_effect(answer->status)) {
            return platform_error::not_sent;
        }
        if (answer->status >= 400 && answer->status < 500) {
            return platform_error::refused;
        }
    }
    else {
        ++counters.failed;
        if (!std::get<http_failed>(result).sent) {
            return platform_error::not_sent;
        }
    }
    if (!write) {
        return platform_error::not_sent;
    }
    ++counters.ambiguous;
    return platform_error::ambiguous;
}

void platform_calls::note(bool good)
{
    if (good) {
        if (breaker_.succeeded()) {
            trial_timer_.cancel();
            report(true);
        }
        return;
    }
    if (breaker_.failed()) {
        schedule_trial();
        report(false);
    }
}

void platform_calls::report(bool reachable)
{
    if (on_state_) {
        on_state_(reachable);
    }
}

void platform_calls::schedule_trial()
{
    trial_timer_.expires_after(breaker_.trial_delay());
    trial_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec) {
            if (!ec && !self->stopped_ && !self->breaker_.closed()) {
                self->send_trial();
            }
        });
}

// The client makes the trial call itself: on most hosts no other call would
// come while submits are refused.
void platform_calls::send_trial()
{
    ++counters.gets;
    client_->send({.method = "GET", .target = options_.trial_target},
                  options_.call_timeout,
                  [self = shared_from_this()](http_result const& result) {
                      if (self->stopped_ || self->breaker_.closed()) {
                          return;
                      }
                      bool const good = is_good(result);
                      self->note(good);
                      if (!good) {
                          self->breaker_.trial_failed();
                          self->schedule_trial();
                      }
                  });
}

void platform_calls::stop()
{
    stopped_ = true;
    trial_timer_.cancel();
    client_.reset();
    watch_client_.reset();
}

} // namespace snipemill
