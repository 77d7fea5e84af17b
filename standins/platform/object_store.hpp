#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace standin {

struct object
{
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
};

enum class store_outcome
{
    done,
    missing, // no object, but a version was asked for
    mismatch // the object has another version
};

// The objects of the platform, in memory.
class object_store
{
public:
    object const* find(std::string const& key) const;
    // if_version 0: the object must not exist.
    store_outcome put(std::string const& key, std::string value,
                      std::uint64_t if_version);
    store_outcome remove(std::string const& key, std::uint64_t if_version);

    std::uint64_t revision() const { return revision_; }
    // JSON of the objects below the prefix written after this revision.
    // count receives their number.
    std::string list(std::string const& prefix, std::uint64_t after,
                     std::size_t& count) const;

private:
    std::map<std::string, object> objects_;
    std::uint64_t revision_ = 0;
};

// JSON of one object, with or without its value.
std::string write_object(std::string const& key, object const& o,
                         bool with_value);

} // namespace standin
