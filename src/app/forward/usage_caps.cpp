#include "app/forward/usage_caps.hpp"

#include "adapters/logging/logger.hpp"
#include "app/core_time.hpp"

#include <random>
#include <utility>

namespace snipemill {

namespace {

// Lines about refused requests and take-overs in a second. The line of each
// request names the reason too.
constexpr std::uint32_t max_lines = 50;

std::string ms_text(duration d)
{
    return std::to_string(d / from_ms(1));
}

} // namespace

usage_caps::usage_caps(boost::asio::io_context& io, options o)
    : options_(std::move(o)), run_(std::random_device()()),
      // Another run than the client's: their messages have numbers of their
      // own.
      owner_(
          {.host = options_.host,
           .run = ~run_,
           .tolerance = options_.tolerance},
          [this](fleet_host const& to, cap_request const& request) {
              if (send_) {
                  send_(to, request);
              }
          },
          [this](std::string const& account, std::string const& owner,
                 bool begins) { on_takeover(account, owner, begins); }),
      client_(
          {.host = options_.host, .run = run_, .tolerance = options_.tolerance},
          [this](fleet_host const& to, cap_request const& request) {
              send(to, request);
          }),
      timer_(io)
{}

void usage_caps::apply_snapshot(forward_snapshot const& snapshot)
{
    owner_.set_listed_until(snapshot.listed_until);
    bool const same = manifest_ == snapshot.current && hosts_ == snapshot.hosts;
    if (same || !snapshot.current || !snapshot.current->state->accounts) {
        return;
    }
    manifest_ = snapshot.current;
    hosts_ = snapshot.hosts;
    cap_plan plan(hosts_, options_.data_centre, *manifest_->state->accounts);
    owner_.set_plan(plan, core_now());
    client_.set_plan(std::move(plan));
}

std::uint64_t usage_caps::admit(client_account const& account,
                                std::string const& id, time_point end,
                                cap_client::decide_callback f)
{
    auto const number = client_.admit(
        account.name, end, core_now(),
        [this, &account, id, f = std::move(f)](cap_decision const& decision) {
            record(account, id, decision);
            f(decision);
        });
    arm_timer();
    return number;
}

void usage_caps::cancel(client_account const& account, std::uint64_t number)
{
    client_.cancel(account.name, number);
}

cap_grant usage_caps::on_request(cap_request const& request)
{
    return owner_.respond(request, core_now());
}

void usage_caps::on_grant(cap_grant const& grant)
{
    if (grant.outcome == cap_outcome::contact) {
        owner_.on_contact(grant, core_now());
        return;
    }
    client_.on_grant(grant, core_now());
    arm_timer();
}

void usage_caps::send(fleet_host const& to, cap_request const& request)
{
    if (to.name == options_.host) {
        auto const now = core_now();
        client_.on_grant(owner_.respond(request, now), now);
        return;
    }
    if (send_) {
        send_(to, request);
    }
}

void usage_caps::on_takeover(std::string const& account,
                             std::string const& owner, bool begins)
{
    if (may_log()) {
        log_info(begins ? "usage_cap_takeover_began"
                        : "usage_cap_takeover_ended",
                 {{"account", account}, {"owner", owner}});
    }
}

bool usage_caps::may_log()
{
    auto const now = core_now();
    if (now >= log_second_ + from_ms(1000)) {
        log_second_ = now;
        lines_in_second_ = 0;
    }
    if (lines_in_second_ >= max_lines) {
        ++lines_left_out_;
        return false;
    }
    ++lines_in_second_;
    return true;
}

void usage_caps::record(client_account const& account, std::string const& id,
                        cap_decision const& decision)
{
    if (decision.admitted()) {
        ++admitted_;
        options_.metrics->capped_request(account.name, "admitted");
        return;
    }
    ++(decision.over_cap() ? refused_ : ungranted_);
    options_.metrics->capped_request(
        account.name, decision.over_cap() ? "refused" : "ungranted");
    if (may_log()) {
        log_info("usage_cap_refused",
                 {{"id", id},
                  {"account", account.name},
                  {"rate", std::to_string(account.cap.rate)},
                  {"burst", std::to_string(account.cap.burst)},
                  {"reason", name_of(cap_reason_names, decision.reason)},
                  {"owner", decision.owner},
                  {"basis_ms", ms_text(decision.basis_age)},
                  {"retry_after_ms", ms_text(decision.retry_after)}});
    }
}

// The timer is not cancelled when a grant arrives: cancelling costs as much as
// one expiry, and a later request mostly needs it again.
void usage_caps::arm_timer()
{
    auto const at = client_.next_timer();
    if (!at || timer_at_ <= *at) {
        return;
    }
    timer_at_ = *at;
    timer_.expires_at(to_steady(*at));
    timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            timer_at_ = time_point::max();
            client_.on_timer(core_now());
            arm_timer();
        }
    });
}

void usage_caps::report() const
{
    auto& metrics = *options_.metrics;
    metrics.set_counter("usage_caps_admitted", admitted_);
    metrics.set_counter("usage_caps_refused", refused_);
    metrics.set_counter("usage_caps_ungranted", ungranted_);
    metrics.set_counter("cap_requests_sent", client_.requests_sent());
    metrics.set_counter("cap_granted_as_owner", owner_.granted_as_owner());
    metrics.set_counter("cap_granted_as_deputy", owner_.granted_as_deputy());
    metrics.set_counter("cap_granted_in_takeover",
                        owner_.granted_in_takeover());
    metrics.set_counter("cap_contacts_sent", owner_.contacts_sent());
    metrics.set_counter("cap_lines_left_out", lines_left_out_);
    metrics.set_gauge("cap_requests_waiting",
                      static_cast<double>(client_.waiting()));
}

} // namespace snipemill
