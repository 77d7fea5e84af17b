#include "core/config/config_store.hpp"
#include "core/config/upstream_address.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace snipemill {

namespace {

constexpr duration max_deadline = from_ms(60'000);
constexpr duration max_connect_time = from_ms(60'000);
constexpr std::uint32_t max_slots = 65'535;
constexpr std::uint32_t max_connections = 65'535;
// A name is part of a key that is one segment of a platform URL.
constexpr std::size_t max_name_length = 200;

using object_map = std::map<std::string, config_object>;

bool is_fraction(double v)
{
    return v >= 0.0 && v <= 1.0; // false for a NaN
}

// Checks the objects of one ticket against the state that it would give.
class object_checker
{
public:
    object_checker(object_map const& before, object_map const& after,
                   std::vector<ticket_fault>& faults)
        : before_(before), after_(after), faults_(faults)
    {}

    void check(config_object const& object)
    {
        key_ = object_key(object);
        std::visit([this](auto const& o) { check_object(o); }, object);
    }

private:
    void require(bool holds, std::string reason)
    {
        if (!holds) {
            faults_.push_back({key_, std::move(reason)});
        }
    }

    void require_object(std::string const& key)
    {
        require(after_.contains(key), key + " does not exist");
    }

    void require_name(std::string const& name)
    {
        require(!name.empty(), "name is empty");
        require(name.size() <= max_name_length,
                "name is longer than 200 bytes");
        require(name.find('/') == std::string::npos, "name contains '/'");
    }

    void check_object(data_centre_object const& o) { require_name(o.name); }

    void check_object(group_object const& o)
    {
        require_name(o.name);
        require(o.deadline > duration::zero() && o.deadline <= max_deadline,
                "deadline is not above 0 and at most 60 s");
        require(is_fraction(o.min_coverage),
                "min_coverage is not between 0 and 1");
        require(is_fraction(o.hedge_quantile),
                "hedge_quantile is not between 0 and 1");
        require(is_fraction(o.hedge_budget),
                "hedge_budget is not between 0 and 1");
    }

    void check_object(service_object const& o)
    {
        require_name(o.name);
        require_object("group/" + o.group);
        require(o.slots > 0 && o.slots <= max_slots,
                "slots is not between 1 and 65535");
        require(o.connections > 0 && o.connections <= max_connections,
                "connections is not between 1 and 65535");
        require(o.connect_time >= duration::zero() &&
                    o.connect_time <= max_connect_time,
                "connect time is not between 0 and 60 s");
    }

    void check_object(upstream_object const& o)
    {
        require_name(o.name);
        require_object("service/" + o.service);
        require_object("data_centre/" + o.data_centre);
        require(is_upstream_address(o.address),
                "address \"" + o.address + "\" is not ip:port or [ip]:port");
    }

    void check_object(removed_object const& o)
    {
        require(before_.contains(o.key), "object to remove does not exist");
    }

    object_map const& before_;
    object_map const& after_;
    std::vector<ticket_fault>& faults_;
    std::string key_;
};

void check_header(config_snapshot const& state, ticket const& change,
                  std::vector<ticket_fault>& faults)
{
    if (change.number != state.number + 1) {
        faults.push_back({"", "number " + std::to_string(change.number) +
                                  " does not follow " +
                                  std::to_string(state.number)});
    }
    if (change.author.empty()) {
        faults.push_back({"", "author is empty"});
    }
    if (change.reason.empty()) {
        faults.push_back({"", "reason is empty"});
    }
    if (change.objects.empty()) {
        faults.push_back({"", "ticket changes no object"});
    }
}

void check_repeated(ticket const& change, std::vector<ticket_fault>& faults)
{
    std::set<std::string> seen;
    for (auto const& it : change.objects) {
        if (!seen.insert(object_key(it)).second) {
            faults.push_back(
                {object_key(it), "object is more than once in the ticket"});
        }
    }
}

void check_ids(object_map const& after, std::vector<ticket_fault>& faults)
{
    std::map<upstream_id, std::string> by_id;
    for (auto const& [key, object] : after) {
        auto const* upstream = std::get_if<upstream_object>(&object);
        if (upstream == nullptr) {
            continue;
        }
        auto const [it, added] = by_id.emplace(upstream->id, key);
        if (!added) {
            faults.push_back({key, "id " + std::to_string(upstream->id.value) +
                                       " is also that of " + it->second});
        }
    }
}

// Objects that the ticket leaves alone may refer to one that it removes.
void check_removals(object_map const& after, ticket const& change,
                    std::vector<ticket_fault>& faults)
{
    std::set<std::string> touched;
    std::set<std::string> removed;
    for (auto const& it : change.objects) {
        touched.insert(object_key(it));
        if (std::holds_alternative<removed_object>(it)) {
            removed.insert(object_key(it));
        }
    }
    auto const refer = [&](std::string const& from, std::string const& to) {
        if (removed.contains(to) && !after.contains(to)) {
            faults.push_back({to, from + " still refers to it"});
        }
    };
    for (auto const& [key, object] : after) {
        if (touched.contains(key)) {
            continue;
        }
        if (auto const* service = std::get_if<service_object>(&object)) {
            refer(key, "group/" + service->group);
        }
        else if (auto const* up = std::get_if<upstream_object>(&object)) {
            refer(key, "service/" + up->service);
            refer(key, "data_centre/" + up->data_centre);
        }
    }
}

} // namespace

std::vector<ticket_fault> check_ticket(config_snapshot const& state,
                                       ticket const& change)
{
    std::vector<ticket_fault> faults;
    check_header(state, change, faults);
    check_repeated(change, faults);
    auto next = state;
    apply_ticket(next, change);
    object_checker checker(state.objects, next.objects, faults);
    for (auto const& it : change.objects) {
        checker.check(it);
    }
    check_ids(next.objects, faults);
    check_removals(next.objects, change, faults);
    return faults;
}

} // namespace snipemill
