#include "core/query/batch_sender.hpp"

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

namespace snipemill {

namespace {

using target_span = std::span<planned_target const>;

void send_one(query_shared& shared, attempt_table& table,
              batch_sender::context const& what, target_span targets,
              time_point now, query_actions& out)
{
    auto const id = shared.next_request();
    auto const& to = shared.routes->host(targets.front().host);
    auto const index =
        table.add_batch({.to = to, .id = id, .sent = now, .kind = what.kind});
    shared.requests.emplace(id, batch_reference{what.run, index});

    auto batch = what.pattern;
    batch.id = id;
    batch.hedge = what.kind == attempt_kind::hedge;
    // A second owner takes only what is marked as a retry.
    batch.retry = what.kind == attempt_kind::retry || targets.front().by_second;
    batch.targets.reserve(targets.size());
    for (auto const& it : targets) {
        table.add_attempt(it.upstream, it.position, it.service);
        batch.targets.push_back(it.upstream);
    }
    out.push_back(send_batch{.to = to, .batch = std::move(batch)});
}

} // namespace

std::uint32_t batch_sender::send(query_shared& shared, attempt_table& table,
                                 context const& what, time_point now,
                                 query_actions& out)
{
    sort_by_host(shared);
    target_span const all = shared.plan_by_host;
    for (std::size_t begin = 0; begin < all.size();) {
        auto const host = all[begin].host;
        auto const by_second = all[begin].by_second;
        auto end = begin + 1;
        while (end < all.size() && all[end].host == host &&
               all[end].by_second == by_second) {
            ++end;
        }
        send_one(shared, table, what, all.subspan(begin, end - begin), now,
                 out);
        begin = end;
    }
    auto const n = static_cast<std::uint32_t>(all.size());
    shared.counters.sub_requests += n;
    shared.plan.clear();
    return n;
}

// Counting sort by host, then by role of the host and by upstream, which
// attempt_table::find relies on.
void batch_sender::sort_by_host(query_shared& shared)
{
    auto& offsets = shared.host_offsets;
    auto& sorted = shared.plan_by_host;
    offsets.assign(shared.routes->hosts() + 1, 0);
    for (auto const& it : shared.plan) {
        ++offsets[it.host + std::size_t{1}];
    }
    for (std::size_t i = 1; i < offsets.size(); ++i) {
        offsets[i] += offsets[i - 1];
    }
    sorted.resize(shared.plan.size());
    for (auto const& it : shared.plan) {
        sorted[offsets[it.host]++] = it;
    }
    // offsets[h] is now the end of host h.
    std::uint32_t begin = 0;
    for (std::size_t h = 0; h + 1 < offsets.size(); ++h) {
        std::sort(sorted.begin() + begin, sorted.begin() + offsets[h],
                  [](planned_target const& a, planned_target const& b) {
                      return std::tie(a.by_second, a.upstream) <
                             std::tie(b.by_second, b.upstream);
                  });
        begin = offsets[h];
    }
}

} // namespace snipemill
