#ifndef WALNUTMILL_TEST_STANDIN_BATCH_HPP
#define WALNUTMILL_TEST_STANDIN_BATCH_HPP

/// \file
/// Continuous batching of the stand-in engine: one thread decodes a token of
/// every running request in each step.

#include "standin_cache.hpp"
#include "standin_generation.hpp"
#include "standin_role.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace walnutmill::standin
{

/// What an engine reports of its load.
struct load_sample
{
    std::int64_t at_us = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::uint64_t cache_used = 0;
};

/// The engine's batch and cache. Thread-safe.
class batch
{
public:
    explicit batch(surroundings& around);
    ~batch();
    batch(batch const&) = delete;
    batch& operator=(batch const&) = delete;

    /// Takes a request, or resumes the one of that id.
    void submit(nlohmann::json const& body, responder const& answer);
    void cancel(std::string const& request);
    /// Ends all that runs without an answer, as when power goes.
    void cut_all();
    std::size_t running() const;
    /// \return the newest sample that is at least as old as the lag.
    load_sample load() const;

    nlohmann::json holds() const;
    bool release_hold(std::string const& program);
    nlohmann::json events_after(std::uint64_t id) const;
    /// \return nullptr JSON when nothing is cached of the program.
    nlohmann::json export_prefix(std::string const& program) const;
    void import_prefix(nlohmann::json const& body);
    void clear_cache();

private:
    using generation_ptr = std::shared_ptr<generation>;

    generation_ptr start(nlohmann::json const& body);
    void decode_forever();
    void step(std::int64_t now);
    void admit_waiting();
    void advance(generation& one);
    void finish(generation& one, std::int64_t now);
    void send_new_tokens(generation& one);
    void forget_old();
    void note_hold(generation const& one, std::int64_t now);

    surroundings& around_;
    mutable std::mutex mutex_;
    prefix_cache cache_;
    std::map<std::string, generation_ptr> known_;
    std::deque<std::string> ended_;
    std::vector<generation_ptr> running_;
    std::vector<generation_ptr> waiting_;
    std::deque<load_sample> samples_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace walnutmill::standin

#endif
