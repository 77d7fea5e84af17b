#include "platform/documents.hpp"
#include "platform/platform.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::platform;

namespace {

constexpr char const* manifest_text = R"({"version": 7, "routes": [
  {"name": "r1", "host": "h", "path_prefix": "/a/", "type": "idempotent",
   "timeout_ms": 400, "target_latency_ms": 40, "priority": 2, "attempts": 3,
   "gather": ["s1", "s2"], "top_k": 5, "min_shard_ratio": 0.75},
  {"name": "r2", "host": "h", "path_prefix": "/b/",
   "type": "non_idempotent", "timeout_ms": 2500, "backend": "s1"},
  {"name": "r3", "host": "h", "path_prefix": "/c/", "type": "idempotent",
   "timeout_ms": 10, "weighted_backends": [
     {"backend": "s1", "weight": 9}, {"backend": "s2", "weight": 1}]}],
 "services": [{"name": "s1", "max_conns": 25, "warmup_per_s": 1.5},
              {"name": "s2"}],
 "limits": {"max_header_bytes": 100, "max_body_bytes": 200,
            "header_timeout_ms": 300, "idle_timeout_ms": 400}})";

constexpr char const* upstream_text =
    R"({"backend": "s1", "address": "192.0.2.9:8080", "zone": "z",
        "version": "v1", "max_concurrency": 2, "state": "ready",
        "warmup_left_ms": 1500, "sequence": 4, "born": 1700000000000})";

std::string page(std::string const& name, std::string const& spec)
{
    return R"({"items": [{"meta": {"name": ")" + name +
           R"(", "revision": 3}, "spec": )" + spec +
           R"(, "status": null}], "truncated": false, "store_revision": 9})";
}

store_value decode(store_kind kind, std::string const& name,
                   std::string const& spec)
{
    auto const out = decode_page(kind, page(name, spec));
    CHECK(out.has_value());
    UNSIGNED_LONGS_EQUAL(1, out->entries.size());
    return out->entries[0].value;
}

std::string replaced(std::string text, std::string const& from,
                     std::string const& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(documents){};

// Guards against manifest fields that are decoded into the wrong member.
TEST(documents, reads_a_manifest)
{
    auto const value = decode(store_kind::manifests, "main", manifest_text);
    auto const& it = *std::get<std::shared_ptr<manifest const>>(value);
    UNSIGNED_LONGS_EQUAL(7, it.version);
    auto const& gather = std::get<gather_target>(it.routes[0].target);
    UNSIGNED_LONGS_EQUAL(2, gather.shards.size());
    UNSIGNED_LONGS_EQUAL(5, gather.top);
    UNSIGNED_LONGS_EQUAL(16, gather.record_bytes);
    DOUBLES_EQUAL(0.75, gather.min_share, 1e-9);
    CHECK(it.routes[0].kind == idempotency::idempotent);
    CHECK(it.routes[0].objective == from_ms(40));
    UNSIGNED_LONGS_EQUAL(3, it.routes[0].attempts);
    CHECK(it.routes[1].kind == idempotency::at_most_once);
    CHECK(it.routes[1].objective == from_ms(2500));
    UNSIGNED_LONGS_EQUAL(1, it.routes[1].attempts);
    auto const& weighted = std::get<weighted_target>(it.routes[2].target);
    UNSIGNED_LONGS_EQUAL(9, weighted.services[0].weight);
    UNSIGNED_LONGS_EQUAL(25, it.services[0].max_connections);
    DOUBLES_EQUAL(1.5, it.services[0].cold_rate, 1e-9);
    UNSIGNED_LONGS_EQUAL(200, it.limits.max_body);
    CHECK(it.limits.idle_timeout == from_ms(400));
}

// Guards against accounts whose limits are read into the wrong member, and
// against routes that are public by default.
TEST(documents, reads_the_accounts_of_a_manifest)
{
    auto const text =
        replaced(manifest_text, R"("limits":)",
                 R"("tenants": [{"name": "t1", "api_keys": ["k1", "k2"],
                     "priority": 0, "rate_per_s": 11.5, "burst": 4},
                    {"name": "t2", "api_keys": []}], "limits":)");
    auto const value = decode(store_kind::manifests, "main",
                              replaced(text, R"("priority": 2,)",
                                       R"("priority": 2, "public": true,)"));
    auto const& it = *std::get<std::shared_ptr<manifest const>>(value);
    CHECK(it.routes[0].is_public);
    CHECK_FALSE(it.routes[1].is_public);
    CHECK(it.accounts.has_value());
    UNSIGNED_LONGS_EQUAL(2, it.accounts->size());
    auto const& first = it.accounts->front();
    STRCMP_EQUAL("t1", first.name.c_str());
    UNSIGNED_LONGS_EQUAL(2, first.keys.size());
    STRCMP_EQUAL("k2", first.keys[1].c_str());
    UNSIGNED_LONGS_EQUAL(0, *first.priority);
    DOUBLES_EQUAL(11.5, first.cap.rate, 1e-9);
    DOUBLES_EQUAL(4, first.cap.burst, 1e-9);
    auto const& second = it.accounts->back();
    CHECK_FALSE(second.priority.has_value());
    CHECK_FALSE(second.cap.limited());
}

