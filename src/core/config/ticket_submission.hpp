#pragma once

#include "core/base/error.hpp"
#include "core/config/config_store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

// Version of a platform object; 0 means that the object does not exist.
using object_version = std::uint64_t;

struct read_head_and_state
{};

struct write_state
{
    object_version if_version = 0;
    config_snapshot state;
};

struct write_head
{
    object_version if_version = 0;
    config_head head;
};

struct ticket_accepted
{
    std::uint64_t number = 0;
};

// Another ticket took the number.
struct ticket_conflict
{
    std::uint64_t number = 0;
    ticket_summary winner;
};

struct ticket_invalid
{
    std::vector<ticket_fault> faults;
};

// The platform could not be reached; unknown tells whether the ticket may
// have been accepted.
struct ticket_unavailable
{
    bool unknown = false;
};

using submission_result = std::variant<ticket_accepted, ticket_conflict,
                                       ticket_invalid, ticket_unavailable>;

using submission_step = std::variant<read_head_and_state, write_state,
                                     write_head, submission_result>;

struct head_and_state
{
    object_version head_version = 0;
    config_head head;
    object_version state_version = 0;
    config_snapshot state;
};

enum class write_result : std::uint8_t
{
    written,
    conflict,
    unavailable
};

// Submits one ticket: one conditional update of config/head accepts it. Each
// call takes the outcome of the last step and returns the next step.
class ticket_submission
{
public:
    // A ticket with number 0 takes the next free number; another number must
    // be the next one.
    explicit ticket_submission(ticket change, std::uint32_t max_attempts = 8);

    submission_step start();
    submission_step on_read(head_and_state const& read);
    // Reading failed: the platform is unavailable.
    submission_step on_read_failed();
    submission_step on_written(write_result result);

private:
    submission_step resolve(head_and_state const& read);
    submission_step next_write(head_and_state const& read);

    ticket change_;
    bool takes_next_number_ = false;
    bool maybe_written_ = false; // a write of the head had no clear answer
    bool writing_head_ = false;
    std::uint32_t attempts_left_ = 0;
    head_and_state last_read_;
};

} // namespace snipemill
