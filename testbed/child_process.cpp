#include "testbed/child_process.hpp"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace testbed {

namespace {

int exit_code(int status)
{
    return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

} // namespace

child_process::child_process(std::vector<std::string> argv,
                             std::string const& stderr_file,
                             std::string const& stdout_file)
{
    std::array<int, 2> pipe_ends{};
    if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    if (!stdout_file.empty()) {
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                         stdout_file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    if (!stderr_file.empty()) {
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO,
                                         stderr_file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    std::vector<char*> arguments;
    arguments.reserve(argv.size() + 1);
    for (auto& it : argv) {
        arguments.push_back(it.data());
    }
    arguments.push_back(nullptr);
    auto const ec = posix_spawn(&pid_, argv[0].c_str(), &actions, nullptr,
                                arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    out_ = pipe_ends[0];
    if (ec != 0) {
        close(out_);
        throw std::runtime_error("cannot start " + argv[0]);
    }
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), out_(std::exchange(other.out_, -1)),
      status_(other.status_), buffer_(std::move(other.buffer_))
{}

child_process::~child_process()
{
    if (pid_ > 0 && status_ == -1) {
        ::kill(pid_, SIGKILL);
        // A stopped process does not end before it continues.
        ::kill(pid_, SIGCONT);
        wait();
    }
    if (out_ >= 0) {
        close(out_);
    }
}

bool child_process::fill(int timeout_ms)
{
    pollfd poller{.fd = out_, .events = POLLIN, .revents = 0};
    if (poll(&poller, 1, timeout_ms) <= 0) {
        return false;
    }
    std::array<char, 4096> chunk{};
    auto const n = read(out_, chunk.data(), chunk.size());
    if (n <= 0) {
        return false;
    }
    buffer_.append(chunk.data(), static_cast<std::size_t>(n));
    return true;
}

std::string child_process::read_line(std::chrono::milliseconds limit)
{
    auto const deadline = std::chrono::steady_clock::now() + limit;
    for (;;) {
        auto const end = buffer_.find('\n');
        if (end != std::string::npos) {
            auto line = buffer_.substr(0, end);
            buffer_.erase(0, end + 1);
            return line;
        }
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        if (left.count() <= 0 || !fill(static_cast<int>(left.count()))) {
            throw std::runtime_error("no line from process " +
                                     std::to_string(pid_));
        }
    }
}

std::string child_process::read_all()
{
    while (fill(-1)) {
    }
    return std::exchange(buffer_, {});
}

void child_process::signal(int number) const
{
    ::kill(pid_, number);
}

int child_process::wait()
{
    if (status_ == -1) {
        int status = 0;
        while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
        }
        status_ = exit_code(status);
    }
    return status_;
}

bool child_process::running()
{
    if (status_ != -1) {
        return false;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
        status_ = exit_code(status);
        return false;
    }
    return true;
}

program_result run_program(std::vector<std::string> argv,
                           std::string const& stderr_file)
{
    child_process process(std::move(argv), stderr_file);
    program_result out;
    out.output = process.read_all();
    out.code = process.wait();
    return out;
}

process_usage usage_of(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(in)), {});
    // The name in parentheses may hold spaces; fields count from after it.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> values;
    for (std::string it; fields >> it;) {
        values.push_back(it);
    }
    // Fields 14, 15 and 24 of proc(5): user time, system time, pages.
    constexpr std::size_t user_time = 11;
    constexpr std::size_t system_time = 12;
    constexpr std::size_t resident_pages = 21;
    if (values.size() <= resident_pages) {
        return {};
    }
    auto const ticks =
        std::stod(values[user_time]) + std::stod(values[system_time]);
    return {.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
            .resident_bytes = std::stod(values[resident_pages]) *
                              static_cast<double>(sysconf(_SC_PAGESIZE))};
}

} // namespace testbed
