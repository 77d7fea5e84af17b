#include "app/control_plane.hpp"

#include "app/core_time.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

constexpr auto tick = std::chrono::milliseconds(50);
// One datagram stays well below 1,400 bytes with this many records.
constexpr std::size_t crashes_per_probe = 4;

char const* const head_key = "config/head";
char const* const state_key = "config/state";

} // namespace

control_plane::control_plane(host_settings const& settings, event_log& events,
                             lane_group& lanes, std::uint64_t seed)
    : settings_(&settings), events_(&events), lanes_(&lanes), seed_(seed),
      work_(boost::asio::make_work_guard(io_)), timer_(io_),
      seed_schedule_(settings.host_list, seed + 2),
      platform_(io_, settings.platform,
                [this](bool reachable) { on_platform_state(reachable); }),
      peers_(io_, {.ip = settings.ip}), quarantine_(settings.crashes),
      crash_bursts_(settings.crash_bursts), removal_(settings.claims),
      topology_(topology::build(0, {}))
{}

control_plane::~control_plane() = default;

void control_plane::start(std::uint16_t peer_port, std::uint16_t operator_port)
{
    auto const self = make_self(peer_port, operator_port);
    members_ =
        std::make_unique<member_list>(settings_->membership, self, seed_);
    spread_ =
        std::make_unique<config_spread>(settings_->spread, self, seed_ + 1);
    probes_ = std::make_unique<probe_socket>(
        io_, settings_->ip, peer_port, core_now,
        [this](probe_packet packet) { on_probe(std::move(packet)); });
    members_->set_seeds(seeds(false));
    seed_schedule_.start(core_now());
    refresh_seeds();
    with_members([&](time_point now, member_actions& out) {
        members_->join(now, false, out);
    });
    update_view();
    with_spread([&](time_point now, spread_actions& out) {
        spread_->start(now, seeds(true), out);
    });
    arm_timer();
}

template <class F>
void control_plane::with_members(F f)
{
    member_actions out;
    f(core_now(), out);
    for (auto& it : out) {
        std::visit([this](auto& a) { run_action(a); }, it);
    }
    pass_on_members();
}

template <class F>
void control_plane::with_spread(F f)
{
    spread_actions out;
    f(core_now(), out);
    for (auto& it : out) {
        std::visit([this](auto& a) { run_action(a); }, it);
    }
    if (reader_ != spread_->reader()) {
        reader_ = spread_->reader();
        events_->report(reader_ ? event_kind::reader_started
                                : event_kind::reader_stopped,
                        settings_->name, "");
    }
}

void control_plane::arm_timer()
{
    timer_.expires_after(tick);
    timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            on_timer();
        }
    });
}

void control_plane::on_timer()
{
    auto const now = core_now();
    if (members_->next_timer() <= now) {
        with_members([&](time_point t, member_actions& out) {
            members_->on_timer(t, out);
        });
    }
    if (spread_->next_timer() <= now) {
        with_spread([&](time_point t, spread_actions& out) {
            spread_->on_timer(t, out);
        });
    }
    if (seed_schedule_.due(now, spread_->reader())) {
        refresh_seeds();
    }
    quarantine_.expire(now);
    crashes_changed();
    send_crash_burst();
    pass_on_members();
    remove_old_claims(now);
    finish_start();
    if (now >= next_view_) {
        update_view();
    }
    arm_timer();
}

// Membership

void control_plane::on_probe(probe_packet packet)
{
    events_->received(packet.time);
    for (auto const& it : packet.crashes) {
        quarantine_.merge(core_now(), it);
    }
    crashes_changed();
    with_members([&](time_point now, member_actions& out) {
        members_->on_message(now, packet.message, out);
    });
    finish_start();
}

std::vector<crash_record> control_plane::next_crashes()
{
    auto const all = quarantine_.records();
    auto const n = std::min(crashes_per_probe, all.size());
    std::vector<crash_record> out;
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back(all[next_crash_++ % all.size()]);
    }
    return out;
}

void control_plane::run_action(send_probe& a)
{
    probes_->send(a.ip, a.port,
                  {.time = events_->stamp(),
                   .message = std::move(a.message),
                   .crashes = next_crashes()});
}

