#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace testbed {

// A program started for a test or measurement. It is killed when the object
// goes out of scope.
class child_process
{
public:
    // argv[0] is the path of the program. Standard error goes to the file, or
    // to this process's standard error when the name is empty; standard output
    // to its file, or to read_line and read_all.
    explicit child_process(std::vector<std::string> argv,
                           std::string const& stderr_file = {},
                           std::string const& stdout_file = {});
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    // Next line of standard output; throws std::runtime_error when the
    // program ends or the time is over before a line is complete.
    std::string read_line(
        std::chrono::milliseconds limit = std::chrono::milliseconds(20'000));
    // Everything until the program ends.
    std::string read_all();

    void signal(int number) const;
    // Waits for the end and returns the exit code, 128 + N after signal N.
    int wait();
    bool running();
    pid_t pid() const { return pid_; }

private:
    bool fill(int timeout_ms);

    pid_t pid_ = -1;
    int out_ = -1;
    int status_ = -1;
    std::string buffer_;
};

// Runs a program to its end.
struct program_result
{
    int code = 0;
    std::string output;
};
program_result run_program(std::vector<std::string> argv,
                           std::string const& stderr_file = {});

// Processor time of a process in seconds, and its resident memory in bytes.
struct process_usage
{
    double cpu_seconds = 0;
    double resident_bytes = 0;
};
process_usage usage_of(pid_t pid);

} // namespace testbed
