#include "allocations.h"

#include <cstdlib>
#include <new>

static thread_local std::int64_t threadAllocations = 0;

std::int64_t Hyssop::Bench::allocations()
{
    return threadAllocations;
}

// The other forms of the operator call this one.
void *operator new(std::size_t size)
{
    ++threadAllocations;
    if (void *memory = std::malloc(size)) { // NOLINT(cppcoreguidelines-no-malloc): allocates for operator new
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc): frees what operator new has allocated
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc): frees what operator new has allocated
}