void control_plane::run_action(member_changed& a)
{
    events_->report(event_kind::member_changed, a.member.id.value,
                    std::string(name_of(member_state_names, a.member.state)));
    if (a.member.state == member_state::dead) {
        peers_.forget(a.member.id);
    }
    view_stale_ = true;
    members_changed_.mark();
}

// The whole list is copied, so its cost must not come with each change: a
// fleet that starts makes as many changes as it has hosts.
void control_plane::pass_on_members()
{
    if (!members_changed_.take(core_now())) {
        return;
    }
    ++member_lists_;
    with_spread([&](time_point now, spread_actions& out) {
        spread_->on_members(now, members_->members(), out);
    });
}

void control_plane::run_action(member_config& a)
{
    with_spread([&](time_point now, spread_actions& out) {
        spread_->on_peer_number(now, a.member, a.number, out);
    });
}

// When the platform does not answer, the seeds stay as they are.
void control_plane::refresh_seeds()
{
    platform_.hosts([this](platform_result<std::vector<platform_host>> r) {
        if (auto const* hosts = std::get_if<std::vector<platform_host>>(&r)) {
            add_seeds(*hosts);
        }
        if (!routed_) {
            with_members([&](time_point now, member_actions& out) {
                members_->join(now, true, out);
            });
            finish_start();
        }
    });
}

void control_plane::add_seeds(std::vector<platform_host> const& hosts)
{
    auto all = seeds(false);
    for (auto const& it : hosts) {
        if (it.name != settings_->name && !it.leaving) {
            all.push_back({.ip = it.ip, .port = it.peer_port});
        }
    }
    members_->set_seeds(std::move(all));
}

// Configuration

void control_plane::run_action(read_config& a)
{
    auto const have = a.have;
    platform_.get(head_key,
                  [this, have](platform_result<platform_object> result) {
                      on_head(have, std::move(result));
                  });
}

void control_plane::on_head(std::uint64_t have,
                            platform_result<platform_object> result)
{
    if (auto const* ec = std::get_if<platform_error>(&result)) {
        if (*ec == platform_error::not_found) {
            on_read({});
        }
        else {
            platform_failed();
        }
        return;
    }
    auto const& object = std::get<platform_object>(result);
    auto head = parse_head(object.value);
    if (!head) {
        platform_failed();
        return;
    }
    if (head->base > have) {
        read_state(object.revision, std::move(*head));
        return;
    }
    on_read({.revision = object.revision, .head = std::move(*head)});
}

void control_plane::read_state(std::uint64_t revision, config_head head)
{
    platform_.get(
        state_key, [this, revision, head = std::move(head)](
                       platform_result<platform_object> result) mutable {
            auto const* object = std::get_if<platform_object>(&result);
            auto state = object ? parse_snapshot(object->value) : std::nullopt;
            if (!state) {
                platform_failed();
                return;
            }
            on_read({.revision = revision,
                     .head = std::move(head),
                     .state = std::move(state)});
        });
}

void control_plane::on_read(config_read read)
{
    with_spread([&](time_point now, spread_actions& out) {
        spread_->on_read(now, std::move(read), out);
    });
}

void control_plane::platform_failed()
{
    with_spread([&](time_point now, spread_actions& out) {
        spread_->on_platform_failed(now, out);
    });
}

void control_plane::run_action(watch_config& a)
{
    auto const after = a.after_revision;
    platform_.watch(head_key, after, a.timeout,
                    [this, after](platform_result<platform_listing> result) {
                        auto const* listing =
                            std::get_if<platform_listing>(&result);
                        if (listing == nullptr) {
                            platform_failed();
                            return;
                        }
                        with_spread([&](time_point now, spread_actions& out) {
                            spread_->on_watch(now, !listing->objects.empty(),
                                              listing->revision, out);
                        });
                    });
}

void control_plane::run_action(pull_config& a)
{
    auto const from = a.from;
    auto const* address = member_address(from);
    if (address == nullptr) {
        with_spread([&](time_point now, spread_actions& out) {
            spread_->on_pull_failed(now, from, out);
        });
        return;
    }
    config_pull_request const request{.have = a.have,
                                      .from = host_id(settings_->name)};
    peers_.open(*address, "/peer/config", encode(events_->stamp(), request),
                [this, from](stream_event event) {
                    on_pull_event(from, std::move(event));
                });
}

