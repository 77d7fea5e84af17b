#include "adapters/net/receive_budget.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

receive_budget::share::share(std::shared_ptr<receive_budget> budget,
                             std::function<void()> end)
    : budget_(std::move(budget)), end_(std::move(end))
{}

bool receive_budget::share::hold(std::size_t n)
{
    auto& budget = *budget_;
    if (n == 0) {
        release();
        return true;
    }
    budget.used_ = budget.used_ - size_ + n;
    size_ = n;
    budget.shares_.insert(this);
    while (budget.used_ > budget.limit_) {
        auto* const largest = *std::max_element(
            budget.shares_.begin(), budget.shares_.end(),
            [](auto* a, auto* b) { return a->size_ < b->size_; });
        ++budget.ended_;
        largest->release();
        if (largest == this) {
            return false;
        }
        largest->end_();
    }
    return true;
}

void receive_budget::share::release()
{
    budget_->used_ -= std::exchange(size_, 0);
    budget_->shares_.erase(this);
}

} // namespace snipemill
