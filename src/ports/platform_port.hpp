#pragma once

#include "core/base/name_table.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

// An object of the platform's store.
struct platform_object
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;  // of this object, 1 after the create
    std::uint64_t revision = 0; // of the store at the last write of the object
};

struct platform_listing
{
    std::uint64_t revision = 0; // of the store when it was read
    std::vector<platform_object> objects;
};

struct platform_host
{
    std::string name;
    std::string data_centre;
    std::string ip;
    std::uint16_t peer_port = 0;
    bool leaving = false;
};

enum class platform_error : std::uint8_t
{
    not_found,
    conflict,  // the condition did not hold; nothing was written
    not_sent,  // certainly had no effect: no connection, budget, breaker open
    ambiguous, // sent, no clear answer: a write may have taken effect
    refused,   // the platform refused the request as invalid
    history_gone, // the events that a watch asks for are lost
};

inline constexpr name_table<platform_error, 6> platform_error_names{{
    {platform_error::not_found, "not_found"},
    {platform_error::conflict, "conflict"},
    {platform_error::not_sent, "not_sent"},
    {platform_error::ambiguous, "ambiguous"},
    {platform_error::refused, "refused"},
    {platform_error::history_gone, "history_gone"},
}};

template <class T>
using platform_result = std::variant<T, platform_error>;

template <class T>
using platform_callback = std::function<void(platform_result<T>)>;

// The platform's object API. Callbacks run on the thread of the adapter's
// io_context, never inside the call.
class platform_port
{
public:
    virtual ~platform_port() = default;

    virtual void get(std::string key, platform_callback<platform_object> f) = 0;
    // Writes when the object has this version; 0 means that it must not
    // exist. The result holds the new version.
    virtual void put(std::string key, std::string value,
                     std::uint64_t if_version,
                     platform_callback<platform_object> f) = 0;
    virtual void remove(std::string key, std::uint64_t if_version,
                        platform_callback<platform_object> f) = 0;
    virtual void list(std::string prefix,
                      platform_callback<platform_listing> f) = 0;
    // Returns the objects below the prefix that changed after the revision;
    // an empty listing after the timeout.
    virtual void watch(std::string prefix, std::uint64_t after_revision,
                       duration timeout,
                       platform_callback<platform_listing> f) = 0;
    virtual void hosts(platform_callback<std::vector<platform_host>> f) = 0;
};

} // namespace snipemill
