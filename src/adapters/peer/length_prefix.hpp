#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace snipemill {

// Appends a message with its length in front (4 bytes, big endian).
void append_message(std::string& out, std::string_view message);

// Splits a sequence of bytes into length-prefixed messages.
class message_splitter
{
public:
    explicit message_splitter(std::size_t max_message) : max_(max_message) {}

    // Calls f for each complete message. Returns false when a message is
    // larger than allowed; nothing more may be fed then.
    bool feed(std::string_view bytes,
              std::function<void(std::string)> const& f);
    // Whether part of a message has arrived.
    bool partial() const { return !pending_.empty(); }
    std::size_t pending_bytes() const { return pending_.size(); }

private:
    std::size_t take(std::string_view bytes,
                     std::function<void(std::string)> const& f);

    std::size_t max_;
    bool too_large_ = false;
    std::string pending_;
};

} // namespace snipemill
