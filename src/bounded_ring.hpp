#ifndef WALNUTMILL_SRC_BOUNDED_RING_HPP
#define WALNUTMILL_SRC_BOUNDED_RING_HPP

/// \file
/// The ring that joins two duties' threads: Boost.CircularBuffer
/// behind a mutex, with a timed wait.

#include <walnutmill/clock.hpp>

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace walnutmill
{

/// A bounded first-in first-out ring for many producers and one consumer.
template<class T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : items_(capacity) {}

    /// \return false when the ring is full or closed.
    bool try_push(T item)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (closed_ || items_.full())
            return false;
        items_.push_back(std::move(item));
        filled_.notify_one();
        return true;
    }

    /// Waits for room. \return false when the ring is closed.
    bool push(T item)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        drained_.wait(lock, [this] { return closed_ || !items_.full(); });
        if (closed_)
            return false;
        items_.push_back(std::move(item));
        filled_.notify_one();
        return true;
    }

    /// Takes all that is there, waiting up to `longest` for the first item.
    std::vector<T> take_all(duration longest)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        filled_.wait_for(
            lock, longest, [this] { return closed_ || !items_.empty(); });
        std::vector<T> taken;
        taken.reserve(items_.size());
        for (auto& item : items_)
            taken.push_back(std::move(item));
        items_.clear();
        drained_.notify_all();
        return taken;
    }

    /// Ends all waits; what is in the ring can still be taken.
    void close()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        closed_ = true;
        filled_.notify_all();
        drained_.notify_all();
    }

    std::size_t size() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return items_.size();
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable filled_;
    std::condition_variable drained_;
    boost::circular_buffer<T> items_;
    bool closed_ = false;
};

} // namespace walnutmill

#endif
