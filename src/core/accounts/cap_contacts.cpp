#include "core/accounts/cap_contacts.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace snipemill {

namespace {

constexpr duration contact_interval = from_ms(300);

// Answers to older messages come too late to count.
constexpr std::size_t max_unanswered = 4;

} // namespace

void cap_contacts::set_deputies(std::vector<cap_deputy> deputies)
{
    std::vector<entry> next;
    for (auto& it : deputies) {
        auto const same = std::find_if(
            entries_.begin(), entries_.end(), [&](entry const& before) {
                return before.deputy.host.name == it.host.name;
            });
        auto& out = next.emplace_back();
        if (same != entries_.end()) {
            out = std::move(*same);
        }
        out.deputy = std::move(it);
    }
    entries_ = std::move(next);
}

void cap_contacts::count_demand(std::uint32_t n, time_point now)
{
    demand_ = demand(now) + n;
    counted_ = now;
}

double cap_contacts::demand(time_point now) const
{
    return demand_ *
           std::exp(-std::chrono::duration<double>(now - counted_).count());
}

void cap_contacts::send_due(time_point now, send_callback const& send)
{
    if (now < next_) {
        return;
    }
    next_ = now + contact_interval;
    for (auto& it : entries_) {
        if (it.unanswered.size() >= max_unanswered) {
            it.unanswered.erase(it.unanswered.begin());
        }
        it.unanswered.push_back({.number = send(it.deputy.host), .sent = now});
    }
}

bool cap_contacts::on_answer(std::string const& host, std::uint64_t number)
{
    for (auto& it : entries_) {
        if (it.deputy.host.name != host) {
            continue;
        }
        auto const answered =
            std::find_if(it.unanswered.begin(), it.unanswered.end(),
                         [&](message const& m) { return m.number == number; });
        if (answered == it.unanswered.end()) {
            return false;
        }
        it.reached = answered->sent;
        it.unanswered.erase(it.unanswered.begin(), std::next(answered));
        return true;
    }
    return false;
}

double cap_contacts::unreached(duration valid, time_point now) const
{
    double out = 0;
    for (auto const& it : entries_) {
        if (!it.reached || now >= *it.reached + valid) {
            out += it.deputy.share;
        }
    }
    return out;
}

} // namespace snipemill
