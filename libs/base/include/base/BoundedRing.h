#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace base {

/// A lock-free ring buffer between exactly one producer thread and exactly one consumer thread.
///
/// The producer never blocks and no item is dropped: if the ring is full, items wait in an unbounded overflow list of the producer, in order,
/// until flush() finds free slots. overflowCount() shows how often the consumer was too slow.
template<typename T>
class BoundedRing
{
public:
    /// Allocates all slots at once; `capacity` is the number of items that the ring holds.
    explicit BoundedRing(std::size_t capacity)
        : slots_(capacity)
        , filledSlots_(capacity)
        , freeSlots_(capacity)
    {
        for (std::uint32_t slot = 0; slot < capacity; ++slot) {
            freeSlots_.push(slot);
        }
    }

    /// Adds an item at the end. Returns false if items wait in the overflow list; call flush() later. Producer thread only.
    bool push(T item)
    {
        if (overflow_.empty() && freeSlots_.read_available() > 0) {
            placeInSlot(std::move(item));
            return true;
        }
        overflow_.push_back(std::move(item));
        overflowCount_.fetch_add(1, std::memory_order_relaxed);
        return flush();
    }

    /// Moves items from the overflow list into the ring; returns true if the list is empty afterwards. Producer thread only.
    bool flush()
    {
        while (!overflow_.empty() && freeSlots_.read_available() > 0) {
            placeInSlot(std::move(overflow_.front()));
            overflow_.pop_front();
        }
        return overflow_.empty();
    }

    /// Returns true if items wait in the overflow list. Producer thread only.
    bool hasOverflow() const
    {
        return !overflow_.empty();
    }

    /// Takes the first item of the ring. Returns false, and leaves `item` unchanged, if the ring is empty. Consumer thread only.
    bool pop(T &item)
    {
        std::uint32_t slot = 0;
        if (!filledSlots_.pop(slot)) {
            return false;
        }
        item = std::move(slots_[slot]);
        freeSlots_.push(slot);
        return true;
    }

    /// Number of items since construction that went to the overflow list. Any thread may call this.
    std::uint64_t overflowCount() const
    {
        return overflowCount_.load(std::memory_order_relaxed);
    }

private:
    void placeInSlot(T item)
    {
        std::uint32_t slot = 0;
        freeSlots_.pop(slot);
        slots_[slot] = std::move(item);
        filledSlots_.push(slot);
    }

    std::vector<T> slots_;
    /// Indexes of the slots that hold items; the producer pushes them and the consumer pops them.
    boost::lockfree::spsc_queue<std::uint32_t> filledSlots_;
    /// Indexes of the empty slots; the consumer pushes them and the producer pops them.
    boost::lockfree::spsc_queue<std::uint32_t> freeSlots_;
    /// Items that wait for a free slot; used by the producer only.
    std::deque<T> overflow_;
    std::atomic<std::uint64_t> overflowCount_{0};
};

} // namespace base