// Guards against requiring keys where the manifest has no accounts, and against
// serving everybody when the last account is removed.
TEST(documents, an_empty_list_of_accounts_is_not_the_same_as_none)
{
    auto const without = decode(store_kind::manifests, "main", manifest_text);
    CHECK_FALSE(std::get<std::shared_ptr<manifest const>>(without)
                    ->accounts.has_value());
    auto const empty = decode(
        store_kind::manifests, "main",
        replaced(manifest_text, R"("limits":)", R"("tenants": [], "limits":)"));
    CHECK(
        std::get<std::shared_ptr<manifest const>>(empty)->accounts.has_value());
}

// Guards against a name that would add headers to requests, and against a
// manifest that comes into force without one of its accounts.
TEST(documents, a_manifest_with_a_spoilt_account_is_unreadable)
{
    for (auto const* const account :
         {R"({"name": "t\r\nx: y", "api_keys": []})", R"({"name": "t"})",
          R"({"name": "", "api_keys": []})",
          R"({"name": "t", "api_keys": [1]})", "7"}) {
        auto const text = replaced(manifest_text, R"("limits":)",
                                   R"("tenants": [)" + std::string(account) +
                                       R"(], "limits":)");
        auto const value = decode(store_kind::manifests, "main", text);
        CHECK(std::holds_alternative<unreadable_entry>(value));
    }
}

// Guards against using another object of the same kind as the manifest.
TEST(documents, reads_only_the_newest_manifest)
{
    auto const value = decode(store_kind::manifests, "other", manifest_text);
    CHECK(std::holds_alternative<unreadable_entry>(value));
}

// Guards against a manifest that comes into force without its invalid route.
TEST(documents, a_manifest_with_a_spoilt_route_is_unreadable)
{
    auto const text = replaced(manifest_text, R"("host": "h")", R"("host": 3)");
    auto const value = decode(store_kind::manifests, "main", text);
    CHECK(std::holds_alternative<unreadable_entry>(value));
}

TEST(documents, reads_an_upstream)
{
    auto const value = decode(store_kind::upstreams, "i-1", upstream_text);
    upstream_record const expected{.instance = "i-1",
                                   .service = "s1",
                                   .ip = "192.0.2.9",
                                   .port = 8080,
                                   .data_centre = "z",
                                   .slots = 2,
                                   .draining = false,
                                   .cold_left = from_ms(1500),
                                   .started_ms = 1'700'000'000'000,
                                   .version = "v1"};
    CHECK(std::get<upstream_record>(value) == expected);
}

