#include "owned_fleet.hpp"

#include "owner_fixture.hpp"

#include <algorithm>
#include <utility>

namespace snipemill::test {

owned_fleet::owned_fleet(options const& o)
    : options_(o), fleet_(o.seed, static_cast<int>(o.data_centres),
                          static_cast<int>(o.hosts_each)),
      random_(o.seed + 1),
      config_(replicated_topology(o.services, o.data_centres, o.slots)),
      owners_(fleet_.hosts().size()), paused_since_(fleet_.hosts().size())
{}

void owned_fleet::run_for(duration d)
{
    for (auto const end = fleet_.now() + d; fleet_.now() < end;) {
        fleet_.run_for(step);
        end_jobs();
        for (std::size_t i = 0; i < owners_.size(); ++i) {
            follow_life(i);
        }
        deliver();
        report_jobs();
        for (std::size_t i = 0; i < owners_.size(); ++i) {
            if (awake(i)) {
                renew_view(i);
                owners_[i].engine->on_timer(fleet_.now(), out_);
                act(i);
                send_queries(i);
            }
        }
    }
}

std::map<std::size_t, std::uint32_t> owned_fleet::running(upstream_id id) const
{
    std::map<std::size_t, std::uint32_t> found;
    for (auto const& it : jobs_) {
        if (it.upstream == id && !it.ended) {
            ++found[it.host];
        }
    }
    return found;
}

std::vector<upstream_id> owned_fleet::upstreams() const
{
    std::vector<upstream_id> all;
    for (auto const& it : config_->upstreams()) {
        all.push_back(it.object.id);
    }
    return all;
}

bool owned_fleet::awake(std::size_t i) const
{
    auto const& h = fleet_.hosts()[i];
    return h.up && h.paused_until <= fleet_.now();
}

// The connections of a host that has died or was replaced are reset, and its
// upstreams drop what it has sent.
void owned_fleet::follow_life(std::size_t i)
{
    auto const& h = fleet_.hosts()[i];
    auto& o = owners_[i];
    if (h.paused_until <= fleet_.now()) {
        paused_since_[i] = fleet_.now();
    }
    auto const replaced = o.incarnation != h.info.incarnation;
    if (h.up && !replaced) {
        return;
    }
    jobs_.remove_if([&](job const& it) { return it.host == i; });
    ++o.life;
    o.engine.reset();
    o.view.reset();
    if (h.up) {
        o.incarnation = h.info.incarnation;
        o.engine = std::make_unique<owner_engine>(owner_engine_settings{}, 0, 1,
                                                  random_.next());
        o.next_view = fleet_.now();
    }
    else {
        o.incarnation = 0;
    }
}

void owned_fleet::renew_view(std::size_t i)
{
    auto& o = owners_[i];
    if (fleet_.now() < o.next_view) {
        return;
    }
    auto hosts = live_hosts(*fleet_.hosts()[i].list);
    if (o.view && o.view->owners->hosts() == hosts) {
        o.next_view = fleet_.now() + view_check;
        return;
    }
    auto view = std::make_shared<routing_view>();
    view->sequence = o.view ? o.view->sequence + 1 : 1;
    view->self = fleet_.hosts()[i].info.id;
    view->config = config_;
    view->owners = owner_table::compute(*config_, std::move(hosts));
    o.view = view;
    o.next_view = fleet_.now() + view_interval;
    o.engine->on_view(fleet_.now(), view, out_);
    act(i);
}

// More than the upstreams of the data centre can do, so that limits are
// reached.
void owned_fleet::send_queries(std::size_t i)
{
    auto const& upstreams = config_->upstreams();
    auto const& dc = fleet_.hosts()[i].info.data_centre;
    for (topology_index u = 0; u < upstreams.size(); ++u) {
        if (upstreams[u].object.data_centre == dc && random_.below(3) == 0) {
            send_query(i, u);
        }
    }
}

void owned_fleet::send_query(std::size_t root, topology_index u)
{
    auto const& table = *owners_[root].view->owners;
    auto const& owners = table.owners(u);
    auto batch = batch_of({config_->upstreams()[u].object.id.value});
    batch.remaining = deadline;
    auto to = find_host(table.hosts()[*owners.first].id);
    if (!to || silent(*to)) {
        if (!owners.second) {
            return;
        }
        to = find_host(table.hosts()[*owners.second].id);
        batch.retry = true;
    }
    if (to && !silent(*to)) {
        queries_.push_back({.to = *to,
                            .life = owners_[*to].life,
                            .deadline = fleet_.now() + deadline,
                            .batch = std::move(batch)});
    }
}

std::optional<std::size_t> owned_fleet::find_host(host_id const& id) const
{
    auto const& hosts = fleet_.hosts();
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (hosts[i].info.id == id && hosts[i].up) {
            return i;
        }
    }
    return std::nullopt;
}

