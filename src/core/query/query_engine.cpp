#include "core/query/query_engine.hpp"

#include "core/query/describe_rounds.hpp"
#include "core/query/query_run.hpp"
#include "core/query/query_shared.hpp"

#include <cassert>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>

namespace snipemill {

namespace {

// Upstreams that queries have not reached are described again at this
// interval, so that the catalogue learns of versions on idle replicas.
constexpr duration refresh_interval = from_ms(1000);

// Finished runs that are kept for reuse.
constexpr std::size_t max_spare_runs = 64;

struct timer_entry
{
    time_point at;
    slot_handle run;

    friend bool operator>(timer_entry const& a, timer_entry const& b)
    {
        if (a.at != b.at) {
            return a.at > b.at;
        }
        return a.run.packed() > b.run.packed();
    }
};

using timer_queue =
    std::priority_queue<timer_entry, std::vector<timer_entry>, std::greater<>>;
using run_pointer = std::unique_ptr<query_run>;

} // namespace

class query_engine::impl
{
public:
    impl(query_engine_settings const& settings, std::uint32_t lane,
         std::uint32_t lanes, std::uint64_t seed)
        : shared_(settings, lane, lanes, seed)
    {}

    void on_view(std::shared_ptr<routing_view const> view);
    void on_query(time_point now, caller_handle caller, caller_query query,
                  query_actions& out);
    void on_caller_gone(caller_handle caller, query_actions& out);
    void on_part(time_point now, host_id const& from, query_part part,
                 query_actions& out);
    void on_stream_failed(time_point now, host_id const& from, request_id id,
                          query_actions& out);
    void on_owner_silent(time_point now, host_id const& owner,
                         query_actions& out);
    void on_owner_answering(host_id const& owner)
    {
        shared_.set_silent(owner, false);
    }
    void on_described(time_point now, host_id const& from,
                      describe_answer&& answer, query_actions& out);
    void on_timer(time_point now, query_actions& out);

    std::optional<time_point> next_timer() const
    {
        if (timers_.empty()) {
            return std::nullopt;
        }
        return timers_.top().at;
    }
    duration time_allowed(caller_query const& query) const;
    std::size_t in_flight() const { return runs_.size(); }
    query_counters const& counters() const { return shared_.counters; }

private:
    std::optional<failure> refusal(caller_query const& query) const;
    void refresh(time_point now, topology_index group, query_actions& out);
    void describe_or_begin(time_point now, slot_handle handle,
                           topology_index group, query_actions& out);
    void add_waiting(slot_handle handle, std::string const& group);
    void begin_waiting(time_point now, std::string const& group,
                       query_actions& out);
    void end_describe(time_point now, request_id id, query_actions& out);

    slot_handle add_run();
    query_run* find(slot_handle handle);
    void after_event(slot_handle handle);
    void remove(slot_handle handle);
    void drop_stale_timers();

