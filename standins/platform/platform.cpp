#include "platform/platform.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace standin {

namespace {

using std::chrono::steady_clock;

// A longer value gets 413. The server reads up to twice as much, so that the
// caller can finish sending and sees the answer.
constexpr std::size_t max_value_bytes = 1024 * 1024;

std::optional<std::uint64_t> whole(std::string const& text)
{
    std::uint64_t n = 0;
    auto const* end = text.data() + text.size();
    auto const [ptr, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || ptr != end) {
        return std::nullopt;
    }
    return n;
}

// Version that the call asks for: 0 for "must not exist", no value when the
// condition is missing or malformed.
std::optional<std::uint64_t> condition(exchange const& e)
{
    if (e.header("if-none-match") == "*") {
        return 0;
    }
    auto const version = whole(e.header("if-match"));
    return version && *version > 0 ? version : std::nullopt;
}

std::string kind_of(exchange const& e)
{
    if (e.path == std::vector<std::string>{"hosts"}) {
        return "hosts";
    }
    if (e.path == std::vector<std::string>{"watch"}) {
        return "watch";
    }
    if (e.path == std::vector<std::string>{"objects"}) {
        return "list";
    }
    bool const keyed = e.path.size() == 2 && e.path.front() == "objects";
    if (keyed && e.method == "GET") {
        return "get";
    }
    if (keyed && (e.method == "PUT" || e.method == "DELETE")) {
        return e.method == "PUT" ? "put" : "delete";
    }
    return "unknown";
}

bool is_write(std::string const& kind)
{
    return kind == "put" || kind == "delete";
}

} // namespace

rate_limit::rate_limit(double per_second)
    : per_second_(per_second), tokens_(per_second), at_(steady_clock::now())
{}

