#pragma once

#include "base/EnumNames.h"
#include "net/EventLoop.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <utility>

namespace net {

/// Whose bytes the process holds.
enum class PeerKind {
    Caller,
    /// Answers, status checks, reports, and answers to orders.
    Endpoint,
    /// Hand-overs and what instances exchange about their state.
    Instance,
    Store,
    Operator,
};

/// Number of kinds of peers.
inline constexpr std::size_t PeerKindCount = 5;

/// Names of the kinds of peers in logs and metrics.
inline constexpr base::EnumNames<PeerKind, PeerKindCount> PeerKindNames = {{
    {PeerKind::Caller, "caller"},
    {PeerKind::Endpoint, "endpoint"},
    {PeerKind::Instance, "instance"},
    {PeerKind::Store, "store"},
    {PeerKind::Operator, "operator"},
}};

/// Which bound was passed when a share was ended.
enum class HeldBound {
    /// The one of the share's kind of peer.
    Kind,
    /// The one of all kinds together.
    All,
};

/// Names of the bounds in logs.
inline constexpr base::EnumNames<HeldBound, 2> HeldBoundNames = {{
    {HeldBound::Kind, "holder"},
    {HeldBound::All, "all"},
}};

/// Bounds on what a process holds for its peers, in bytes. Nothing is bounded unless it is set.
struct HeldLimits {
    static constexpr std::size_t Unbounded = std::numeric_limits<std::size_t>::max();

    /// Returns limits with the same bound for each kind of peer.
    static HeldLimits withEach(std::size_t bytes)
    {
        HeldLimits limits;
        limits.kinds.fill(bytes);
        return limits;
    }

    std::size_t &of(PeerKind kind)
    {
        return kinds[static_cast<std::size_t>(kind)];
    }
    std::size_t of(PeerKind kind) const
    {
        return kinds[static_cast<std::size_t>(kind)];
    }

    /// The bound of each kind of peer.
    std::array<std::size_t, PeerKindCount> kinds = withAll(Unbounded);
    /// The bound of all kinds together.
    std::size_t all = Unbounded;

private:
    static constexpr std::array<std::size_t, PeerKindCount> withAll(std::size_t bytes)
    {
        return {bytes, bytes, bytes, bytes, bytes};
    }
};

/// Counts the bytes that peers make this process hold, and bounds them: when a bound is passed, the largest share that counts towards it is ended first, the
/// newest among equal ones, until the rest is within the bound. The others go on.
///
/// All is called in the thread of the event loop, which must outlive this object. Shares may outlive it.
class HeldBytes
{
public:
    /// Reports an ended share: its kind of peer, its bytes, and the bound that was passed.
    using EndedHandler = std::function<void(PeerKind, std::size_t bytes, HeldBound)>;

    class Share;

    HeldBytes(EventLoop &loop, const HeldLimits &limits, EndedHandler onEnded = {});
    ~HeldBytes();
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    /// Returns a share of no bytes. If it is ended, `end` is run once, later by the event loop, unless the share is gone by then.
    Share share(PeerKind kind, std::function<void()> end);

    /// Replaces the limits, and ends shares if less may be held now.
    void setLimits(const HeldLimits &limits);

    /// Bytes of the kind's shares that weren't ended.
    std::size_t bytes(PeerKind kind) const;
    /// Bytes of all shares that weren't ended.
    std::size_t bytes() const;
    /// Bytes that shares held when they were ended, and that they haven't released yet.
    std::size_t releasingBytes() const;
    /// The most that bytes(kind) has ever been.
    std::size_t mostBytes(PeerKind kind) const;
    /// Number of the kind's shares that were ended.
    std::uint64_t ended(PeerKind kind) const;

private:
    struct Ledger;
    struct Entry;

    std::shared_ptr<Ledger> ledger_;
};

/// The bytes that one connection, call or other thing holds; counted until the share is gone. One without HeldBytes counts nothing.
class HeldBytes::Share
{
public:
    Share() = default;
    ~Share();
    Share(Share &&other) noexcept;
    Share &operator=(Share &&other) noexcept;
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// States how many bytes are held now. Needs no memory unless a bound is passed. Once the share was ended, only states how many it has yet to release.
    void set(std::size_t bytes);

    /// Bytes that count towards the bounds; none once the share was ended.
    std::size_t bytes() const;

    /// Returns whether the share was ended.
    bool isEnded() const;

private:
    friend class HeldBytes;

    explicit Share(std::shared_ptr<Entry> entry);
    void release();

    std::shared_ptr<Entry> entry_;
};

} // namespace net
