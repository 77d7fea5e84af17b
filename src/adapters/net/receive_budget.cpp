#include "adapters/net/receive_budget.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

using steady = std::chrono::steady_clock;

// Added to the time for which a receiver has held bytes. Receivers that came
// within such a time of one another are compared by their size alone.
constexpr auto same_time = std::chrono::milliseconds(10);

} // namespace

receive_budget::receive_budget(std::shared_ptr<receive_budget> parent,
                               std::size_t limit, std::size_t reserved)
    : parent_(std::move(parent)), limit_(limit), reserved_(reserved)
{
    if (parent_) {
        parent_->kinds_.insert(this);
    }
}

receive_budget::~receive_budget()
{
    if (parent_) {
        parent_->kinds_.erase(this);
    }
}

void receive_budget::change(std::size_t from, std::size_t to)
{
    used_ = used_ - from + to;
    if (parent_) {
        parent_->change(from, to);
    }
}

receive_budget::share* receive_budget::over_limit() const
{
    if (used_ > limit_) {
        return heaviest(steady::now());
    }
    return parent_ && parent_->used_ > parent_->limit_
               ? parent_->heaviest_of_kinds()
               : nullptr;
}

receive_budget::share* receive_budget::heaviest(steady::time_point now) const
{
    auto const weight = [now](share const* it) {
        std::chrono::duration<double> const held = now - it->since_ + same_time;
        return static_cast<double>(it->size_) * held.count();
    };
    auto const it =
        std::max_element(shares_.begin(), shares_.end(), [&](auto* a, auto* b) {
            return weight(a) < weight(b);
        });
    return it == shares_.end() ? nullptr : *it;
}

// Of the kinds that hold more than their reserved part, the one that exceeds it
// most gives up a receiver.
receive_budget::share* receive_budget::heaviest_of_kinds() const
{
    receive_budget const* most = nullptr;
    auto const excess = [](receive_budget const& it) {
        return it.used_ > it.reserved_ ? it.used_ - it.reserved_ : 0;
    };
    for (auto const* const it : kinds_) {
        if (excess(*it) > 0 && (!most || excess(*it) > excess(*most))) {
            most = it;
        }
    }
    return most ? most->heaviest(steady::now()) : nullptr;
}

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
    if (size_ == 0) {
        since_ = steady::now();
        budget.shares_.insert(this);
    }
    budget.change(std::exchange(size_, n), n);
    while (auto* const it = budget.over_limit()) {
        ++it->budget_->ended_;
        it->release();
        if (it == this) {
            return false;
        }
        it->end_();
    }
    return true;
}

void receive_budget::share::release()
{
    if (size_ == 0) {
        return;
    }
    budget_->change(std::exchange(size_, 0), 0);
    budget_->shares_.erase(this);
}

} // namespace snipemill
