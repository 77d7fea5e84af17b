#include "core/accounts/caller_identity.hpp"

#include <algorithm>

namespace snipemill {

namespace {

constexpr std::string_view scheme = "bearer";

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

// The key of "Bearer KEY", or nothing. The scheme's case does not matter.
std::string_view bearer_key(std::string_view text)
{
    bool const matches =
        text.size() > scheme.size() && text[scheme.size()] == ' ' &&
        std::equal(scheme.begin(), scheme.end(), text.begin(),
                   [](char a, char b) { return a == lower(b); });
    if (!matches) {
        return {};
    }
    text.remove_prefix(scheme.size());
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    return text;
}

} // namespace

bool is_authorised(caller_identity const& caller, bool public_route)
{
    return !caller.accounts_in_force || public_route || caller.account;
}

caller_identity identify(account_index const* index,
                         std::vector<std::string_view> const& authorization)
{
    if (!index) {
        return {};
    }
    caller_identity out{.accounts_in_force = true};
    if (authorization.size() == 1) {
        auto const key = bearer_key(authorization.front());
        out.account = key.empty() ? nullptr : index->find(key);
    }
    return out;
}

} // namespace snipemill
