#include "adapters/platform/platform_client.hpp"

#include "adapters/platform/platform_calls.hpp"
#include "adapters/platform/platform_json.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

std::string object_target(std::string const& key)
{
    return "/objects/" + percent_encode(key);
}

std::pair<std::string, std::string> condition(std::uint64_t if_version)
{
    if (if_version == 0) {
        return {"If-None-Match", "*"};
    }
    return {"If-Match", std::to_string(if_version)};
}

} // namespace

class platform_client::impl : public platform_calls
{
public:
    using platform_calls::platform_calls;

    // Passes on what parse reads from a 200. A write whose answer cannot be
    // read has taken effect, but its version is not known.
    template <class T, class Parse>
    callback reader(platform_callback<T> f, Parse parse, bool write)
    {
        return [this, f = std::move(f), parse, write](call_result const& r) {
            if (auto const* const error = std::get_if<platform_error>(&r)) {
                f(*error);
                return;
            }
            if (auto value = parse(std::get<http_response>(r).body)) {
                f(std::move(*value));
                return;
            }
            ++counters.failed;
            counters.ambiguous += write ? 1 : 0;
            f(write ? platform_error::ambiguous : platform_error::not_sent);
        };
    }
};

platform_client::platform_client(boost::asio::io_context& io,
                                 platform_client_options const& options,
                                 std::function<void(bool reachable)> on_state)
    : impl_(std::make_shared<impl>(io, options, std::move(on_state)))
{}

platform_client::~platform_client()
{
    impl_->stop();
}

void platform_client::get(std::string key, platform_callback<platform_object> f)
{
    ++impl_->counters.gets;
    impl_->send({.method = "GET", .target = object_target(key)}, key, false,
                impl_->reader(std::move(f), parse_object, false));
}

void platform_client::put(std::string key, std::string value,
                          std::uint64_t if_version,
                          platform_callback<platform_object> f)
{
    ++impl_->counters.puts;
    impl_->send({.method = "PUT",
                 .target = object_target(key),
                 .headers = {condition(if_version),
                             {"Content-Type", "application/json"}},
                 .body = std::move(value)},
                key, true, impl_->reader(std::move(f), parse_object, true));
}

void platform_client::remove(std::string key, std::uint64_t if_version,
                             platform_callback<platform_object> f)
{
    ++impl_->counters.removes;
    impl_->send({.method = "DELETE",
                 .target = object_target(key),
                 .headers = {{"If-Match", std::to_string(if_version)}}},
                key, true, impl_->reader(std::move(f), parse_object, true));
}

void platform_client::list(std::string prefix,
                           platform_callback<platform_listing> f)
{
    ++impl_->counters.lists;
    impl_->send({.method = "GET",
                 .target = "/objects?prefix=" + percent_encode(prefix)},
                prefix, false,
                impl_->reader(std::move(f), parse_listing, false));
}

void platform_client::watch(std::string prefix, std::uint64_t after_revision,
                            duration timeout,
                            platform_callback<platform_listing> f)
{
    ++impl_->counters.watches;
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    std::string target = "/watch?prefix=" + percent_encode(prefix);
    target += "&after=" + std::to_string(after_revision);
    target += "&timeout_ms=" + std::to_string(ms.count());
    impl_->send_watch({.method = "GET", .target = std::move(target)}, prefix,
                      timeout,
                      impl_->reader(std::move(f), parse_listing, false));
}

void platform_client::hosts(platform_callback<std::vector<platform_host>> f)
{
    ++impl_->counters.host_lists;
    impl_->send({.method = "GET", .target = "/hosts"}, "hosts", false,
                impl_->reader(std::move(f), parse_hosts, false));
}

bool platform_client::reachable() const
{
    return impl_->reachable();
}

platform_counters const& platform_client::counters() const
{
    return impl_->counters;
}

byte_count const& platform_client::bytes() const
{
    return *impl_->bytes;
}

} // namespace snipemill
