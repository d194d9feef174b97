/// \file
/// What the nodes' logs say at the end of a soak, and when nodes were in
/// trouble.

#include "soak_world.hpp"

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>

namespace walnutmill
{
namespace soak
{

std::size_t soak_world::trouble_began(soak_node const& one)
{
    return add_trouble(one, now_ms(), std::numeric_limits<std::int64_t>::max());
}

std::size_t soak_world::add_trouble(
    soak_node const& one, std::int64_t began_ms, std::int64_t ended_ms)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    history_.troubles.push_back({one.name, began_ms, ended_ms});
    return history_.troubles.size() - 1;
}

void soak_world::trouble_ended(std::size_t trouble)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    history_.troubles[trouble].ended_ms = now_ms();
}

void soak_world::read_lines()
{
    for (auto const& one : processes_)
    {
        std::ifstream file(options_.directory + "/" + one->name + ".log");
        std::string text;
        while (std::getline(file, text))
        {
            // A process that is killed may leave the beginning of a line.
            auto const line = nlohmann::json::parse(text, nullptr, false);
            if (!line.is_object() || !line.contains("event"))
                continue;
            auto const event = line["event"].get<std::string>();
            if (event == "log.dropped")
                counts_["log lines dropped"] += line.value("lines", 0);
            if (event != "call.ended" && event != "request.unanswered" &&
                event != "node.start" && event != "configuration.applied")
                continue;
            testing::recorded_line to;
            to.node = one->name;
            to.time_ms = line.value("time_ms", std::int64_t{0});
            to.event = event;
            to.request = line.value("request", std::string());
            to.outcome = line.value("outcome", std::string());
            to.why = line.value("why", std::string());
            to.bytes = line.value("bytes", std::uint64_t{0});
            if (event == "request.unanswered")
                ++counts_["lines of bytes not answered: " + to.why];
            history_.lines.push_back(std::move(to));
        }
    }
}

} // namespace soak
} // namespace walnutmill
