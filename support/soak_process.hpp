#ifndef WALNUTMILL_SUPPORT_SOAK_PROCESS_HPP
#define WALNUTMILL_SUPPORT_SOAK_PROCESS_HPP

/// \file
/// One process that a soak starts, signals and ends by its id.

#include <string>
#include <sys/types.h>
#include <vector>

namespace walnutmill
{
namespace soak
{

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
    bool running() const { return id_ > 0; }

private:
    std::vector<std::string> words_;
    std::string log_;
    pid_t id_ = 0;
};

} // namespace soak
} // namespace walnutmill

#endif
