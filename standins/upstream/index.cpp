#include "upstream/index.hpp"

#include <algorithm>
#include <vector>

namespace standin {

namespace {

// 100003 is prime, so ranks are distinct for fewer records than that.
constexpr std::uint64_t rank_step = 7919;
constexpr std::uint64_t rank_range = 100'003;

struct match
{
    std::uint64_t tenths = 0; // of the rank
    std::uint64_t n = 0;
};

std::string key_of(std::uint64_t n)
{
    return "order-" + std::to_string(n);
}

bool matches(match const& m, search_request const& r)
{
    double const rank = static_cast<double>(m.tenths) / 10;
    return (!r.min_rank || rank >= *r.min_rank) &&
           (!r.max_rank || rank <= *r.max_rank) &&
           (r.prefix.empty() || key_of(m.n).starts_with(r.prefix));
}

void append_record(std::string& out, match const& m, std::uint64_t version,
                   std::uint64_t per_partition)
{
    auto const n = std::to_string(m.n);
    out += R"({"key":"order-)" + n + R"(","rank":)";
    out += std::to_string(m.tenths / 10) + "." + std::to_string(m.tenths % 10);
    out += R"(,"partition":)" + std::to_string(m.n / per_partition);
    out += R"(,"body":{"version":)" + std::to_string(version);
    out += R"(,"n":)" + n + "}}";
}

// Keys are distinct, so the partition never decides.
void sort_matches(std::vector<match>& all, bool descending)
{
    std::sort(all.begin(), all.end(), [&](match const& a, match const& b) {
        if (a.tenths != b.tenths) {
            return (a.tenths < b.tenths) != descending;
        }
        return key_of(a.n) < key_of(b.n);
    });
}

} // namespace

bool index::holds(std::uint64_t version, std::uint32_t partition) const
{
    return (partition + version) % settings_->services == settings_->service;
}

std::string index::search(std::uint64_t version,
                          search_request const& request) const
{
    auto const per_partition = std::uint64_t{settings_->records_per_partition};
    std::string out =
        R"({"version":)" + std::to_string(version) + R"(,"partition_count":)" +
        std::to_string(settings_->partitions) + R"(,"partitions":[)";
    std::vector<match> found;
    for (std::uint32_t p = 0; p < settings_->partitions; ++p) {
        if (!holds(version, p)) {
            continue;
        }
        auto const before = found.size();
        for (auto n = p * per_partition; n < (p + 1) * per_partition; ++n) {
            match const m{n * rank_step % rank_range, n};
            if (matches(m, request)) {
                found.push_back(m);
            }
        }
        out += out.back() == '[' ? "" : ",";
        out += R"({"id":)" + std::to_string(p) + R"(,"documents":)" +
               std::to_string(per_partition) + R"(,"matches":)" +
               std::to_string(found.size() - before) + "}";
    }
    sort_matches(found, request.descending);
    found.resize(std::min<std::uint64_t>(found.size(), request.limit));
    out += R"(],"records":[)";
    for (auto const& it : found) {
        out += out.back() == '[' ? "" : ",";
        append_record(out, it, version, per_partition);
    }
    return out + "]}";
}

std::string index::describe(std::uint64_t version) const
{
    std::string out =
        R"({"version":)" + std::to_string(version) + R"(,"partition_count":)" +
        std::to_string(settings_->partitions) + R"(,"partitions":[)";
    for (std::uint32_t p = 0; p < settings_->partitions; ++p) {
        if (holds(version, p)) {
            out += out.back() == '[' ? "" : ",";
            out += R"({"id":)" + std::to_string(p) + R"(,"documents":)" +
                   std::to_string(settings_->records_per_partition) + "}";
        }
    }
    return out + "]}";
}

} // namespace standin
