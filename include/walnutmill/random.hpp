#ifndef WALNUTMILL_RANDOM_HPP
#define WALNUTMILL_RANDOM_HPP

/// \file
/// Randomness is passed in, so that decisions can be replayed from a seed.

#include <cstdint>
#include <functional>

namespace walnutmill
{

/// Draws from the uniform distribution over [0, 1).
using random_fn = std::function<double()>;

/// \return a generator (Boost.Random mt19937) that repeats for a seed. Copies
/// share its state; not thread-safe.
random_fn seeded_random(std::uint32_t seed);

} // namespace walnutmill

#endif
