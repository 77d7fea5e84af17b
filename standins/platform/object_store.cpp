#include "platform/object_store.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace standin {

object const* object_store::find(std::string const& key) const
{
    auto const it = objects_.find(key);
    return it == objects_.end() ? nullptr : &it->second;
}

store_outcome object_store::put(std::string const& key, std::string value,
                                std::uint64_t if_version)
{
    auto const* old = find(key);
    if (old == nullptr && if_version != 0) {
        return store_outcome::missing;
    }
    if (old != nullptr && old->version != if_version) {
        return store_outcome::mismatch;
    }
    objects_[key] = {std::move(value), if_version + 1, ++revision_};
    return store_outcome::done;
}

store_outcome object_store::remove(std::string const& key,
                                   std::uint64_t if_version)
{
    auto const* old = find(key);
    if (old == nullptr) {
        return store_outcome::missing;
    }
    if (old->version != if_version) {
        return store_outcome::mismatch;
    }
    objects_.erase(key);
    ++revision_;
    return store_outcome::done;
}

std::string object_store::list(std::string const& prefix, std::uint64_t after,
                               std::size_t& count) const
{
    std::string out =
        R"({"revision":)" + std::to_string(revision_) + R"(,"objects":[)";
    count = 0;
    for (auto it = objects_.lower_bound(prefix);
         it != objects_.end() && it->first.starts_with(prefix); ++it) {
        if (it->second.revision > after) {
            out += count++ == 0 ? "" : ",";
            out += write_object(it->first, it->second, true);
        }
    }
    return out + "]}";
}

std::string write_object(std::string const& key, object const& o,
                         bool with_value)
{
    boost::json::object out;
    out["key"] = key;
    out["version"] = o.version;
    out["revision"] = o.revision;
    if (with_value) {
        out["value"] = o.value;
    }
    return boost::json::serialize(out);
}

} // namespace standin
