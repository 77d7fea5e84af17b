#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <string>

namespace snipemill {

// Each reads a value of a parsed JSON text and returns whether it has the
// type and range of the target; the target is unchanged otherwise.

template <std::unsigned_integral T>
requires(!std::same_as<T, bool>) bool read_value(boost::json::value const& v,
                                                 T& out)
{
    std::uint64_t n = 0;
    if (v.is_uint64()) {
        n = v.get_uint64();
    }
    else if (v.is_int64() && v.get_int64() >= 0) {
        n = static_cast<std::uint64_t>(v.get_int64());
    }
    else {
        return false;
    }
    if (n > std::numeric_limits<T>::max()) {
        return false;
    }
    out = static_cast<T>(n);
    return true;
}

inline bool read_value(boost::json::value const& v, bool& out)
{
    if (!v.is_bool()) {
        return false;
    }
    out = v.get_bool();
    return true;
}

inline bool read_value(boost::json::value const& v, std::string& out)
{
    if (!v.is_string()) {
        return false;
    }
    out.assign(v.get_string().data(), v.get_string().size());
    return true;
}

// Reads a member that has to be present.
template <class T>
bool read_member(boost::json::object const& o, char const* name, T& out)
{
    auto const* v = o.if_contains(name);
    return v != nullptr && read_value(*v, out);
}

// Reads a member that may be absent.
template <class T>
bool read_optional(boost::json::object const& o, char const* name, T& out)
{
    auto const* v = o.if_contains(name);
    return v == nullptr || read_value(*v, out);
}

} // namespace snipemill