bool rate_limit::take()
{
    if (per_second_ <= 0) {
        return true;
    }
    auto const now = steady_clock::now();
    std::chrono::duration<double> const passed = now - at_;
    at_ = now;
    tokens_ = std::min(per_second_, tokens_ + passed.count() * per_second_);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

platform::platform(boost::asio::io_context& io, platform_options const& options)
    : io_(io), writes_(options.writes_per_s), reads_(options.reads_per_s),
      server_(io, {.port = options.port, .max_body = 2 * max_value_bytes},
              [this](exchange_ptr const& e) { on_request(e); })
{}

void platform::on_request(exchange_ptr const& e)
{
    if (!e->path.empty() && e->path.front() == "control") {
        on_control(e);
        return;
    }
    ++calls_[kind_of(*e)];
    if (!admitted(e)) {
        return;
    }
    if (delay_.count() == 0) {
        serve(e);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay_);
    timer->async_wait([this, e, timer](boost::system::error_code) {
        if (down_) {
            e->drop();
        }
        else {
            serve(e);
        }
    });
}

bool platform::admitted(exchange_ptr const& e)
{
    if (down_) {
        ++calls_["dropped"];
        e->drop();
        return false;
    }
    if (refuse_) {
        ++calls_["refused"];
        e->reply({.status = 503});
        return false;
    }
    auto& limit = is_write(kind_of(*e)) ? writes_ : reads_;
    if (!limit.take()) {
        ++calls_["limited"];
        e->reply({.status = 429});
        return false;
    }
    return true;
}

void platform::serve(exchange_ptr const& e)
{
    auto const kind = kind_of(*e);
    if (kind == "get") {
        get(*e);
    }
    else if (is_write(kind)) {
        write(*e);
    }
    else if (kind == "list") {
        std::size_t count = 0;
        e->reply({.body = store_.list(e->param("prefix"), 0, count)});
    }
    else if (kind == "watch") {
        watch(e);
    }
    else if (kind == "hosts") {
        e->reply({.body = hosts_});
    }
    else {
        e->reply({.status = 404});
    }
}

void platform::get(exchange& e)
{
    auto const* found = store_.find(e.path[1]);
    if (found == nullptr) {
        e.reply({.status = 404});
        return;
    }
    e.reply({.body = write_object(e.path[1], *found, true)});
}

void platform::write(exchange& e)
{
    auto const& key = e.path[1];
    auto const version = condition(e);
    if (e.body.size() > max_value_bytes) {
        e.reply({.status = 413});
        return;
    }
    if (!version || (e.method == "DELETE" && *version == 0)) {
        e.reply({.status = 400, .body = R"({"error":"condition missing"})"});
        return;
    }
    if (e.method == "PUT") {
        answer_write(e, key, store_.put(key, e.body, *version));
        return;
    }
    auto const* old = store_.find(key);
    auto const removed = old == nullptr ? object{} : *old;
    auto const out = store_.remove(key, *version);
    if (out != store_outcome::done || lose_answers_ > 0) {
        answer_write(e, key, out);
        return;
    }
    e.reply({.body = write_object(key, removed, false)});
}

void platform::answer_write(exchange& e, std::string const& key,
                            store_outcome out)
{
    if (out == store_outcome::missing) {
        e.reply({.status = 404});
        return;
    }
    if (out == store_outcome::mismatch) {
        e.reply({.status = 412,
                 .body = write_object(key, *store_.find(key), true)});
        return;
    }
    wake_watches();
    if (lose_answers_ > 0) {
        --lose_answers_;
        ++calls_["lost"];
        e.drop();
        return;
    }
    e.reply({.body = write_object(key, *store_.find(key), false)});
}

void platform::watch(exchange_ptr const& e)
{
    auto const after = whole(e->param("after")).value_or(0);
    auto const timeout = whole(e->param("timeout_ms")).value_or(0);
    std::size_t count = 0;
    auto body = store_.list(e->param("prefix"), after, count);
    if (count > 0 || timeout == 0) {
        e->reply({.body = std::move(body)});
        return;
    }
    auto const it =
        watches_.insert(watches_.end(), {e, e->param("prefix"), after,
                                         boost::asio::steady_timer(io_)});
    it->timer.expires_after(std::chrono::milliseconds(timeout));
    it->timer.async_wait([this, it](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        it->request->reply({.body = R"({"revision":)" +
                                    std::to_string(store_.revision()) +
                                    R"(,"objects":[]})"});
        watches_.erase(it);
    });
}

void platform::wake_watches()
{
    for (auto it = watches_.begin(); it != watches_.end();) {
        std::size_t count = 0;
        auto body = store_.list(it->prefix, it->after, count);
        // A timer that has expired already answers by itself.
        if (count == 0 || it->timer.cancel() == 0) {
            ++it;
            continue;
        }
        it->request->reply({.body = std::move(body)});
        it = watches_.erase(it);
    }
}

void platform::on_control(exchange_ptr const& e)
{
    std::string const what = e->path.size() == 2 ? e->path[1] : "";
    if (e->method == "GET" && what == "counters") {
        e->reply({.body = counters()});
        return;
    }
    boost::system::error_code ec;
    auto const v = boost::json::parse(e->body, ec);
    if (ec || !v.is_object()) {
        e->reply({.status = 400});
        return;
    }
    if (e->method == "PUT" && what == "hosts") {
        set_hosts(e->body);
    }
    else if (e->method == "POST" && what.empty()) {
        set_faults(v.get_object());
    }
    else {
        e->reply({.status = 404});
        return;
    }
    e->reply({.body = "{}"});
}

void platform::set_faults(boost::json::object const& o)
{
    auto const flag = [&](char const* name, bool& out) {
        auto const* it = o.if_contains(name);
        out = it != nullptr && it->is_bool() ? it->get_bool() : out;
    };
    auto const number = [&](char const* name, std::uint64_t old) {
        auto const* it = o.if_contains(name);
        return it != nullptr && it->is_int64()
                   ? static_cast<std::uint64_t>(it->get_int64())
                   : old;
    };
    flag("down", down_);
    flag("refuse", refuse_);
    lose_answers_ = number("lose_answers", lose_answers_);
    delay_ = std::chrono::milliseconds(
        number("delay_ms", static_cast<std::uint64_t>(delay_.count())));
    hosts_lag_ = std::chrono::milliseconds(
        number("hosts_lag_ms", static_cast<std::uint64_t>(hosts_lag_.count())));
    if (down_) {
        server_.drop_connections();
    }
}

void platform::set_hosts(std::string hosts)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, hosts_lag_);
    timer->async_wait([this, timer, hosts = std::move(hosts)](
                          boost::system::error_code) { hosts_ = hosts; });
}

std::string platform::counters() const
{
    boost::json::object out;
    for (auto const* kind : {"get", "put", "delete", "list", "watch", "hosts",
                             "dropped", "refused", "limited", "lost"}) {
        auto const it = calls_.find(kind);
        out[kind] = it == calls_.end() ? 0 : it->second;
    }
    out["waiting_watches"] = watches_.size();
    out["revision"] = store_.revision();
    return boost::json::serialize(out);
}

} // namespace standin
