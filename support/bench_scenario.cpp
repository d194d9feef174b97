#include "bench_scenario.hpp"

#include <algorithm>

namespace walnutmill::bench
{

namespace
{

double capacity_of_pool(scenario const& of, pool on)
{
    auto const& spec = of.size.spec_of(on);
    auto count = of.size.count_of(on);
    if (on == pool::engines && of.load_engines > 0)
        count = of.load_engines;
    return count * capacity_of(demand_of(of.mix, on, spec), spec);
}

void add_programs(
    scenario const& of, pool on, random_source& random,
    std::vector<program_spec>& programs)
{
    auto const load = on == pool::engines ? of.load : of.service_load;
    auto const base = load * capacity_of_pool(of, on);
    auto const rate = [&](duration at)
    { return of.shape ? base * of.shape(at) : base; };
    auto const start = event_queue().now();
    auto const arrivals =
        make_arrivals(rate, base * of.peak, start, of.length, random);
    for (auto const at : arrivals)
    {
        auto program = make_program(of.mix, on, of.size.spec_of(on), random);
        program.arrival = at;
        programs.push_back(std::move(program));
    }
}

} // namespace

std::vector<program_spec> make_programs(scenario const& of, std::uint64_t seed)
{
    random_source random(seed);
    std::vector<program_spec> programs;
    add_programs(of, pool::engines, random, programs);
    add_programs(of, pool::services, random, programs);
    std::stable_sort(
        programs.begin(), programs.end(),
        [](auto const& a, auto const& b) { return a.arrival < b.arrival; });
    return programs;
}

double program_capacity(scenario const& of)
{
    return capacity_of_pool(of, pool::engines);
}

} // namespace walnutmill::bench
