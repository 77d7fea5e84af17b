#include "app/control_plane.hpp"
#include "app/core_time.hpp"

#include <utility>

namespace snipemill {

// The part of the control plane that keeps the claims in the platform: writes
// and reads for the lanes, and the removal of old claims.

void control_plane::put_claim(std::string key, std::string value,
                              std::uint64_t if_version,
                              platform_callback<platform_object> f)
{
    boost::asio::post(io_,
                      [this, key = std::move(key), value = std::move(value),
                       if_version, f = std::move(f)]() mutable {
                          platform_.put(std::move(key), std::move(value),
                                        if_version, std::move(f));
                      });
}

void control_plane::get_claim(std::string key,
                              platform_callback<platform_object> f)
{
    boost::asio::post(io_,
                      [this, key = std::move(key), f = std::move(f)]() mutable {
                          platform_.get(std::move(key), std::move(f));
                      });
}

void control_plane::remove_old_claims(time_point now)
{
    if (leaving_ || !view_) {
        return;
    }
    claim_removal_actions out;
    removal_.on_timer(now, *view_, out);
    for (auto& it : out) {
        std::visit([this](auto& a) { run_action(a); }, it);
    }
}

void control_plane::run_action(list_claims& a)
{
    platform_.list(std::move(a.prefix),
                   [this](platform_result<platform_listing> const& result) {
                       on_claims_listed(result);
                   });
}

void control_plane::on_claims_listed(
    platform_result<platform_listing> const& result)
{
    auto const* listing = std::get_if<platform_listing>(&result);
    if (listing == nullptr) {
        removal_.on_failed();
        return;
    }
    std::vector<listed_claim> found;
    for (auto const& it : listing->objects) {
        if (auto const value = parse_claim(it.value)) {
            found.push_back({.key = it.key,
                             .version = it.version,
                             .created = value->created});
        }
    }
    removal_.on_listed(wall_us() / 1000, found);
}

void control_plane::run_action(remove_claim& a)
{
    platform_.remove(
        std::move(a.key), a.version,
        [this](platform_result<platform_object> const& result) {
            auto const* error = std::get_if<platform_error>(&result);
            // Another host was faster, or the key is in use.
            bool const gone =
                error != nullptr && (*error == platform_error::conflict ||
                                     *error == platform_error::not_found);
            if (error != nullptr && !gone) {
                removal_.on_failed();
            }
        });
}

} // namespace snipemill
