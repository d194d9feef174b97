#include "configuration_watch.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace walnutmill;

namespace
{

std::shared_ptr<configuration const> version(std::uint64_t number)
{
    auto config = std::make_shared<configuration>();
    config->version = number;
    return config;
}

} // namespace

TEST_CASE(
    "configuration watch, no newer version or a late old one, keeps its "
    "version",
    "[configuration_watch]")
{
    // The platform's answers in the order of reads; the last one repeats.
    std::vector<std::shared_ptr<configuration const>> const answers{
        nullptr, version(2), nullptr, version(1), version(3)};
    std::atomic<std::size_t> reads{0};
    std::promise<void> third;
    std::vector<std::uint64_t> applied;
    configuration_watch_hooks hooks;
    hooks.read = [&]() -> result<std::shared_ptr<configuration const>>
    { return answers[std::min(reads++, answers.size() - 1)]; };
    hooks.apply = [&](std::shared_ptr<configuration const> const& next)
    {
        applied.push_back(next->version);
        if (next->version == 3)
            third.set_value();
    };
    configuration_watch watch(std::chrono::milliseconds(1), hooks);
    third.get_future().wait();
    CHECK(watch.current()->version == 3);
    CHECK(applied == std::vector<std::uint64_t>{2, 3});
}
