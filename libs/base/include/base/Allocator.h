#pragma once

#include <cstddef>

namespace base {

/// Size from which the allocator maps a block by itself and returns it to the system as soon as it is freed, in bytes; see keepHeapSmall().
inline constexpr std::size_t MappedBlockBytes = 128UL * 1024;

/// Makes the allocator return freed memory: large blocks at once, small ones when the end of the heap is free. Without it, the size from which blocks are
/// mapped grows with the largest freed block, so that later large blocks leave gaps in the heap. Call this before the first thread is started.
void keepHeapSmall();

/// Returns free pages of the heap to the system. Takes a time that grows with the size of the heap.
void returnFreedMemory();

/// Returns the resident memory of this process in bytes; 0 if the system doesn't tell.
std::size_t residentBytes();

/// Returns the bytes that a buffer makes resident, by its size and its capacity: of a mapped block, only the pages that were written.
std::size_t residentBytesOf(std::size_t size, std::size_t capacity);

} // namespace base
