#include "app/batch_router.hpp"

#include <iterator>
#include <utility>

namespace snipemill {

batch_router::batch_router(std::uint32_t lane, owner_lanes& owners)
    : lane_(lane), owners_(&owners)
{}

peer_handle batch_router::next_handle()
{
    return ++count_ * owners_->lanes() + lane_;
}

batch_router::targets_by_lane
batch_router::split(std::vector<upstream_id> const& targets) const
{
    targets_by_lane out(owners_->lanes());
    for (auto const id : targets) {
        out[id.value % owners_->lanes()].push_back(id);
    }
    return out;
}

peer_handle batch_router::open_batch(query_batch batch, part_sink sink)
{
    auto const peer = next_handle();
    auto parts = split(batch.targets);
    batch.targets.clear();
    entry it{.id = batch.id, .part = std::move(sink)};
    for (std::uint32_t i = 0; i < parts.size(); ++i) {
        if (parts[i].empty()) {
            continue;
        }
        it.lanes.push_back(i);
        auto part = batch;
        part.targets = std::move(parts[i]);
        owners_->batch(i, peer, std::move(part));
    }
    it.pending = static_cast<std::uint32_t>(it.lanes.size());
    if (it.pending == 0) {
        it.part({.id = batch.id, .version = batch.version, .final = true});
        return peer;
    }
    batches_[batch.id] = peer;
    entries_.emplace(peer, std::move(it));
    return peer;
}

peer_handle batch_router::open_describe(describe_request const& request,
                                        description_sink sink)
{
    auto const peer = next_handle();
    auto parts = split(request.targets);
    entry it{.id = request.id, .described = std::move(sink)};
    it.answer.id = request.id;
    for (std::uint32_t i = 0; i < parts.size(); ++i) {
        if (parts[i].empty()) {
            continue;
        }
        it.lanes.push_back(i);
        owners_->describe(i, peer,
                          {.id = request.id, .targets = std::move(parts[i])});
    }
    it.pending = static_cast<std::uint32_t>(it.lanes.size());
    if (it.pending == 0) {
        it.described(std::move(it.answer));
        return peer;
    }
    entries_.emplace(peer, std::move(it));
    return peer;
}

peer_handle batch_router::open_submit(submit_forward request, submit_sink sink)
{
    auto const peer = next_handle();
    auto const lane = request.target.value % owners_->lanes();
    entries_.emplace(peer, entry{.id = request.id,
                                 .pending = 1,
                                 .lanes = {lane},
                                 .submitted = std::move(sink)});
    owners_->submit(lane, peer, std::move(request));
    return peer;
}

void batch_router::cancel_targets(request_id id,
                                  std::vector<upstream_id> const& targets)
{
    auto const batch = batches_.find(id);
    if (batch == batches_.end()) {
        return;
    }
    auto parts = split(targets);
    for (std::uint32_t i = 0; i < parts.size(); ++i) {
        if (!parts[i].empty()) {
            owners_->cancel(i, batch->second, std::move(parts[i]));
        }
    }
}

void batch_router::close(peer_handle peer)
{
    auto const it = entries_.find(peer);
    if (it == entries_.end()) {
        return;
    }
    for (auto const lane : it->second.lanes) {
        owners_->gone(lane, peer);
    }
    finish(peer);
}

void batch_router::finish(peer_handle peer)
{
    auto const it = entries_.find(peer);
    auto const batch = batches_.find(it->second.id);
    if (batch != batches_.end() && batch->second == peer) {
        batches_.erase(batch);
    }
    entries_.erase(it);
}

void batch_router::on_part(peer_handle peer, query_part part)
{
    auto const it = entries_.find(peer);
    if (it == entries_.end()) {
        return;
    }
    if (part.final) {
        --it->second.pending;
    }
    part.final = it->second.pending == 0;
    auto const sink = it->second.part;
    if (part.final) {
        finish(peer);
    }
    sink(std::move(part));
}

void batch_router::on_described(peer_handle peer, describe_answer answer)
{
    auto const it = entries_.find(peer);
    if (it == entries_.end()) {
        return;
    }
    auto& joined = it->second.answer.upstreams;
    joined.insert(joined.end(),
                  std::make_move_iterator(answer.upstreams.begin()),
                  std::make_move_iterator(answer.upstreams.end()));
    if (--it->second.pending > 0) {
        return;
    }
    auto const sink = std::move(it->second.described);
    auto whole = std::move(it->second.answer);
    finish(peer);
    sink(std::move(whole));
}

void batch_router::on_submit_result(peer_handle peer, submit_result result)
{
    auto const it = entries_.find(peer);
    if (it == entries_.end()) {
        return;
    }
    auto const sink = std::move(it->second.submitted);
    finish(peer);
    sink(std::move(result));
}

std::size_t batch_router::open() const
{
    return entries_.size();
}

} // namespace snipemill
