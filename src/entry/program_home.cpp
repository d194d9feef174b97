#include "entry/program_home.hpp"

#include <walnutmill/hash.hpp>

#include <utility>

namespace walnutmill
{

program_homes::program_homes(std::string self, home_options options)
    : self_(std::move(self)), options_(options)
{
}

void program_homes::set_nodes(std::vector<home_candidate> others)
{
    others_ = std::move(others);
    knows_nodes_ = true;
}

home_candidate const*
program_homes::home_of(std::string_view key, time_point now) const
{
    home_candidate const* best = nullptr;
    auto best_weight =
        self_.empty() ? std::uint64_t{0} : rendezvous_weight(key, self_);
    for (auto const& one : others_)
    {
        auto const weight = rendezvous_weight(key, one.node);
        if (weight <= best_weight)
            continue;
        auto const found = passed_over_until_.find(one.node);
        if (found != passed_over_until_.end() && found->second > now)
            continue;
        best = &one;
        best_weight = weight;
    }
    return best;
}

void program_homes::did_not_answer(std::string const& node, time_point now)
{
    passed_over_until_[node] = now + options_.passed_over_for;
}

void program_homes::answered(std::string const& node)
{
    passed_over_until_.erase(node);
}

} // namespace walnutmill