    query_shared shared_;
    describe_rounds describing_;
    slot_map<run_pointer> runs_;
    std::vector<run_pointer> spare_;
    std::unordered_map<caller_handle, slot_handle> by_caller_;
    std::unordered_map<std::string, std::vector<slot_handle>> waiting_;
    timer_queue timers_;
};

void query_engine::impl::on_view(std::shared_ptr<routing_view const> view)
{
    assert(view);
    auto const& old = shared_.routes;
    if (old && old->sequence() >= view->sequence) {
        return;
    }
    // A host without a configuration routes nothing.
    if (!view->config || !view->owners) {
        return;
    }
    auto const same_config = old && &old->config() == view->config.get();
    shared_.routes =
        std::make_shared<route_table const>(std::move(view), shared_.silent);
    if (!same_config) {
        shared_.catalogue.adopt(shared_.routes->config());
    }
}

std::optional<failure>
query_engine::impl::refusal(caller_query const& query) const
{
    auto const refuse = [](errc code, std::string detail) {
        return failure{.code = code,
                       .run = run_state::not_run,
                       .detail = std::move(detail)};
    };
    if (!shared_.routes) {
        return refuse(errc::no_configuration,
                      "this host has no configuration yet");
    }
    if (!shared_.routes->find_group(query.group)) {
        return refuse(errc::unknown_group,
                      "group \"" + query.group + "\" does not exist");
    }
    if (shared_.routes->data_centre_out()) {
        return refuse(errc::data_centre_out,
                      "the data centre of this host is taken out");
    }
    auto const wanted = std::uint64_t{query.offset} + query.limit;
    if (wanted > shared_.settings.max_limit) {
        return refuse(
            errc::malformed_request,
            "offset + limit is " + std::to_string(wanted) + ", at most " +
                std::to_string(shared_.settings.max_limit) + " is allowed");
    }
    if (query.deadline && *query.deadline <= duration{}) {
        return refuse(errc::deadline_exceeded, "the deadline has passed");
    }
    if (runs_.size() >= shared_.settings.max_queries) {
        return refuse(errc::overloaded, "too many queries in flight");
    }
    return std::nullopt;
}

duration query_engine::impl::time_allowed(caller_query const& query) const
{
    auto const* const group =
        shared_.routes ? shared_.routes->config().find_group(query.group)
                       : nullptr;
    return query.deadline.value_or(group ? group->object.deadline
                                         : duration::zero());
}

void query_engine::impl::on_query(time_point now, caller_handle caller,
                                  caller_query query, query_actions& out)
{
    ++shared_.counters.queries;
    if (auto refused = refusal(query)) {
        ++shared_.counters.refused;
        out.push_back(
            answer_caller{.caller = caller, .result = std::move(*refused)});
        return;
    }
    auto const group = *shared_.routes->find_group(query.group);
    auto const& object = shared_.routes->config().groups()[group].object;
    auto const handle = add_run();
    find(handle)->start(shared_, now, handle, caller, std::move(query), object);
    by_caller_[caller] = handle;
    describe_or_begin(now, handle, group, out);
    after_event(handle);
}

void query_engine::impl::describe_or_begin(time_point now, slot_handle handle,
                                           topology_index group,
                                           query_actions& out)
{
    auto& run = *find(handle);
    auto const known =
        shared_.snapshots.choose(*shared_.routes, shared_.catalogue, group);
    if (known) {
        run.begin(shared_, now, out);
        refresh(now, group, out);
        return;
    }
    using scope = describe_rounds::scope;
    if (describing_.start(shared_, now, group, scope::all, out)) {
        run.wait_for_description(now);
        add_waiting(handle, run.group());
        return;
    }
    run.begin(shared_, now, out);
}

void query_engine::impl::add_waiting(slot_handle handle,
                                     std::string const& group)
{
    auto& handles = waiting_[group];
    // Answers may never come, so queries that no longer wait are removed
    // before the list grows.
    if (handles.size() == handles.capacity()) {
        std::erase_if(handles, [this](slot_handle h) {
            auto const* run = find(h);
            return run == nullptr || !run->waiting();
        });
    }
    handles.push_back(handle);
}

void query_engine::impl::refresh(time_point now, topology_index group,
                                 query_actions& out)
{
    auto const& object = shared_.routes->config().groups()[group].object;
    auto& load = shared_.load(object);
    if (now < load.next_refresh) {
        return;
    }
    load.next_refresh = now + refresh_interval;
    using scope = describe_rounds::scope;
    describing_.start(shared_, now, group, scope::stale, out);
}

void query_engine::impl::on_caller_gone(caller_handle caller,
                                        query_actions& out)
{
    auto const it = by_caller_.find(caller);
    if (it == by_caller_.end()) {
        return;
    }
    auto const handle = it->second;
    find(handle)->abandon(shared_, out);
    after_event(handle);
}

void query_engine::impl::on_part(time_point now, host_id const& from,
                                 query_part part, query_actions& out)
{
    auto const it = shared_.requests.find(part.id);
    if (it == shared_.requests.end()) {
        ++shared_.counters.late_parts;
        return;
    }
    auto const [handle, batch] = it->second;
    find(handle)->on_part(shared_, now, batch, from, std::move(part), out);
    after_event(handle);
}

void query_engine::impl::on_stream_failed(time_point now, host_id const& from,
                                          request_id id, query_actions& out)
{
    if (describing_.open(id, from)) {
        end_describe(now, id, out);
        return;
    }
    auto const it = shared_.requests.find(id);
    if (it == shared_.requests.end()) {
        return;
    }
    auto const [handle, batch] = it->second;
    find(handle)->on_stream_failed(shared_, now, batch, from, out);
    after_event(handle);
}

void query_engine::impl::on_owner_silent(time_point now, host_id const& owner,
                                         query_actions& out)
{
    if (!shared_.set_silent(owner, true)) {
        return;
    }
    for (auto const handle : shared_.open_runs()) {
        find(handle)->on_owner_silent(shared_, now, out);
        after_event(handle);
    }
}

void query_engine::impl::on_described(time_point now, host_id const& from,
                                      describe_answer&& answer,
                                      query_actions& out)
{
    if (!describing_.open(answer.id, from)) {
        ++shared_.counters.late_parts;
        return;
    }
    for (auto const& it : answer.upstreams) {
        auto const position = shared_.routes->find(it.upstream);
        if (position) {
            shared_.catalogue.on_description(now, *position, it);
        }
    }
    end_describe(now, answer.id, out);
}

void query_engine::impl::end_describe(time_point now, request_id id,
                                      query_actions& out)
{
    auto const group = describing_.end(id);
    if (group) {
        begin_waiting(now, *group, out);
    }
}

void query_engine::impl::begin_waiting(time_point now, std::string const& group,
                                       query_actions& out)
{
    auto const it = waiting_.find(group);
    if (it == waiting_.end()) {
        return;
    }
    auto const handles = std::move(it->second);
    waiting_.erase(it);
    for (auto const handle : handles) {
        auto* run = find(handle);
        if (run != nullptr && run->waiting()) {
            run->begin(shared_, now, out);
            after_event(handle);
        }
    }
}

void query_engine::impl::on_timer(time_point now, query_actions& out)
{
    while (!timers_.empty() && timers_.top().at <= now) {
        auto const [at, handle] = timers_.top();
        timers_.pop();
        auto* run = find(handle);
        if (run == nullptr || run->scheduled != at) {
            continue;
        }
        run->scheduled = time_point::max();
        if (run->due() <= now) {
            run->on_timer(shared_, now, out);
        }
        after_event(handle);
    }
}

slot_handle query_engine::impl::add_run()
{
    if (spare_.empty()) {
        return runs_.insert(std::make_unique<query_run>());
    }
    auto run = std::move(spare_.back());
    spare_.pop_back();
    return runs_.insert(std::move(run));
}

query_run* query_engine::impl::find(slot_handle handle)
{
    auto* run = runs_.find(handle);
    return run == nullptr ? nullptr : run->get();
}

// Removes a finished run and keeps the timer of an unfinished one.
void query_engine::impl::after_event(slot_handle handle)
{
    auto& run = *find(handle);
    if (run.done()) {
        remove(handle);
        drop_stale_timers();
        return;
    }
    auto const due = run.due();
    if (due < run.scheduled) {
        run.scheduled = due;
        timers_.push({due, handle});
    }
}

void query_engine::impl::remove(slot_handle handle)
{
    auto& run = *runs_.find(handle);
    by_caller_.erase(run->caller());
    if (spare_.size() < max_spare_runs) {
        spare_.push_back(std::move(run));
    }
    runs_.erase(handle);
}

void query_engine::impl::drop_stale_timers()
{
    while (!timers_.empty()) {
        auto const& top = timers_.top();
        auto const* run = find(top.run);
        if (run != nullptr && run->scheduled == top.at) {
            return;
        }
        timers_.pop();
    }
}

query_engine::query_engine(query_engine_settings const& settings,
                           std::uint32_t lane, std::uint32_t lanes,
                           std::uint64_t seed)
    : impl_(std::make_unique<impl>(settings, lane, lanes, seed))
{}

query_engine::~query_engine() = default;

void query_engine::on_view(time_point, std::shared_ptr<routing_view const> view,
                           query_actions&)
{
    impl_->on_view(std::move(view));
}

void query_engine::on_query(time_point now, caller_handle caller,
                            caller_query query, query_actions& out)
{
    impl_->on_query(now, caller, std::move(query), out);
}

void query_engine::on_caller_gone(time_point, caller_handle caller,
                                  query_actions& out)
{
    impl_->on_caller_gone(caller, out);
}

void query_engine::on_part(time_point now, host_id const& from, query_part part,
                           query_actions& out)
{
    impl_->on_part(now, from, std::move(part), out);
}

void query_engine::on_stream_failed(time_point now, host_id const& from,
                                    request_id id, errc, query_actions& out)
{
    impl_->on_stream_failed(now, from, id, out);
}

void query_engine::on_owner_silent(time_point now, host_id const& owner,
                                   query_actions& out)
{
    impl_->on_owner_silent(now, owner, out);
}

void query_engine::on_owner_answering(host_id const& owner)
{
    impl_->on_owner_answering(owner);
}

void query_engine::on_described(time_point now, host_id const& from,
                                describe_answer answer, query_actions& out)
{
    impl_->on_described(now, from, std::move(answer), out);
}

void query_engine::on_timer(time_point now, query_actions& out)
{
    impl_->on_timer(now, out);
}

duration query_engine::time_allowed(caller_query const& query) const
{
    return impl_->time_allowed(query);
}

std::optional<time_point> query_engine::next_timer() const
{
    return impl_->next_timer();
}

std::size_t query_engine::in_flight() const
{
    return impl_->in_flight();
}

query_counters const& query_engine::counters() const
{
    return impl_->counters();
}

} // namespace snipemill
