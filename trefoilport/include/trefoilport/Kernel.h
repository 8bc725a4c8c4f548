#pragma once

#include "trefoilport/Action.h"
#include "trefoilport/Event.h"

#include <memory>

namespace trefoilport {

/// Longest interval between two Tick events. The kernel checks its timeouts on ticks, so this is also their resolution.
inline constexpr std::chrono::milliseconds TickPeriod{20};

/// Settings of one instance's kernel, fixed for the life of the process.
struct KernelSettings {
    /// Id of the instance, unique in the fleet.
    std::string id;
    std::string zone;
    /// Address at which other instances reach this one.
    std::string meshAddress;
    /// Must grow with each start of the process.
    std::uint64_t incarnation = 1;
    /// Mesh addresses that are always among the targets of gossip, so that an instance that knows no peer yet finds the others.
    std::vector<std::string> seeds;
    /// Period of the gossip rounds.
    std::int64_t gossipMs = 250;
    /// Number of peers that each round is sent to.
    std::int64_t gossipPeers = 2;
    /// Maximum number of other members' entries in one gossip message.
    std::int64_t gossipEntries = 64;
    /// Silence after which a member counts as gone.
    std::int64_t suspectMs = 2000;
    /// How long one confirmation of the configuration's head, by the store or by a majority of the members, stays valid.
    std::int64_t confirmMs = 3000;
    /// Number of instances that poll the load of each endpoint.
    std::int64_t observers = 3;
    /// Period of the load polls.
    std::int64_t loadPollMs = 500;
    /// Number of store objects that the claims are spread over; must be the same on every instance.
    std::int64_t claimBuckets = 16;
    /// How long open calls may still run after a stop request; then they fail.
    std::int64_t shutdownMs = 20000;
    /// Seed of every random choice of the kernel.
    std::uint64_t seed = 1;
};

/// The decision logic of one instance, as a deterministic state machine without I/O: the same settings and the same events at the same times lead to the
/// same actions. Not thread-safe: a single thread must pass it the events in order.
class Kernel
{
public:
    explicit Kernel(KernelSettings settings);
    ~Kernel();

    /// Processes one event and appends the resulting actions.
    void handle(const Event &event, base::Now now, Actions &actions);

    /// Counters since the start of the process.
    const Counters &counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace trefoilport
