#pragma once

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace snipemill {

// Refers to an entry of a slot_map. A handle outlives its entry safely: the
// generation no longer matches once the slot has been released.
struct slot_handle
{
    std::uint32_t index = 0;
    std::uint32_t generation = 0;

    friend bool operator==(slot_handle, slot_handle) = default;

    constexpr std::uint64_t packed() const
    {
        return (std::uint64_t{generation} << 32) | index;
    }
    static constexpr slot_handle unpack(std::uint64_t v)
    {
        return {static_cast<std::uint32_t>(v),
                static_cast<std::uint32_t>(v >> 32)};
    }
};

// Storage with stable handles. Slots are reused, generations are not, so a
// late message that carries an old handle finds nothing.
template <class T>
class slot_map
{
public:
    explicit slot_map(std::size_t capacity = 0)
    {
        slots_.reserve(capacity);
        free_.reserve(capacity);
    }

    slot_handle insert(T value)
    {
        if (free_.empty()) {
            free_.push_back(static_cast<std::uint32_t>(slots_.size()));
            slots_.emplace_back();
        }
        auto const index = free_.back();
        free_.pop_back();
        slots_[index].value.emplace(std::move(value));
        return {index, slots_[index].generation};
    }

    T* find(slot_handle h)
    {
        if (h.index >= slots_.size()) {
            return nullptr;
        }
        auto& it = slots_[h.index];
        if (it.generation != h.generation || !it.value) {
            return nullptr;
        }
        return &*it.value;
    }

    void erase(slot_handle h)
    {
        assert(find(h) != nullptr);
        auto& it = slots_[h.index];
        it.value.reset();
        ++it.generation;
        free_.push_back(h.index);
    }

    std::size_t size() const { return slots_.size() - free_.size(); }
    bool empty() const { return size() == 0; }

    // Calls f(handle, value) for every entry, in slot order.
    template <class F>
    void for_each(F f)
    {
        for (std::uint32_t i = 0; i < slots_.size(); ++i) {
            if (slots_[i].value) {
                f(slot_handle{i, slots_[i].generation}, *slots_[i].value);
            }
        }
    }

private:
    struct slot
    {
        // Starts at 1, so that a default handle never matches.
        std::uint32_t generation = 1;
        std::optional<T> value;
    };

    std::vector<slot> slots_;
    std::vector<std::uint32_t> free_;
};

} // namespace snipemill
