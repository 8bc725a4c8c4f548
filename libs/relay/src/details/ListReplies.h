#pragma once

#include "relay/RelayKernel.h"

#include <algorithm>
#include <map>

namespace relay {

/// Limits the whole lists of endpoints that this instance sends to others, which may all start at the same moment: more than its link carries would delay its
/// digests and its own reads of the store as well. Those that get no list read the store. Without a stated link there is no limit.
class ListReplies
{
public:
    /// Sets the bytes a second that the link carries; 0 if it isn't stated.
    void configure(double linkBytesPerSecond)
    {
        linkBytesPerSecond_ = linkBytesPerSecond;
    }

    /// Returns whether a whole list may be sent to the instance now: not while the ones before are on their way, and not again at once to the same one.
    bool maySend(const std::string &instance, Instant now) const
    {
        const auto last = sentAt_.find(instance);
        const bool isRepeat = last != sentAt_.end() && now < last->second + RepeatInterval;
        return linkBytesPerSecond_ <= 0 || (now >= busyUntil_ && !isRepeat);
    }

    /// Takes note of a whole list that is sent.
    void onSent(const std::string &instance, const wire::EndpointListChanges &list, Instant now)
    {
        if (linkBytesPerSecond_ <= 0) {
            return;
        }
        std::erase_if(sentAt_, [&](const auto &entry) { return now >= entry.second + RepeatInterval; });
        sentAt_[instance] = now;
        const double seconds = bytesOf(list) / (linkBytesPerSecond_ * MaxLinkShare);
        busyUntil_ = std::max(busyUntil_, now) + std::chrono::duration_cast<Instant>(std::chrono::duration<double>(seconds));
    }

private:
    /// Part of the link that whole lists may use.
    static constexpr double MaxLinkShare = 0.5;
    /// An instance that has not got the list within this time gets it again.
    static constexpr Ms RepeatInterval{1000};

    /// Returns the approximate size of the encoded list.
    static double bytesOf(const wire::EndpointListChanges &list)
    {
        // Numbers, and the tags and lengths of all fields.
        constexpr std::size_t FixedBytes = 48;
        std::size_t bytes = 0;
        for (const wire::EndpointRecord &record : list.changed) {
            bytes += FixedBytes + record.id.size() + record.service.size() + record.address.size() + record.zone.size() + record.accelerator.size();
        }
        return static_cast<double>(bytes);
    }

    double linkBytesPerSecond_ = 0;
    /// The whole lists that have been sent use their part of the link until then.
    Instant busyUntil_{0};
    /// When whole lists were last sent, by receiver.
    std::map<std::string, Instant> sentAt_;
};

} // namespace relay
