#pragma once

#include "timeline/HybridClock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace timeline {

/// One event of an instance's decision logic.
struct Event {
    /// Hybrid logical time at which the event was recorded.
    Stamp stamp = 0;
    std::string instance;
    std::string zone;
    /// Name of the event, for example "call_arrived".
    std::string kind;
    /// Number of the call within its instance; 0 if the event belongs to no call.
    std::uint64_t call = 0;
    /// The endpoint, instance or team that the event is about.
    std::string subject;
    /// Free text.
    std::string detail;
};

/// Keeps the latest events of a process. When the capacity is reached, each new event replaces the oldest one. Thread-safe.
class EventLog
{
public:
    /// Creates a log that keeps at most `capacity` events.
    explicit EventLog(std::size_t capacity);

    /// Appends an event.
    void add(Event event);

    /// Returns copies of the events whose stamp is greater than the given one, in the order in which they were added.
    std::vector<Event> eventsSince(Stamp stamp) const;

private:
    std::size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<Event> events_;
};

/// Returns the events as a JSON array.
std::string toJson(const std::vector<Event> &events);

/// Parses the output of toJson(); returns nullopt if the text is malformed.
std::optional<std::vector<Event>> fromJson(std::string_view text);

/// Sorts events of several processes by stamp, and events with equal stamps by instance.
void sortByStamp(std::vector<Event> &events);

/// Returns the events in the Trace Event format, which trace viewers such as chrome://tracing and Perfetto read. Each instance is shown as a process and each
/// call as a thread with a span from its arrival to its end; all other events are instants.
std::string toTraceEvents(const std::vector<Event> &events);

} // namespace timeline
