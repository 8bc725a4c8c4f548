#include "base/Allocator.h"

#include <algorithm>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace base {

namespace {

/// Free bytes at the end of the heap that the allocator keeps.
constexpr int KeptHeapBytes = 256 * 1024;
/// Each further arena is a heap of its own, with its own gaps.
constexpr int MaxArenas = 2;
/// The largest page size of the supported systems.
constexpr std::size_t MaxPageBytes = 64UL * 1024;

} // namespace

void keepHeapSmall()
{
    ::mallopt(M_MMAP_THRESHOLD, static_cast<int>(MappedBlockBytes));
    ::mallopt(M_TRIM_THRESHOLD, KeptHeapBytes);
    ::mallopt(M_ARENA_MAX, MaxArenas);
}

void returnFreedMemory()
{
    ::malloc_trim(KeptHeapBytes);
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    file >> totalPages >> residentPages;
    return residentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t residentBytesOf(std::size_t size, std::size_t capacity)
{
    return capacity < MappedBlockBytes ? capacity : std::min(capacity, size + MaxPageBytes);
}

} // namespace base
