#pragma once

#include <cstddef>
#include <memory>

namespace snipemill {

// Allocator that counts the bytes that it has handed out, for containers whose
// memory is many times their content, such as parsed header fields. The counter
// must outlive the container.
template <class T>
class counting_allocator
{
public:
    using value_type = T;

    counting_allocator() = default;
    explicit counting_allocator(std::size_t* bytes) : bytes_(bytes) {}
    template <class U>
    counting_allocator(counting_allocator<U> const& it) // NOLINT: converts
        : bytes_(it.bytes())
    {}

    T* allocate(std::size_t n)
    {
        auto* const it = std::allocator<T>().allocate(n);
        if (bytes_) {
            *bytes_ += size_of(n);
        }
        return it;
    }
    void deallocate(T* it, std::size_t n)
    {
        std::allocator<T>().deallocate(it, n);
        if (bytes_) {
            *bytes_ -= size_of(n);
        }
    }
    std::size_t* bytes() const { return bytes_; }

    template <class U>
    bool operator==(counting_allocator<U> const& other) const
    {
        return bytes_ == other.bytes();
    }

private:
    // With the bookkeeping of the heap for each block.
    static std::size_t size_of(std::size_t n) { return n * sizeof(T) + 16; }

    std::size_t* bytes_ = nullptr;
};

} // namespace snipemill
