#include <walnutmill/denied_keys.hpp>

namespace walnutmill
{

denied_keys::denied_keys(duration keeps, std::size_t most)
    : keeps_(keeps), most_(most)
{
}

void denied_keys::drop_old(time_point now)
{
    while (!order_.empty() &&
           (order_.size() > most_ || now - order_.front().first > keeps_))
    {
        keys_.erase(order_.front().second);
        order_.pop_front();
    }
}

void denied_keys::add(key_digest const& key, time_point now)
{
    if (keys_.insert(key.hex).second)
        order_.emplace_back(now, key.hex);
    drop_old(now);
}

bool denied_keys::holds(key_digest const& key, time_point now)
{
    drop_old(now);
    return keys_.count(key.hex) > 0;
}

} // namespace walnutmill
