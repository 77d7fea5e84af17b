#include "fleet/store.hpp"

#include "platform/names.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace standin {

namespace json = boost::json;
namespace names = snipemill::platform::names;
using snipemill::http_request;
using snipemill::http_responder;
using snipemill::http_response;

namespace {

constexpr std::string_view root = "/v1/objects/";

// Objects in one page of a listing.
constexpr std::size_t page_size = 50;

constexpr std::size_t max_history = 10'000;

std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

} // namespace

struct store::request_path
{
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;

    bool may_be_outdated() const
    {
        auto const it = query.find("stale_ok");
        return it != query.end() && it->second == "1";
    }

    static std::optional<request_path> read(std::string_view target)
    {
        if (!target.starts_with(root)) {
            return std::nullopt;
        }
        request_path out;
        auto const query_start = target.find('?');
        auto const path = target.substr(0, query_start).substr(root.size());
        auto const slash = path.find('/');
        out.kind = path.substr(0, slash);
        if (slash != std::string_view::npos) {
            out.name = path.substr(slash + 1);
        }
        auto rest = query_start == std::string_view::npos
                        ? std::string_view()
                        : target.substr(query_start + 1);
        while (!rest.empty()) {
            auto const pair = rest.substr(0, rest.find('&'));
            auto const equals = pair.find('=');
            if (equals != std::string_view::npos) {
                out.query[std::string(pair.substr(0, equals))] =
                    pair.substr(equals + 1);
            }
            rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        }
        return out;
    }
};

store::store(boost::asio::io_context& io)
    : io_(io), server_(io, {},
                       [this](http_request const& request,
                              http_responder const& respond) {
                           return on_request(request, respond);
                       })
{}

void store::put(std::string const& kind, std::string const& name,
                json::object spec)
{
    ++revision_;
    auto const text = json::serialize(json::object{
        {"meta", json::object{{"name", name}, {"revision", revision_}}},
        {"spec", std::move(spec)}});
    objects_[kind][name] = text;
    append_event(kind, name, false, text);
}

void store::remove(std::string const& kind, std::string const& name)
{
    if (objects_[kind].erase(name) > 0) {
        ++revision_;
        append_event(kind, name, true,
                     json::serialize(
                         json::object{{"meta", json::object{{"name", name}}}}));
    }
}

bool store::has(std::string const& kind, std::string const& name) const
{
    auto const it = objects_.find(kind);
    return it != objects_.end() && it->second.contains(name);
}

void store::append_event(std::string const& kind, std::string const& name,
                         bool deleted, std::string const& object)
{
    history_.push_back({.revision = revision_,
                        .at = std::chrono::steady_clock::now(),
                        .kind = kind,
                        .name = name,
                        .deleted = deleted,
                        .object = object});
    if (history_.size() > max_history) {
        oldest_revision_ = history_.front().revision;
        history_.pop_front();
    }
    answer_watches();
    if (outdated_by_ > std::chrono::milliseconds(0)) {
        auto const timer =
            std::make_shared<boost::asio::steady_timer>(io_, outdated_by_);
        timer->async_wait([this, timer](boost::system::error_code ec) {
            if (!ec) {
                answer_watches();
            }
        });
    }
}

// Watches that wait stay open, as those of a store whose connections survive
// the restore.
void store::restore(std::chrono::steady_clock::time_point copied_at)
{
    while (!history_.empty() && history_.back().at > copied_at) {
        history_.pop_back();
    }
    revision_ = history_.empty() ? 1 : history_.back().revision;
    objects_.clear();
    for (auto const& it : history_) {
        if (it.deleted) {
            objects_[it.kind].erase(it.name);
        }
        else {
            objects_[it.kind][it.name] = it.object;
        }
    }
    ++era_;
}

http_response store::with_era(http_response answer) const
{
    if (era_ > 0) {
        answer.headers.emplace_back(names::store_era, std::to_string(era_));
    }
    return answer;
}

std::uint64_t store::visible_revision(bool may_be_outdated) const
{
    if (!may_be_outdated || outdated_by_ <= std::chrono::milliseconds(0)) {
        return revision_;
    }
    auto const limit = std::chrono::steady_clock::now() - outdated_by_;
    std::uint64_t out = 1;
    for (auto const& it : history_) {
        if (it.at <= limit) {
            out = it.revision;
        }
    }
    return out;
}

store::object_map store::objects_at(std::string const& kind,
                                    std::uint64_t revision) const
{
    auto const found = objects_.find(kind);
    if (revision == revision_ || found == objects_.end()) {
        return found == objects_.end() ? object_map() : found->second;
    }
    object_map out;
    for (auto const& it : history_) {
        if (it.kind != kind || it.revision > revision) {
            continue;
        }
        if (it.deleted) {
            out.erase(it.name);
        }
        else {
            out[it.name] = it.object;
        }
    }
    return out;
}

