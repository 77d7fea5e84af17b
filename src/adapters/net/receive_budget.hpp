#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

namespace snipemill {

// Memory that peers make this process hold, shared by receivers. Load pattern:
// peers that send without end or do not read, each less than a message may
// have. When the memory is used up, the receiver that holds most for longest
// is ended, so that small and young requests go on.
//
// The kinds of peers of one thread have budgets with a common parent. When the
// parent is used up, the receiver to end is one of a kind that holds more than
// its reserved part. The reserved parts must add up to at most the limit of the
// parent. A budget and its parent belong to one thread.
class receive_budget
{
public:
    explicit receive_budget(std::size_t limit) : limit_(limit) {}
    receive_budget(std::shared_ptr<receive_budget> parent, std::size_t limit,
                   std::size_t reserved);
    ~receive_budget();
    receive_budget(receive_budget const&) = delete;
    receive_budget& operator=(receive_budget const&) = delete;

    std::size_t used() const { return used_; } // bytes
    std::size_t limit() const { return limit_; }
    std::uint64_t ended() const { return ended_; }

    // Part of one receiver.
    class share
    {
    public:
        // `end` has to end the receiver, whose part is then released. It is not
        // called inside a call of this receiver.
        share(std::shared_ptr<receive_budget> budget,
              std::function<void()> end);
        ~share() { release(); }
        share(share const&) = delete;
        share& operator=(share const&) = delete;

        // The receiver holds n bytes, or n bytes more. Returns false when this
        // receiver has to end.
        [[nodiscard]] bool hold(std::size_t n);
        [[nodiscard]] bool add(std::size_t n) { return hold(size_ + n); }
        void release();

    private:
        friend class receive_budget;

        std::shared_ptr<receive_budget> budget_;
        std::function<void()> end_;
        std::size_t size_ = 0;
        std::chrono::steady_clock::time_point since_{}; // has held bytes
    };

private:
    void change(std::size_t from, std::size_t to);
    // The receiver to end next, or null when everything fits.
    share* over_limit() const;
    share* heaviest(std::chrono::steady_clock::time_point now) const;
    share* heaviest_of_kinds() const;

    std::shared_ptr<receive_budget> parent_;
    std::size_t limit_;
    std::size_t reserved_ = 0;
    std::size_t used_ = 0;
    std::uint64_t ended_ = 0;
    std::unordered_set<share*> shares_;         // that hold bytes
    std::unordered_set<receive_budget*> kinds_; // children
};

} // namespace snipemill
