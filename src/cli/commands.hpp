#pragma once

#include "cli/errors.hpp"

namespace snipemill::cli {

// Exit codes of the program; docs/cli.md lists them for operators.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;       // the request was refused
inline constexpr int exit_usage = 2;        // arguments, settings or ticket
inline constexpr int exit_conflict = 3;     // another ticket won
inline constexpr int exit_unavailable = 4;  // host or platform not reached
inline constexpr int exit_not_in_force = 5; // ticket wait ran out of time

// Each command takes its own name as argv[0] and returns an exit code.
leaf::result<int> run_serve(int argc, char** argv);
leaf::result<int> run_check_config(int argc, char** argv);
leaf::result<int> run_forward(int argc, char** argv);
leaf::result<int> run_check_forward(int argc, char** argv);
leaf::result<int> run_query(int argc, char** argv);
leaf::result<int> run_submit(int argc, char** argv);
leaf::result<int> run_status(int argc, char** argv);
leaf::result<int> run_ticket(int argc, char** argv);
leaf::result<int> run_timeline(int argc, char** argv);
leaf::result<int> run_crashes(int argc, char** argv);
leaf::result<int> run_version(int argc, char** argv);

} // namespace snipemill::cli
