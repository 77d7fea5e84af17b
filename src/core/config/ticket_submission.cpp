#include "core/config/ticket_submission.hpp"

#include "core/config/config_size.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace snipemill {

namespace {

// The platform stores values up to a megabyte; the rest is room for JSON
// escapes and, in the head, for the tickets kept beside a large one.
constexpr std::size_t max_ticket_bytes = 640 * 1024;
constexpr std::size_t max_state_bytes = 960 * 1024;

// A cut keeps this much, so that hosts slightly behind read tickets instead
// of the whole state, and not every following submission has to cut again.
constexpr std::size_t kept_tickets = max_head_tickets / 2;
constexpr std::size_t kept_bytes = max_head_bytes / 2;

ticket_summary summary_of(ticket const& t)
{
    return {t.number, t.author, t.reason, t.nonce};
}

std::optional<ticket_summary> find_nonce(head_and_state const& read,
                                         std::string const& nonce)
{
    for (auto const& it : read.head.tickets) {
        if (it.nonce == nonce) {
            return summary_of(it);
        }
    }
    for (auto const& it : read.state.history) {
        if (it.nonce == nonce) {
            return it;
        }
    }
    return std::nullopt;
}

ticket_summary find_number(head_and_state const& read, std::uint64_t number)
{
    for (auto const& it : read.head.tickets) {
        if (it.number == number) {
            return summary_of(it);
        }
    }
    for (auto const& it : read.state.history) {
        if (it.number == number) {
            return it;
        }
    }
    // Older than the history: only the number is known.
    return {.number = number};
}

// The two objects are read one after the other; a writer in between makes
// them disagree.
bool consistent(head_and_state const& read)
{
    return read.head.base <= read.state.number &&
           read.state.number <= read.head.number;
}

// The whole state as of the head's number.
config_snapshot state_of(head_and_state const& read)
{
    auto state = read.state;
    for (auto const& it : read.head.tickets) {
        if (it.number == state.number + 1) {
            apply_ticket(state, it);
        }
    }
    return state;
}

bool over_limits(config_head const& head)
{
    std::size_t bytes = 0;
    for (auto const& it : head.tickets) {
        bytes += estimated_size(it);
    }
    return head.tickets.size() > max_head_tickets || bytes > max_head_bytes;
}

// Removes the oldest tickets; the newest always stays.
void cut(config_head& head)
{
    std::size_t bytes = 0;
    std::size_t kept = 0;
    for (auto it = head.tickets.rbegin(); it != head.tickets.rend(); ++it) {
        bytes += estimated_size(*it);
        if (kept > 0 && (kept == kept_tickets || bytes > kept_bytes)) {
            break;
        }
        ++kept;
    }
    auto const first =
        std::prev(head.tickets.end(), static_cast<std::ptrdiff_t>(kept));
    head.tickets.erase(head.tickets.begin(), first);
    head.base = head.number - kept;
}

std::vector<ticket_fault> size_faults(config_snapshot const& next,
                                      ticket const& change)
{
    std::vector<ticket_fault> faults;
    if (estimated_size(change) > max_ticket_bytes) {
        faults.push_back({"", "ticket is larger than 640 KB"});
    }
    if (estimated_size(next) > max_state_bytes) {
        faults.push_back({"", "configuration would be larger than 960 KB"});
    }
    return faults;
}

} // namespace

ticket_submission::ticket_submission(ticket change, std::uint32_t max_attempts)
    : change_(std::move(change)), takes_next_number_(change_.number == 0),
      attempts_left_(max_attempts)
{}

submission_step ticket_submission::start()
{
    // Without a nonce a lost answer could not be resolved.
    if (change_.nonce.empty()) {
        return submission_result(
            ticket_invalid{.faults = {{"", "nonce is empty"}}});
    }
    return read_head_and_state{};
}

submission_step ticket_submission::on_read(head_and_state const& read)
{
    if (!consistent(read)) {
        if (attempts_left_ == 0) {
            return submission_result(ticket_unavailable{maybe_written_});
        }
        --attempts_left_;
        return read_head_and_state{};
    }
    return resolve(read);
}

submission_step ticket_submission::on_read_failed()
{
    return submission_result(ticket_unavailable{maybe_written_});
}

submission_step ticket_submission::on_written(write_result result)
{
    if (!writing_head_) {
        if (result == write_result::written) {
            last_read_.state = state_of(last_read_);
            return next_write(last_read_);
        }
        // Another submitter advanced the state, or the answer was lost;
        // either way the state is only ever written forward.
        return read_head_and_state{};
    }
    if (result == write_result::written) {
        return submission_result(ticket_accepted{change_.number});
    }
    maybe_written_ = maybe_written_ || result == write_result::unavailable;
    return read_head_and_state{};
}

submission_step ticket_submission::resolve(head_and_state const& read)
{
    if (auto const own = find_nonce(read, change_.nonce)) {
        return submission_result(ticket_accepted{own->number});
    }
    // A write that is still under way needs the version that it was sent
    // with; once the head has another version it cannot take effect.
    if (read.head_version != last_read_.head_version) {
        maybe_written_ = false;
    }
    auto const next = read.head.number + 1;
    auto const tried = change_.number;
    if (!takes_next_number_ && tried < next && tried > 0) {
        return submission_result(
            ticket_conflict{tried, find_number(read, tried)});
    }
    if (attempts_left_ == 0) {
        if (maybe_written_ || tried == 0 || tried >= next) {
            return submission_result(ticket_unavailable{maybe_written_});
        }
        return submission_result(
            ticket_conflict{tried, find_number(read, tried)});
    }
    --attempts_left_;
    if (takes_next_number_) {
        change_.number = next;
    }
    last_read_ = read;
    auto state = state_of(read);
    auto faults = check_ticket(state, change_);
    if (faults.empty()) {
        apply_ticket(state, change_);
        faults = size_faults(state, change_);
    }
    if (!faults.empty()) {
        return submission_result(ticket_invalid{std::move(faults)});
    }
    return next_write(read);
}

submission_step ticket_submission::next_write(head_and_state const& read)
{
    auto head = read.head;
    head.number = change_.number;
    head.tickets.push_back(change_);
    if (over_limits(head)) {
        cut(head);
    }
    // The state goes first: a crash in between leaves tickets in the head
    // that the state already contains, never a gap.
    writing_head_ = head.base <= read.state.number;
    if (!writing_head_) {
        return write_state{read.state_version, state_of(read)};
    }
    return write_head{read.head_version, std::move(head)};
}

} // namespace snipemill
