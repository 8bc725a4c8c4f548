#pragma once

#include "details/RefusalShare.h"

#include <optional>

namespace relay {

/// What the refusals of one endpoint, which name no time to return, say of what it may be sent.
///
/// An endpoint that refuses most of what it is sent gets a window of open requests: a refusal halves it while many are refused, each answer widens it, and it
/// ends when hardly any are refused. If the last request that the window leaves is refused too, the endpoint gets none for a pause that doubles with each
/// refusal in a row, and then a single one. Refusals come at once and answers later, so that without the window a burst of requests looks refused before its
/// answers can come.
class RefusalPause
{
public:
    using Instant = std::chrono::nanoseconds;

    /// Takes the refusal of a request that was sent at that time. `open` is the number of requests that are open at the endpoint; zero if the window isn't
    /// kept to, so that each refusal pauses it. The pause is at least as long as `minimum`, for which the endpoint has asked.
    void onRefused(Instant sentAt, Instant now, std::uint32_t open, Ms minimum);

    /// Takes the answer to a request that was sent at that time, while that many further ones are open.
    void onAccepted(Instant sentAt, Instant now, std::uint32_t open);

    /// Takes note that the endpoint is sent a request.
    void onSent(Instant now);

    /// Returns whether the pause is over.
    bool isOver(Instant now) const;

    /// Returns whether the window leaves room for one more than the open requests. If nothing was sent for a while, it does, since the open ones may take long.
    bool hasRoom(Instant now, std::uint32_t open) const;

private:
    void pause(Instant now);

    RefusalShare share_;
    std::optional<double> window_;
    Instant pausedUntil_{0};
    /// The endpoint has asked for no requests until then.
    Instant askedUntil_{0};
    /// Refusals in a row, up to the maximum, and the time of the last one that has changed the window.
    int refusals_ = 0;
    Instant refusedAt_{0};
    Instant sentAt_{0};
};

} // namespace relay
