#include "core/accounts/caller_identity.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace snipemill;

TEST_GROUP(account_index)
{
    std::vector<client_account> accounts{
        {.name = "a", .keys = {"key-a1", "key-a2"}},
        {.name = "b", .keys = {"key-b"}, .priority = 0}};
    account_index index{accounts, 17};

    client_account const* holder(std::vector<std::string_view> const& values)
    {
        return identify(&index, values).account;
    }
};

// Guards against taking the key of one account for that of another, and against
// accepting a key that no account holds.
TEST(account_index, finds_the_account_that_holds_the_key)
{
    POINTERS_EQUAL(&accounts[0], index.find("key-a1"));
    POINTERS_EQUAL(&accounts[0], index.find("key-a2"));
    POINTERS_EQUAL(&accounts[1], index.find("key-b"));
    POINTERS_EQUAL(nullptr, index.find("key"));
    POINTERS_EQUAL(nullptr, index.find("key-b2"));
    POINTERS_EQUAL(nullptr, index.find(""));
    POINTERS_EQUAL(&accounts[1], index.by_name("b"));
    POINTERS_EQUAL(nullptr, index.by_name("key-b"));
}

// Guards against a key that is read with its scheme or with spaces, and against
// credentials of another scheme.
TEST(account_index, reads_the_key_of_a_bearer_credential)
{
    POINTERS_EQUAL(&accounts[1], holder({"Bearer key-b"}));
    POINTERS_EQUAL(&accounts[1], holder({"bearer  key-b"}));
    POINTERS_EQUAL(nullptr, holder({"key-b"}));
    POINTERS_EQUAL(nullptr, holder({"Basic key-b"}));
    POINTERS_EQUAL(nullptr, holder({"Bearerkey-b"}));
    POINTERS_EQUAL(nullptr, holder({"Bearer"}));
    POINTERS_EQUAL(nullptr, holder({"Bearer "}));
    POINTERS_EQUAL(nullptr, holder({""}));
}

// Guards against a request with two credentials that runs for one account and
// is counted for another.
TEST(account_index, several_credentials_identify_nobody)
{
    POINTERS_EQUAL(nullptr, holder({"Bearer key-a1", "Bearer key-b"}));
    POINTERS_EQUAL(nullptr, holder({"Bearer key-b", "Bearer key-b"}));
}

// Guards against refusing callers of a deployment without accounts, and against
// serving a request without a key on a route that is not public.
TEST(account_index, only_public_routes_need_no_key)
{
    CHECK(is_authorised(identify(nullptr, {"Bearer any"}), false));
    CHECK(is_authorised(identify(nullptr, {}), false));
    CHECK_FALSE(is_authorised(identify(&index, {}), false));
    CHECK_FALSE(is_authorised(identify(&index, {"Bearer gone"}), false));
    CHECK(is_authorised(identify(&index, {}), true));
    CHECK(is_authorised(identify(&index, {"Bearer key-a1"}), false));
}

// Guards against a manifest whose last account has been removed, after which
// nobody may be served without a key.
TEST(account_index, accounts_stay_in_force_when_none_is_left)
{
    std::vector<client_account> const none;
    account_index const empty(none, 1);
    CHECK_FALSE(is_authorised(identify(&empty, {"Bearer key-b"}), false));
}
