#include "core/query/token_bucket.hpp"

#include <algorithm>

namespace snipemill {

void token_bucket::earn(double tokens)
{
    tokens_ = std::min(capacity_, tokens_ + tokens);
}

bool token_bucket::take()
{
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace snipemill
