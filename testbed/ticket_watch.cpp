#include "testbed/ticket_watch.hpp"

#include "testbed/fleet.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>

namespace testbed {

namespace {

constexpr auto poll_interval = std::chrono::milliseconds(25);

} // namespace

ticket_watch::ticket_watch(std::vector<std::uint16_t> const& operator_ports)
    : hosts_(operator_ports.size())
{
    for (std::size_t i = 0; i < operator_ports.size(); ++i) {
        auto const port = operator_ports[i];
        threads_.emplace_back([this, i, port] { poll(i, port); });
    }
}

ticket_watch::~ticket_watch()
{
    stopped_ = true;
    for (auto& it : threads_) {
        it.join();
    }
}

void ticket_watch::poll(std::size_t i, std::uint16_t port)
{
    while (!stopped_) {
        auto const body = http_request_body(port, "GET", "/v1/status");
        boost::system::error_code ec;
        auto const value =
            body ? boost::json::parse(*body, ec) : boost::json::value();
        if (value.is_object()) {
            auto const& status = value.get_object();
            note(i,
                 status.at("config")
                     .as_object()
                     .at("number")
                     .to_number<std::uint64_t>(),
                 status.at("ready").as_bool());
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

void ticket_watch::note(std::size_t i, std::uint64_t number, bool ready)
{
    std::lock_guard const lock(mutex_);
    ++answers_;
    auto& host = hosts_[i];
    auto const starting = number == 0 && !ready;
    if (number < host.highest && !starting) {
        ++reverts_;
    }
    host.highest = std::max(host.highest, number);
    host.first_seen.try_emplace(number, clock::now());
}

std::uint64_t ticket_watch::reverts() const
{
    std::lock_guard const lock(mutex_);
    return reverts_;
}

std::uint64_t ticket_watch::answers() const
{
    std::lock_guard const lock(mutex_);
    return answers_;
}

std::optional<ticket_watch::clock::time_point>
ticket_watch::in_force_at(std::uint64_t number) const
{
    std::lock_guard const lock(mutex_);
    clock::time_point last{};
    for (auto const& host : hosts_) {
        auto const it = host.first_seen.lower_bound(number);
        if (it == host.first_seen.end()) {
            return std::nullopt;
        }
        auto const first = std::min_element(
            it, host.first_seen.end(),
            [](auto const& a, auto const& b) { return a.second < b.second; });
        last = std::max(last, first->second);
    }
    return last;
}

} // namespace testbed