bool owned_fleet::silent(std::size_t i) const
{
    return fleet_.now() - paused_since_[i] > silence;
}

void owned_fleet::deliver()
{
    auto const waiting = std::exchange(queries_, {});
    for (auto const& it : waiting) {
        auto const& o = owners_[it.to];
        // The root has given up what is past its deadline.
        if (!o.engine || o.life != it.life || it.deadline <= fleet_.now()) {
            continue;
        }
        if (!awake(it.to)) {
            queries_.push_back(it);
            continue;
        }
        o.engine->on_batch(fleet_.now(), next_peer_++, it.batch, out_);
        act(it.to);
    }
}

void owned_fleet::end_jobs()
{
    for (auto& it : jobs_) {
        it.ended = it.ended || it.ends <= fleet_.now();
    }
}

// A host that is paused reads the answers afterwards.
void owned_fleet::report_jobs()
{
    std::vector<job> ended;
    std::erase_if(jobs_, [&](job const& it) {
        auto const known = it.ended && awake(it.host);
        if (known) {
            ended.push_back(it);
        }
        return known;
    });
    for (auto const& it : ended) {
        auto& engine = *owners_[it.host].engine;
        if (it.cancelled) {
            engine.on_sub_failed(fleet_.now(), it.handle,
                                 {.outcome = sub_outcome::cancelled}, out_);
        }
        else {
            engine.on_sub_answer(fleet_.now(), it.handle, answer_of(1, "k", 1),
                                 out_);
        }
        act(it.host);
    }
}

void owned_fleet::act(std::size_t i)
{
    while (!out_.empty()) {
        auto const actions = std::exchange(out_, {});
        for (auto const& it : actions) {
            if (auto const* sent = std::get_if<dispatch_query>(&it)) {
                start(i, sent->handle, sent->upstream);
            }
            else if (auto const* dropped = std::get_if<cancel_dispatch>(&it)) {
                cancel(i, dropped->handle);
            }
            else if (auto const* asked = std::get_if<poll_status>(&it)) {
                report_status(i, asked->upstream);
            }
        }
    }
}

void owned_fleet::start(std::size_t i, slot_handle handle, upstream_id u)
{
    auto const latency = from_ms(10 + random_.below(30));
    jobs_.push_back({.host = i,
                     .life = owners_[i].life,
                     .handle = handle,
                     .upstream = u,
                     .ends = fleet_.now() + latency});
    ++dispatched_;
    most_by_one_host_ = std::max(most_by_one_host_, running(u)[i]);
}

// The upstream accepts cancellation at once; the host learns of it with the
// next step.
void owned_fleet::cancel(std::size_t i, slot_handle handle)
{
    for (auto& it : jobs_) {
        if (it.host == i && it.handle == handle) {
            it.cancelled = true;
            it.ended = true;
        }
    }
}

void owned_fleet::report_status(std::size_t i, upstream_id u)
{
    upstream_status status;
    for (auto const& [host, n] : running(u)) {
        status.in_flight += n;
    }
    owners_[i].engine->on_status(fleet_.now(), u, status, out_);
}

} // namespace snipemill::test
