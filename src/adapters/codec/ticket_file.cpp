#include "adapters/codec/config_fields.hpp"
#include "adapters/codec/config_json.hpp"
#include "adapters/codec/json_text.hpp"
#include "core/config/upstream_address.hpp"

#include <yaml-cpp/anchor.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <set>
#include <sstream>

namespace snipemill {

namespace {

constexpr std::size_t max_name_bytes = 100;
constexpr std::size_t max_text_bytes = 2000;
// yaml-cpp marks a quoted scalar with this tag.
constexpr std::string_view quoted_tag = "!";

int line_of(YAML::Mark const& mark)
{
    return mark.is_null() ? 0 : mark.line + 1;
}

// Takes the events of a document and keeps nothing.
class no_events : public YAML::EventHandler
{
public:
    using mark = YAML::Mark;
    using anchor = YAML::anchor_t;
    using style = YAML::EmitterStyle::value;

    void OnDocumentStart(mark const&) override {}
    void OnDocumentEnd() override {}
    void OnNull(mark const&, anchor) override {}
    void OnAlias(mark const&, anchor) override {}
    void OnScalar(mark const&, std::string const&, anchor,
                  std::string const&) override
    {}
    void OnSequenceStart(mark const&, std::string const&, anchor,
                         style) override
    {}
    void OnSequenceEnd() override {}
    void OnMapStart(mark const&, std::string const&, anchor, style) override {}
    void OnMapEnd() override {}
};

// Whether the text holds exactly one document. YAML::LoadAll is not used: it
// finds documents without end in a text such as ",".
bool has_one_document(std::string const& text)
{
    std::istringstream in(text);
    YAML::Parser parser(in);
    no_events events;
    return parser.HandleNextDocument(events) &&
           !parser.HandleNextDocument(events);
}

// Collects faults; the file is read to its end in any case.
struct fault_list
{
    std::vector<parse_fault> faults;

    void add(YAML::Node const& at, std::string reason)
    {
        faults.push_back({line_of(at.Mark()), std::move(reason)});
    }
};

template <class T>
bool read_whole(YAML::Node const& node, T& out)
{
    if (!node.IsScalar() || node.Tag() == quoted_tag) {
        return false;
    }
    auto const& text = node.Scalar();
    auto const* end = text.data() + text.size();
    auto const [ptr, ec] = std::from_chars(text.data(), end, out);
    return ec == std::errc() && ptr == end;
}

std::string quoted(std::string_view name)
{
    return "\"" + std::string(name) + "\"";
}

// Members of a map. Each member that is asked for counts as known; finish()
// reports the others.
class map_reader
{
public:
    map_reader(YAML::Node const& map, fault_list& faults)
        : map_(map), faults_(&faults)
    {
        for (auto const& it : map) {
            add_member(it.first, it.second);
        }
    }

    YAML::Node const* find(std::string const& name)
    {
        known_.insert(name);
        auto const it = members_.find(name);
        return it == members_.end() ? nullptr : &it->second.value;
    }

    YAML::Node const* require(std::string const& name)
    {
        auto const* node = find(name);
        if (node == nullptr) {
            faults_->add(map_, "key " + quoted(name) + " is missing");
        }
        return node;
    }

    void finish()
    {
        for (auto const& [name, it] : members_) {
            if (!known_.contains(name)) {
                faults_->add(it.key, "unknown key " + quoted(name));
            }
        }
    }

    fault_list& faults() { return *faults_; }

private:
    struct member
    {
        YAML::Node key;
        YAML::Node value;
    };

    void add_member(YAML::Node const& key, YAML::Node const& value)
    {
        if (!key.IsScalar()) {
            faults_->add(key, "a key must be a word");
        }
        else if (!members_.emplace(key.Scalar(), member{key, value}).second) {
            faults_->add(key, "duplicate key " + quoted(key.Scalar()));
        }
    }

