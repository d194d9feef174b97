#include "soak_process.hpp"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace walnutmill
{
namespace soak
{

child_process::child_process(std::vector<std::string> words, std::string log)
    : words_(std::move(words)), log_(std::move(log))
{
}

child_process::~child_process()
{
    if (!running())
        return;
    signal(SIGKILL);
    wait();
}

void child_process::start()
{
    std::vector<char*> arguments;
    for (auto& word : words_)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::lock_guard<std::mutex> const lock(mutex_);
    id_ = ::fork();
    if (id_ < 0)
        throw std::runtime_error("no process could be started");
    if (id_ > 0)
    {
        ++starts_;
        return;
    }
    // Only calls that are safe after a fork of a process with threads.
    constexpr int log_mode = 0644;
    auto const file =
        ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, log_mode);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    // A connection of the parent that the child kept open would never end.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments[0], arguments.data());
    constexpr int not_found = 127;
    ::_exit(not_found);
}

void child_process::signal(int number) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (id_ > 0)
        ::kill(id_, number);
}

bool child_process::running() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return id_ > 0;
}

int child_process::starts() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return starts_;
}

int child_process::wait()
{
    pid_t id = 0;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        id = id_;
    }
    // The id stays taken until the lock is held.
    siginfo_t ended{};
    while (id > 0 &&
           ::waitid(P_PID, static_cast<id_t>(id), &ended, WEXITED | WNOWAIT) <
               0)
    {
        if (errno != EINTR)
            break;
    }
    std::lock_guard<std::mutex> const lock(mutex_);
    int status = 0;
    while (id > 0 && ::waitpid(id, &status, 0) < 0)
    {
        if (errno != EINTR)
            break;
    }
    id_ = 0;
    constexpr int by_signal = 128;
    return WIFSIGNALED(status) ? by_signal + WTERMSIG(status)
                               : WEXITSTATUS(status);
}

} // namespace soak
} // namespace walnutmill
