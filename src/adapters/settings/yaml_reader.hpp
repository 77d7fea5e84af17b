#pragma once

#include "core/base/time.hpp"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace snipemill {

// A fault in a YAML file.
struct settings_fault
{
    int line = 0; // counted from 1, 0: not known
    std::string reason;

    friend bool operator==(settings_fault const&,
                           settings_fault const&) = default;
};

// Inclusive bounds of a number.
template <class T>
struct value_range
{
    T min;
    T max;
};

// Reads the members of one YAML map into variables. Every fault is added to a
// list, so that one pass over a file finds all of them. A member that is
// absent leaves its variable as it was.
class yaml_reader
{
public:
    // path names the map in reasons, for example "listen".
    yaml_reader(YAML::Node const& node, std::string path,
                std::vector<settings_fault>& faults);

    bool has(std::string const& key) const;
    void require(std::string const& key);

    void read(std::string const& key, std::string& out);
    void read(std::string const& key, bool& out);
    void read(std::string const& key, double& out, value_range<double> range);
    void read(std::string const& key, std::uint16_t& out,
              value_range<std::int64_t> range);
    void read(std::string const& key, std::uint32_t& out,
              value_range<std::int64_t> range);
    void read(std::string const& key, std::uint64_t& out,
              value_range<std::int64_t> range);
    // Reads a number of milliseconds.
    void read_ms(std::string const& key, duration& out,
                 value_range<std::int64_t> range);
    void read_ip(std::string const& key, std::string& out);

    // Calls f with a reader of the map below the key, if it is there.
    void map(std::string const& key,
             std::function<void(yaml_reader&)> const& f);
    // Calls f with a reader of each map of the list below the key.
    void list(std::string const& key,
              std::function<void(yaml_reader&)> const& f);

    // Adds a fault that concerns this map.
    void fault(std::string const& reason);
    void fault_at(std::string const& key, std::string const& reason);
    // Reports members that were not read and members that stand twice.
    void finish();

    int line() const;

private:
    YAML::Node take(std::string const& key);
    bool scalar(std::string const& key, std::string& out);
    bool integer(std::string const& key, value_range<std::int64_t> range,
                 std::int64_t& out);
    void add(YAML::Node const& at, std::string const& reason);
    std::string name(std::string const& key) const;

    YAML::Node node_;
    std::string path_;
    std::vector<settings_fault>* faults_;
    std::set<std::string> taken_;
};

// Whether the text is an IPv4 or IPv6 address.
bool is_ip_address(std::string const& text);

} // namespace snipemill