    YAML::Node map_;
    fault_list* faults_;
    std::map<std::string, member> members_;
    std::set<std::string> known_;
};

// Reads the fields of an object and checks type and range.
class yaml_field_reader
{
public:
    explicit yaml_field_reader(map_reader& in) : in_(&in) {}

    void text(char const* name, std::string& v, text_rule rule, presence p)
    {
        auto const* node = take(name, p);
        if (node == nullptr) {
            return;
        }
        if (!node->IsScalar()) {
            fault(*node, name, "must be a text");
            return;
        }
        if (node->Scalar().empty() && p == presence::optional) {
            v.clear();
            return;
        }
        if (auto const reason = text_fault(node->Scalar(), rule)) {
            fault(*node, name, *reason);
            return;
        }
        v = node->Scalar();
    }

    template <class T>
    void count(char const* name, T& v, std::uint64_t least, presence p,
               std::uint64_t most = max_field_count)
    {
        auto const* node = take(name, p);
        if (node == nullptr) {
            return;
        }
        std::uint64_t n = 0;
        if (!read_whole(*node, n) || n < least || n > most) {
            fault(*node, name,
                  "must be a whole number from " + std::to_string(least) +
                      " to " + std::to_string(most));
            return;
        }
        v = static_cast<T>(n);
    }

    void fraction(char const* name, double& v)
    {
        auto const* node = take(name, presence::optional);
        double number = 0;
        if (node == nullptr) {
            return;
        }
        if (!read_whole(*node, number) || !(number >= 0 && number <= 1)) {
            fault(*node, name, "must be a number from 0 to 1");
            return;
        }
        v = number;
    }

    void time(char const* name, duration& v, double least_ms)
    {
        auto const* node = take(name, presence::optional);
        double ms = 0;
        if (node == nullptr) {
            return;
        }
        if (!read_whole(*node, ms) || !(ms >= least_ms && ms <= max_field_ms)) {
            fault(*node, name,
                  "must be a number of ms, at most 86400000" +
                      std::string(least_ms > 0 ? ", at least 1" : ""));
            return;
        }
        v = duration(std::llround(ms * 1000));
    }

    void flag(char const* name, bool& v)
    {
        auto const* node = take(name, presence::optional);
        if (node == nullptr) {
            return;
        }
        bool const ok = node->IsScalar() && node->Tag() != quoted_tag &&
                        (node->Scalar() == "true" || node->Scalar() == "false");
        if (!ok) {
            fault(*node, name, "must be true or false");
            return;
        }
        v = node->Scalar() == "true";
    }

    template <class Enum, std::size_t N>
    void choice(char const* name, Enum& v, name_table<Enum, N> const& names)
    {
        auto const* node = take(name, presence::optional);
        if (node == nullptr) {
            return;
        }
        auto const known =
            node->IsScalar() ? value_of(names, node->Scalar()) : std::nullopt;
        if (!known) {
            std::string all;
            for (auto const& it : names) {
                all += (all.empty() ? "" : ", ") + std::string(it.second);
            }
            fault(*node, name, "must be one of " + all);
            return;
        }
        v = *known;
    }

private:
    YAML::Node const* take(char const* name, presence p)
    {
        return p == presence::required ? in_->require(name) : in_->find(name);
    }

    void fault(YAML::Node const& at, char const* name,
               std::string const& reason)
    {
        in_->faults().add(at, quoted(name) + " " + reason);
    }