void control_plane::on_pull_event(host_id const& from, stream_event event)
{
    if (std::holds_alternative<stream_ended>(event)) {
        return; // the message has come before
    }
    auto const* message = std::get_if<std::string>(&event);
    auto answer = message ? decode_config_push(*message) : std::nullopt;
    if (!answer) {
        with_spread([&](time_point now, spread_actions& out) {
            spread_->on_pull_failed(now, from, out);
        });
        return;
    }
    events_->received(answer->time);
    with_spread([&](time_point now, spread_actions& out) {
        spread_->on_push(now, from, std::move(answer->message.push), out);
    });
}

void control_plane::run_action(announce_config& a)
{
    auto const* address = member_address(a.to);
    if (address == nullptr) {
        return;
    }
    config_pull_request const request{.have = a.number,
                                      .announce = a.number,
                                      .from = host_id(settings_->name)};
    peers_.open(*address, "/peer/config", encode(events_->stamp(), request),
                [](stream_event const&) {});
}

void control_plane::run_action(config_adopted& a)
{
    auto const next =
        topology::build(a.number, spread_->store().state().objects);
    report_data_centres(*next);
    topology_ = next;
    members_->set_config_number(a.number);
    events_->report(event_kind::config_adopted, std::to_string(a.number), "");
    view_stale_ = true;
    update_view();
}

void control_plane::report_data_centres(topology const& now)
{
    for (auto const& dc : now.data_centres()) {
        auto const* before = topology_->find_data_centre(dc.name);
        auto const was_in = before == nullptr || before->in;
        if (was_in != dc.in) {
            events_->report(dc.in ? event_kind::data_centre_in
                                  : event_kind::data_centre_out,
                            dc.name, "ticket " + std::to_string(now.number()));
        }
    }
}

void control_plane::on_platform_state(bool reachable)
{
    events_->report(reachable ? event_kind::platform_found
                              : event_kind::platform_lost,
                    settings_->name, "");
}

// Requests of other hosts, passed on by the lanes

void control_plane::peer_request(std::string path, std::string message,
                                 std::function<void(std::string)> answer)
{
    boost::asio::post(io_, [this, path = std::move(path),
                            message = std::move(message),
                            answer = std::move(answer)] {
        if (path == "/peer/config") {
            answer(serve_config(message));
            return;
        }
        if (path == "/peer/handover") {
            serve_handover(message);
        }
        answer("");
    });
}

std::string control_plane::serve_config(std::string const& message)
{
    auto const request = decode_config_pull(message);
    if (!request) {
        return "";
    }
    events_->received(request->time);
    auto const& m = request->message;
    if (m.announce > 0) {
        with_spread([&](time_point now, spread_actions& out) {
            spread_->on_announced(now, m.from, m.announce, out);
        });
        // The sender does not read the answer; the members of a data centre
        // of 80 hosts would be several kilobytes for each announcement.
        return "";
    }
    auto push = spread_->answer(m.have);
    if (!push) {
        return ""; // not ready: the asker reads this as a failed pull
    }
    config_push_answer answer{.push = std::move(*push),
                              .number = spread_->store().number(),
                              .members = {}};
    for (auto& it : members_->members()) {
        if (it.data_centre == settings_->data_centre) {
            answer.members.push_back(std::move(it));
        }
    }
    return encode(events_->stamp(), answer);
}

void control_plane::serve_handover(std::string const& message)
{
    auto const handover = decode_handover(message);
    if (!handover) {
        return;
    }
    events_->received(handover->time);
    lanes_->handover(handover->message.upstreams);
}

peer_address const* control_plane::member_address(host_id const& id)
{
    for (auto const& it : members_->members()) {
        if (it.id == id) {
            address_buffer_ = {.id = it.id, .ip = it.ip, .port = it.peer_port};
            return &address_buffer_;
        }
    }
    return nullptr;
}

// Shutdown

void control_plane::leave()
{
    leaving_ = true;
    view_stale_ = true;
    // Between separate steps a lane could start requests that the handover
    // does not count, and the new owner would exceed the slots. The last host
    // of its data centre keeps its upstreams, so its view does not change.
    if (renew_view()) {
        lanes_->give_up(view_, [this](std::vector<upstream_gauge> const& all) {
            send_handover(all);
        });
    }
    with_members([&](time_point now, member_actions& out) {
        members_->leave(now, out);
    });
}

} // namespace snipemill
