#include "adapters/peer/length_prefix.hpp"

#include <cstdint>

namespace snipemill {

namespace {

constexpr std::size_t prefix_size = 4;

std::size_t read_length(std::string_view bytes)
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < prefix_size; ++i) {
        n = (n << 8) | static_cast<unsigned char>(bytes[i]);
    }
    return n;
}

} // namespace

void append_message(std::string& out, std::string_view message)
{
    auto const n = static_cast<std::uint32_t>(message.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((n >> shift) & 0xff));
    }
    out.append(message);
}

bool message_splitter::feed(std::string_view bytes,
                            std::function<void(std::string)> const& f)
{
    if (pending_.empty()) {
        auto const used = take(bytes, f);
        pending_.assign(bytes.substr(used));
    }
    else {
        pending_.append(bytes);
        pending_.erase(0, take(pending_, f));
    }
    return !too_large_;
}

// Returns the number of bytes of the complete messages.
std::size_t message_splitter::take(std::string_view bytes,
                                   std::function<void(std::string)> const& f)
{
    std::size_t at = 0;
    while (bytes.size() - at >= prefix_size) {
        auto const n = read_length(bytes.substr(at));
        too_large_ = n > max_;
        if (too_large_ || bytes.size() - at - prefix_size < n) {
            break;
        }
        f(std::string(bytes.substr(at + prefix_size, n)));
        at += prefix_size + n;
    }
    return at;
}

} // namespace snipemill