// Guards against an order that is lost or taken for another one, and against a
// status that another host cannot go on from.
TEST(documents, passes_a_rollout_on_through_the_store)
{
    std::string const order =
        R"({"meta": {"name": "x", "revision": 3},
            "spec": {"backend": "s1", "target_version": "v2",
                     "duration_s": 12}})";
    auto it = platform::decode_rollout(order);
    CHECK(it.has_value());
    rollout_entry const expected{.name = "x",
                                 .service = "s1",
                                 .target_version = "v2",
                                 .time_limit = from_ms(12'000),
                                 .revision = 3};
    CHECK(*it == expected);
    it->status = {.state = rollout_state::running,
                  .target_version = "v2",
                  .previous_version = "v1",
                  .token = 4,
                  .decider = "h1/9",
                  .started_ms = 1'700'000'000'000,
                  .requests = 90,
                  .target_requests = 7};
    auto const text = platform::encode_rollout_status(*it);
    auto const status = text.substr(text.find("\"status\""));
    auto const next = platform::decode_rollout(
        order.substr(0, order.size() - 1) + "," + status);
    CHECK(next.has_value());
    CHECK(next->status == it->status);
    CHECK(text.find("\"revision\":3") != std::string::npos);
}

// Guards against carrying out an order whose service, version or time limit is
// not known.
TEST(documents, an_incomplete_order_is_unreadable)
{
    for (std::string const spec :
         {R"({"target_version": "v2", "duration_s": 12})",
          R"({"backend": "s1", "duration_s": 12})",
          R"({"backend": "s1", "target_version": "v2"})",
          R"({"backend": "s1", "target_version": "v2", "duration_s": 0})"}) {
        CHECK_FALSE(platform::decode_rollout(
                        R"({"meta": {"name": "x", "revision": 3}, "spec": )" +
                        spec + "}")
                        .has_value());
    }
    CHECK_FALSE(platform::decode_rollout(
                    R"({"meta": {"name": "x"}, "spec": {"backend": "s1",
                "target_version": "v2", "duration_s": 12}})")
                    .has_value());
}

// Guards against using an upstream entry with an invalid field, and against an
// invalid entry that makes the whole page invalid.
TEST(documents, spoilt_upstreams_are_unreadable)
{
    for (auto const& [from, to] :
         {std::pair<std::string, std::string>{R"("ready")", R"("strange")"},
          {R"("s1")", "17"},
          {R"("192.0.2.9:8080")", R"("192.0.2.9")"},
          {R"("192.0.2.9:8080")", R"("192.0.2.9:99999")"},
          {R"("max_concurrency": 2)", R"("max_concurrency": "2")"},
          {R"("zone": "z",)", ""}}) {
        auto const value = decode(store_kind::upstreams, "i-1",
                                  replaced(upstream_text, from, to));
        CHECK(std::holds_alternative<unreadable_entry>(value));
    }
    CHECK(std::holds_alternative<unreadable_entry>(
        decode(store_kind::upstreams, "i-1", R"("bytes")")));
    CHECK(std::holds_alternative<unreadable_entry>(
        decode(store_kind::upstreams, "i-1", "null")));
}

TEST(documents, reads_events)
{
    auto const out = decode_events(
        store_kind::evacuations,
        R"({"events": [{"deleted": true, "object": {"meta": {"name": "z"},
            "spec": {}}}, {"deleted": false, "object": 3}],
            "store_revision": 12})");
    CHECK(out.has_value());
    UNSIGNED_LONGS_EQUAL(1, out->events.size());
    CHECK(out->events[0].deleted);
    STRCMP_EQUAL("z", out->events[0].entry.name.c_str());
    UNSIGNED_LONGS_EQUAL(12, out->revision);
}

// Guards against decoding an answer of another form as an empty page, which
// would clear the mirror.
TEST(documents, other_answers_are_no_listing)
{
    for (auto const* const it : {"", "{}", "[]", R"({"items": []})",
                                 R"({"items": 3, "store_revision": 1})"}) {
        CHECK_FALSE(decode_page(store_kind::upstreams, it).has_value());
        CHECK_FALSE(decode_events(store_kind::upstreams, it).has_value());
    }
}

// Guards against a relay address that other hosts decode differently from what
// the relay wrote.
TEST(documents, host_entries_are_read_as_they_were_written)
{
    host_entry const out{.renewed_ms = 17,
                         .host = {.name = "h1",
                                  .data_centre = "a",
                                  .ip = "192.0.2.1",
                                  .relay_port = 7395,
                                  .cores = 0.5}};
    auto const page = platform::decode_page(
        store_kind::hosts, R"({"store_revision": 3, "items": [)" +
                               platform::encode_host("h1", out) + "]}");
    CHECK(std::get<host_entry>(page->entries[0].value) == out);
}

