#include "adapters/settings/yaml_reader.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <utility>

namespace snipemill {

bool is_ip_address(std::string const& text)
{
    boost::system::error_code ec;
    boost::asio::ip::make_address(text, ec);
    return !ec;
}

yaml_reader::yaml_reader(YAML::Node const& node, std::string path,
                         std::vector<settings_fault>& faults)
    : node_(node), path_(std::move(path)), faults_(&faults)
{
    if (!node_.IsMap() && !node_.IsNull()) {
        add(node_, (path_.empty() ? "the file" : path_) + " must be a map");
        node_ = YAML::Node(YAML::NodeType::Map);
    }
}

int yaml_reader::line() const
{
    return node_.Mark().line + 1;
}

std::string yaml_reader::name(std::string const& key) const
{
    return path_.empty() ? key : path_ + "." + key;
}

void yaml_reader::add(YAML::Node const& at, std::string const& reason)
{
    faults_->push_back({at.Mark().line + 1, reason});
}

void yaml_reader::fault(std::string const& reason)
{
    add(node_, reason);
}

void yaml_reader::fault_at(std::string const& key, std::string const& reason)
{
    auto const at = take(key);
    add(at.IsDefined() ? at : node_, name(key) + " " + reason);
}

YAML::Node yaml_reader::take(std::string const& key)
{
    taken_.insert(key);
    YAML::Node const& map = node_;
    YAML::Node found = map[key];
    return found;
}

bool yaml_reader::has(std::string const& key) const
{
    YAML::Node const& map = node_;
    return map[key].IsDefined();
}

void yaml_reader::require(std::string const& key)
{
    if (!has(key)) {
        add(node_, name(key) + " is missing");
    }
}

bool yaml_reader::scalar(std::string const& key, std::string& out)
{
    auto const at = take(key);
    if (!at.IsDefined()) {
        return false;
    }
    if (!at.IsScalar()) {
        add(at, name(key) + " must be a single value");
        return false;
    }
    out = at.Scalar();
    return true;
}

void yaml_reader::read(std::string const& key, std::string& out)
{
    std::string text;
    if (!scalar(key, text)) {
        return;
    }
    if (text.empty()) {
        fault_at(key, "must not be empty");
        return;
    }
    out = std::move(text);
}

void yaml_reader::read(std::string const& key, bool& out)
{
    std::string text;
    if (!scalar(key, text)) {
        return;
    }
    if (text != "true" && text != "false") {
        fault_at(key, "must be true or false, not '" + text + "'");
        return;
    }
    out = text == "true";
}

void yaml_reader::read(std::string const& key, double& out,
                       value_range<double> range)
{
    std::string text;
    if (!scalar(key, text)) {
        return;
    }
    double value = 0;
    auto const [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
        fault_at(key, "must be a number, not '" + text + "'");
        return;
    }
    if (!(value >= range.min && value <= range.max)) {
        fault_at(key, "must be from " + std::to_string(range.min) + " to " +
                          std::to_string(range.max));
        return;
    }
    out = value;
}

bool yaml_reader::integer(std::string const& key,
                          value_range<std::int64_t> range, std::int64_t& out)
{
    std::string text;
    if (!scalar(key, text)) {
        return false;
    }
    auto const [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc() || end != text.data() + text.size()) {
        fault_at(key, "must be a whole number, not '" + text + "'");
        return false;
    }
    if (out < range.min || out > range.max) {
        fault_at(key, "must be from " + std::to_string(range.min) + " to " +
                          std::to_string(range.max) + ", not " + text);
        return false;
    }
    return true;
}

void yaml_reader::read(std::string const& key, std::uint16_t& out,
                       value_range<std::int64_t> range)
{
    std::int64_t n = 0;
    if (integer(key, range, n)) {
        out = static_cast<std::uint16_t>(n);
    }
}

void yaml_reader::read(std::string const& key, std::uint32_t& out,
                       value_range<std::int64_t> range)
{
    std::int64_t n = 0;
    if (integer(key, range, n)) {
        out = static_cast<std::uint32_t>(n);
    }
}

void yaml_reader::read(std::string const& key, std::uint64_t& out,
                       value_range<std::int64_t> range)
{
    std::int64_t n = 0;
    if (integer(key, range, n)) {
        out = static_cast<std::uint64_t>(n);
    }
}

void yaml_reader::read_ms(std::string const& key, duration& out,
                          value_range<std::int64_t> range)
{
    std::int64_t n = 0;
    if (integer(key, range, n)) {
        out = from_ms(n);
    }
}

void yaml_reader::read_ip(std::string const& key, std::string& out)
{
    std::string text;
    if (!scalar(key, text)) {
        return;
    }
    if (!is_ip_address(text)) {
        fault_at(key, "must be an IP address, not '" + text + "'");
        return;
    }
    out = std::move(text);
}

void yaml_reader::map(std::string const& key,
                      std::function<void(yaml_reader&)> const& f)
{
    auto const at = take(key);
    if (!at.IsDefined()) {
        return;
    }
    yaml_reader below(at, name(key), *faults_);
    f(below);
    below.finish();
}

void yaml_reader::list(std::string const& key,
                       std::function<void(yaml_reader&)> const& f)
{
    auto const at = take(key);
    if (!at.IsDefined()) {
        return;
    }
    if (at.IsNull()) {
        return; // "key:" without entries
    }
    if (!at.IsSequence()) {
        add(at, name(key) + " must be a list");
        return;
    }
    std::size_t n = 0;
    for (auto const& it : at) {
        yaml_reader below(it, name(key) + "[" + std::to_string(n) + "]",
                          *faults_);
        f(below);
        below.finish();
        ++n;
    }
}

void yaml_reader::finish()
{
    std::set<std::string> seen;
    for (auto const& it : node_) {
        auto const key = it.first.IsScalar() ? it.first.Scalar() : "";
        if (!seen.insert(key).second) {
            add(it.first, name(key) + " stands twice");
        }
        else if (!taken_.contains(key)) {
            add(it.first, name(key) + " is not a known setting");
        }
    }
}

} // namespace snipemill