    map_reader* in_;
};

void read_object(YAML::Node const& node, fault_list& faults,
                 std::vector<config_object>& out)
{
    if (!node.IsMap()) {
        faults.add(node, "an object must be a map");
        return;
    }
    map_reader members(node, faults);
    auto const* kind_node = members.require("kind");
    if (kind_node == nullptr) {
        return;
    }
    auto const kind = kind_node->IsScalar()
                          ? value_of(object_kind_names, kind_node->Scalar())
                          : std::nullopt;
    if (!kind) {
        faults.add(*kind_node, "\"kind\" must be one of data_centre, group, "
                               "service, upstream, remove");
        return;
    }
    auto object = make_object(*kind);
    yaml_field_reader reader(members);
    std::visit([&](auto& it) { describe_fields(it, reader); }, object);
    members.finish();
    out.push_back(std::move(object));
}

void read_objects(YAML::Node const& list, fault_list& faults,
                  std::vector<config_object>& out)
{
    if (!list.IsSequence() || list.size() == 0) {
        faults.add(list, "\"objects\" must be a list with an entry");
        return;
    }
    std::set<std::string> keys;
    for (auto const& it : list) {
        auto const count = out.size();
        read_object(it, faults, out);
        if (out.size() > count && !keys.insert(object_key(out.back())).second) {
            faults.add(it, "the ticket has " + quoted(object_key(out.back())) +
                               " twice");
        }
    }
}

ticket read_ticket(YAML::Node const& root, fault_list& faults)
{
    ticket t;
    if (!root.IsMap()) {
        faults.add(root, "a ticket file must hold a map");
        return t;
    }
    map_reader members(root, faults);
    yaml_field_reader reader(members);
    reader.count("number", t.number, 1, presence::optional, UINT64_MAX);
    reader.text("author", t.author, text_rule::any, presence::required);
    reader.text("reason", t.reason, text_rule::any, presence::required);
    reader.text("nonce", t.nonce, text_rule::any, presence::optional);
    if (auto const* list = members.require("objects")) {
        read_objects(*list, faults, t.objects);
    }
    members.finish();
    return t;
}

bool name_char(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool valid_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), name_char);
}

bool valid_key(std::string_view text)
{
    auto const slash = text.find('/');
    if (slash == std::string_view::npos) {
        return false;
    }
    auto const kind = value_of(object_kind_names, text.substr(0, slash));
    return kind && *kind != object_kind::remove &&
           valid_name(text.substr(slash + 1));
}

// First line with bytes that are not UTF-8; 0 when there is none. Such bytes
// would make the stored object unreadable for every host.
int line_of_bad_utf8(std::string_view text)
{
    for (int line = 1; !text.empty(); ++line) {
        auto const n = std::min(text.find('\n'), text.size() - 1) + 1;
        if (!valid_utf8(text.substr(0, n))) {
            return line;
        }
        text.remove_prefix(n);
    }
    return 0;
}

} // namespace

std::optional<std::string> text_fault(std::string_view text, text_rule rule)
{
    if (text.empty() || text.size() > max_text_bytes) {
        return "must be a text of 1 to 2000 bytes";
    }
    if (rule == text_rule::name && !valid_name(text)) {
        return "must be 1 to 100 letters, digits, '.', '_' or '-'";
    }
    if (rule == text_rule::address && !is_upstream_address(text)) {
        return "must be an IP address and a port, for example 127.0.0.1:7200 "
               "or [::1]:7200";
    }
    if (rule == text_rule::key && !valid_key(text)) {
        return "must be a kind and a name, for example service/stores-desk-01";
    }
    return std::nullopt;
}

ticket_parse parse_ticket_file(std::string_view text)
{
    if (int const line = line_of_bad_utf8(text); line != 0) {
        return std::vector<parse_fault>{{line, "the text is not UTF-8"}};
    }
    fault_list faults;
    ticket t;
    try {
        std::string const copy(text);
        if (!has_one_document(copy)) {
            return std::vector<parse_fault>{
                {0, "a ticket file must hold one document"}};
        }
        t = read_ticket(YAML::Load(copy), faults);
    }
    catch (YAML::Exception const& e) {
        faults.faults.push_back({line_of(e.mark), e.msg});
    }
    if (faults.faults.empty()) {
        return t;
    }
    std::stable_sort(
        faults.faults.begin(), faults.faults.end(),
        [](auto const& a, auto const& b) { return a.line < b.line; });
    return faults.faults;
}

} // namespace snipemill