// Guards against using a host whose entry has an invalid port as a relay.
TEST(documents, odd_host_entries_are_no_relays)
{
    auto const page = platform::decode_page(
        store_kind::hosts,
        R"({"store_revision": 3, "items": [{"meta": {"name": "h1"},
            "spec": {"renewed_ms": 5, "relay_port": 99999, "ip": 7}}]})");
    auto const& it = std::get<host_entry>(page->entries[0].value);
    UNSIGNED_LONGS_EQUAL(0, it.host.relay_port);
    UNSIGNED_LONGS_EQUAL(5, it.renewed_ms);
}

namespace {

// Entries of other writers that cannot be decoded.
std::vector<std::string> odd_specs()
{
    auto const nested = std::string(5000, '[') + "1" + std::string(5000, ']');
    return {
        R"({"backend": )" + nested + "}",
        nested,
        "1e99999",
        replaced(upstream_text, "1500", "1" + std::string(400, '0')),
        replaced(upstream_text, "1500", "1e999999999"),
        replaced(upstream_text, "\"max_concurrency\": 2",
                 "\"max_concurrency\": 99999999999999999999999"),
        replaced(upstream_text, "8080", "80800"),
        replaced(upstream_text, "8080", "99999999999999999999"),
        replaced(upstream_text, "\"s1\"", "\"s\xff\xfe\""),
        replaced(upstream_text, "\"s1\"", "\"s\\ud800\""),
    };
}

} // namespace

// Guards against one odd entry that hides all other entries of a listing, so
// that a host follows the list no longer, or that ends the host.
TEST(documents, an_odd_entry_hides_no_other_entry)
{
    for (auto const& spec : odd_specs()) {
        auto const text = R"({"items": [{"meta": {"name": "odd"}, "spec": )" +
                          spec + R"(}, {"meta": {"name": "good"}, "spec": )" +
                          upstream_text +
                          R"(}], "truncated": true, "store_revision": 9})";
        auto const out = decode_page(store_kind::upstreams, text);
        CHECK(out.has_value());
        UNSIGNED_LONGS_EQUAL(9, out->revision);
        CHECK(out->truncated);
        UNSIGNED_LONGS_EQUAL(2, out->entries.size());
        STRCMP_EQUAL("odd", out->entries[0].name.c_str());
        STRCMP_EQUAL("good", out->entries[1].name.c_str());
        CHECK(std::holds_alternative<upstream_record>(out->entries[1].value));
    }
}

// The same for the events of a watch. An entry that was good and is odd now
// names no upstream any more.
TEST(documents, an_odd_event_hides_no_other_event)
{
    for (auto const& spec : odd_specs()) {
        auto const text =
            R"({"events": [{"object": {"meta": {"name": "odd"}, "spec": )" +
            spec +
            R"(}, "deleted": false}, {"object": {"meta": {"name": "good"},
                "spec": )" +
            upstream_text + R"(}, "deleted": true}], "store_revision": 9})";
        auto const out = decode_events(store_kind::upstreams, text);
        CHECK(out.has_value());
        UNSIGNED_LONGS_EQUAL(9, out->revision);
        UNSIGNED_LONGS_EQUAL(2, out->events.size());
        STRCMP_EQUAL("odd", out->events[0].entry.name.c_str());
        STRCMP_EQUAL("good", out->events[1].entry.name.c_str());
        CHECK(out->events[1].deleted);
    }
}

// Guards against times that overflow.
TEST(documents, a_time_beyond_all_bounds_is_cut)
{
    auto const value = decode(store_kind::upstreams, "i-1",
                              replaced(upstream_text, "1500", "1e300"));
    auto const* const it = std::get_if<upstream_record>(&value);
    CHECK(it && it->cold_left > duration::zero());
    CHECK(it->cold_left < std::chrono::hours(24 * 366));
}

// Guards against a truncated or foreign text that is taken for a listing.
TEST(documents, a_text_that_ends_early_is_no_listing)
{
    auto const whole = page("i-1", upstream_text);
    for (std::size_t n = 0; n < whole.size(); ++n) {
        CHECK_FALSE(
            decode_page(store_kind::upstreams, whole.substr(0, n)).has_value());
    }
}
