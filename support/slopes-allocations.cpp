#include "slopes-allocations.hpp"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

thread_local walnutmill::slopes::allocation_counts counts;

void* counted_allocate(std::size_t size)
{
    void* const block = std::malloc(size);
    if (!block)
        throw std::bad_alloc();
    ++counts.allocations;
    counts.live_bytes += static_cast<std::int64_t>(malloc_usable_size(block));
    return block;
}

void counted_free(void* block) noexcept
{
    if (block)
        counts.live_bytes -=
            static_cast<std::int64_t>(malloc_usable_size(block));
    std::free(block);
}

} // namespace

void* operator new(std::size_t size)
{
    return counted_allocate(size);
}

void* operator new[](std::size_t size)
{
    return counted_allocate(size);
}

void operator delete(void* block) noexcept
{
    counted_free(block);
}

void operator delete[](void* block) noexcept
{
    counted_free(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept
{
    counted_free(block);
}

void operator delete[](void* block, std::size_t /*size*/) noexcept
{
    counted_free(block);
}

namespace walnutmill
{
namespace slopes
{

allocation_counts allocations_so_far()
{
    return counts;
}

} // namespace slopes
} // namespace walnutmill
