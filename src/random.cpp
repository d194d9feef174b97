#include <walnutmill/random.hpp>

#include <memory>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>

namespace walnutmill
{

random_fn seeded_random(std::uint32_t seed)
{
    auto engine = std::make_shared<boost::random::mt19937>(seed);
    return [engine]
    {
        boost::random::uniform_01<double> uniform;
        return uniform(*engine);
    };
}

} // namespace walnutmill
