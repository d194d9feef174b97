#ifndef WALNUTMILL_SRC_CONFIGURATION_WATCH_HPP
#define WALNUTMILL_SRC_CONFIGURATION_WATCH_HPP

/// \file
/// The thread that follows the configuration's head row.

#include <walnutmill/clock.hpp>
#include <walnutmill/configuration.hpp>
#include <walnutmill/result.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace walnutmill
{

struct configuration_watch_hooks
{
    /// Reads the configuration in force at the platform; nullptr: none is
    /// newer.
    std::function<result<std::shared_ptr<configuration const>>()> read;
    /// Puts a newer configuration in force at this node.
    std::function<void(std::shared_ptr<configuration const>)> apply;
};

/// Applies each version that is higher than the last. Thread-safe.
class configuration_watch
{
public:
    configuration_watch(duration period, configuration_watch_hooks hooks);
    ~configuration_watch();
    configuration_watch(configuration_watch const&) = delete;
    configuration_watch& operator=(configuration_watch const&) = delete;

    /// Reads at once instead of at the next period.
    void poke();
    /// \return what is in force here; version zero until it was first read.
    std::shared_ptr<configuration const> current() const;

private:
    void run();
    void round();

    duration period_;
    configuration_watch_hooks hooks_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool poked_ = false;
    bool stopping_ = false;
    std::shared_ptr<configuration const> current_;
    std::thread thread_;
};

} // namespace walnutmill

#endif
