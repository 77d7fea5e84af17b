#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

namespace snipemill {

// Memory for messages that are being received, shared by receivers. Load
// pattern: peers that send without end, each less than a message may have. When
// the memory is used up, the receiver that holds most is ended.
class receive_budget
{
public:
    explicit receive_budget(std::size_t limit) : limit_(limit) {}
    receive_budget(receive_budget const&) = delete;
    receive_budget& operator=(receive_budget const&) = delete;

    std::size_t used() const { return used_; } // bytes
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
    };

private:
    std::size_t limit_;
    std::size_t used_ = 0;
    std::uint64_t ended_ = 0;
    std::unordered_set<share*> shares_; // that hold bytes
};

} // namespace snipemill
