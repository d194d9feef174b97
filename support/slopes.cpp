/// \file
/// Measures how costs grow with size: the figures behind docs/CAPACITY.md.
/// walnutmill-slopes [SEED]

#include "slopes-sections.hpp"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <iostream>

int main(int argc, char** argv)
{
    std::uint32_t seed = 1;
    if (argc > 1 && !boost::conversion::try_lexical_convert(argv[1], seed))
    {
        std::cerr << "usage: walnutmill-slopes [SEED]\n";
        return 2;
    }
    walnutmill::slopes::run_decisions_section(seed);
    walnutmill::slopes::run_members_section(seed);
    walnutmill::slopes::run_owner_section(seed);
    walnutmill::slopes::run_origins_section();
    walnutmill::slopes::run_crashes_section();
    walnutmill::slopes::run_accounting_section();
    return 0;
}
