#include <walnutmill/denied_keys.hpp>

namespace walnutmill
{

denied_keys::denied_keys(duration ttl, std::size_t max_entries)
    : ttl_(ttl), max_entries_(max_entries)
{
}

void denied_keys::evict_old(time_point now)
{
    while (!entries_by_age_.empty() &&
           (entries_by_age_.size() > max_entries_ ||
            now - entries_by_age_.front().first > ttl_))
    {
        keys_.erase(entries_by_age_.front().second);
        entries_by_age_.pop_front();
    }
}

void denied_keys::add(key_digest const& key, time_point now)
{
    if (keys_.insert(key.hex).second)
        entries_by_age_.emplace_back(now, key.hex);
    evict_old(now);
}

bool denied_keys::holds(key_digest const& key, time_point now)
{
    evict_old(now);
    return keys_.count(key.hex) > 0;
}

} // namespace walnutmill
