#ifndef WALNUTMILL_SUPPORT_SOAK_PROCESS_HPP
#define WALNUTMILL_SUPPORT_SOAK_PROCESS_HPP

/// \file
/// One process that a soak starts, signals and ends by its id.

#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace walnutmill
{
namespace soak
{

/// One thread at a time starts it or waits for it; others may signal it
/// meanwhile.
class child_process
{
public:
    /// \param words the program and its arguments
    /// \param log gets what it writes, appended
    child_process(std::vector<std::string> words, std::string log);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// \throws std::runtime_error where no process could be started
    void start();
    void signal(int number) const;
    /// Waits until it has ended.
    /// \return its exit code, or 128 and the signal that ended it
    int wait();
    /// \return true from a start until its end has been waited for
    bool running() const;
    /// \return how often it was started
    int starts() const;

private:
    std::vector<std::string> words_;
    std::string log_;
    /// Guards the members below, so that no signal goes to another process
    /// that has got the id anew.
    mutable std::mutex mutex_;
    pid_t id_ = 0;
    int starts_ = 0;
};

} // namespace soak
} // namespace walnutmill

#endif