// Events after the revision, up to the last one that the call sees.
std::optional<std::string> store::events_since(std::string const& kind,
                                               std::uint64_t revision,
                                               std::uint64_t last) const
{
    std::string out;
    for (auto const& it : history_) {
        if (it.revision > revision && it.revision <= last && it.kind == kind) {
            out += (out.empty() ? "" : ",");
            out += R"({"object":)" + it.object + R"(,"deleted":)" +
                   (it.deleted ? "true" : "false") + "}";
        }
    }
    if (out.empty()) {
        return std::nullopt;
    }
    return R"({"events":[)" + out + R"(],"store_revision":)" +
           std::to_string(last) + "}";
}

void store::answer_watches()
{
    for (auto it = watches_.begin(); it != watches_.end();) {
        auto events = events_since(it->kind, it->revision,
                                   visible_revision(it->may_be_outdated));
        if (!events) {
            ++it;
            continue;
        }
        auto const respond = std::move(it->respond);
        it = watches_.erase(it);
        respond(with_era({.body = std::move(*events)}));
    }
}

std::function<void()> store::on_request(http_request const& request,
                                        http_responder const& respond)
{
    ++calls_;
    if (state_ == store_state::unavailable) {
        respond(with_era({.status = 503, .body = "{}"}));
        return nullptr;
    }
    auto const path = request_path::read(request.target);
    if (!path) {
        respond(with_era({.status = 404, .body = "{}"}));
        return nullptr;
    }
    current_reads_ +=
        request.method == "GET" && !path->may_be_outdated() ? 1 : 0;
    if (request.method == "GET" && path->query.contains("watch")) {
        return watch(*path, respond);
    }
    auto answer = request.method == "GET" ? list(*path) : write(request, *path);
    if (state_ == store_state::answers_lost) {
        // Never answered: the call ends by the time-out of the client.
        return [] {};
    }
    respond(with_era(std::move(answer)));
    return nullptr;
}

http_response store::list(request_path const& path) const
{
    json::array items;
    bool truncated = false;
    auto const revision = visible_revision(path.may_be_outdated());
    auto const objects = objects_at(path.kind, revision);
    auto const after = path.query.find("after");
    auto it = after == path.query.end() ? objects.begin()
                                        : objects.upper_bound(after->second);
    for (; it != objects.end(); ++it) {
        if (items.size() == page_size) {
            truncated = true;
            break;
        }
        items.push_back(json::parse(it->second));
    }
    return {.body =
                json::serialize(json::object{{"items", std::move(items)},
                                             {"truncated", truncated},
                                             {"store_revision", revision}})};
}

std::function<void()> store::watch(request_path const& path,
                                   http_responder const& respond)
{
    auto const from = parse_number(path.query.at("watch"));
    if (from < oldest_revision_ || from > revision_) {
        respond(with_era({.status = 410, .body = "{}"}));
        return nullptr;
    }
    bool const may_be_outdated = path.may_be_outdated();
    if (auto events =
            events_since(path.kind, from, visible_revision(may_be_outdated))) {
        respond(with_era({.body = std::move(*events)}));
        return nullptr;
    }
    auto const wait = path.query.find("wait_ms");
    auto const ms = std::chrono::milliseconds(
        wait == path.query.end() ? 0 : parse_number(wait->second));
    auto const it = watches_.insert(
        watches_.end(),
        {.kind = path.kind,
         .revision = from,
         .may_be_outdated = may_be_outdated,
         .respond = respond,
         .timer = std::make_unique<boost::asio::steady_timer>(io_, ms)});
    it->timer->async_wait([this, it](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        auto const reply = std::move(it->respond);
        auto const revision =
            std::max(it->revision, visible_revision(it->may_be_outdated));
        watches_.erase(it);
        reply(with_era({.body = R"({"events":[],"store_revision":)" +
                                std::to_string(revision) + "}"}));
    });
    auto const* const timer = it->timer.get();
    return [this, timer] {
        std::erase_if(watches_, [timer](waiting_watch const& w) {
            return w.timer.get() == timer;
        });
    };
}

http_response store::write(http_request const& request,
                           request_path const& path)
{
    if (request.method == "DELETE") {
        remove(path.kind, path.name);
        return {.body = "{}"};
    }
    boost::system::error_code ec;
    auto const body = json::parse(request.body, ec);
    auto const* const fields = ec ? nullptr : body.if_object();
    if (!fields) {
        return {.status = 400, .body = "{}"};
    }
    auto const name =
        path.name.empty()
            ? std::string(fields->at("meta").at("name").as_string())
            : path.name;
    bool const create = request.method == "POST";
    if (create == has(path.kind, name)) {
        return {.status = create ? 409U : 404U, .body = "{}"};
    }
    put(path.kind, name, fields->at("spec").as_object());
    return {.status = create ? 201U : 200U, .body = "{}"};
}

} // namespace standin
