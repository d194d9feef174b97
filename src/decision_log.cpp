#include <walnutmill/audit.hpp>

#include <mutex>

#include <boost/circular_buffer.hpp>

namespace walnutmill
{

class decision_log::implementation
{
public:
    explicit implementation(std::size_t capacity) : entries(capacity) {}

    mutable std::mutex mutex;
    boost::circular_buffer<decision_entry> entries;
    std::uint64_t dropped = 0;
};

decision_log::decision_log(std::size_t capacity)
    : impl_(std::make_unique<implementation>(capacity))
{
}

decision_log::~decision_log() = default;

void decision_log::add(decision_entry entry)
{
    std::lock_guard<std::mutex> lock(impl_->mutex);
    if (impl_->entries.full())
        ++impl_->dropped;
    impl_->entries.push_back(std::move(entry));
}

std::vector<decision_entry> decision_log::of(program_id const& program) const
{
    std::lock_guard<std::mutex> lock(impl_->mutex);
    std::vector<decision_entry> found;
    for (auto const& entry : impl_->entries)
    {
        if (entry.program == program)
            found.push_back(entry);
    }
    return found;
}

std::uint64_t decision_log::dropped() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex);
    return impl_->dropped;
}

} // namespace walnutmill
