#pragma once

#include "details/ServedSignatures.h"
#include "relay/RelayKernel.h"
#include "wire/RelayDigest.h"

#include <unordered_map>
#include <unordered_set>

namespace relay {

/// What is known for and against the signatures of requests as causes of crashes. A signature is a hash of something that requests may have in
/// common: the content of a whole request, or a part of its prompt.
///
/// The evidence is a set that only grows: a suspicion is a signature and a crash, and a refutation names the suspicion that it removes for good. So it
/// doesn't matter in which order, how often and by which way reports of other instances arrive, and the clocks of instances needn't agree.
///
/// A signature is convicted once several crashes speak against it that no refutation removes and that no other convicted signature explains.
/// Those that this instance has never seen served are considered first, then those with more crashes: a part of prompts that was sound so far is
/// unlikely to be the cause if it always came with a new one.
class CrashEvidence
{
public:
    /// A crash that a signature is suspected of.
    struct Suspicion {
        /// Value of wire::CrashReport::crash.
        std::uint64_t crash = 0;
        /// When the endpoint crashed, as far as this instance knows.
        Instant crashedAt{0};
        bool isRefuted = false;
    };
    /// A convicted signature, for the choice of probes and for status output.
    struct Conviction {
        /// Crashes that are not refuted.
        std::size_t crashes = 0;
        /// When the crash happened that made the number sufficient, and when the last one did.
        Instant since{0};
        Instant lastCrashAt{0};
        /// Crashes after the conviction, where those in quick succession count as one: requests that were let through as probes have failed.
        unsigned failedProbes = 0;
        /// Requests with the signature have been served by this instance before.
        bool wasServed = false;
    };

    /// `served` is what this instance has served; it must outlive this object.
    explicit CrashEvidence(const ServedSignatures &served)
        : served_(served)
    {
    }

    /// Adds a suspicion. Returns true if it is new and not refuted already.
    bool add(std::uint64_t signature, std::uint64_t crash, Instant crashedAt);
    /// Refutes a suspicion, also one that has not arrived yet. Returns true if that is new.
    bool refute(std::uint64_t signature, std::uint64_t crash, Instant now);
    /// Refutes all suspicions of a signature that are known by now; returns them.
    std::vector<wire::CrashRefutation> refuteAll(std::uint64_t signature);
    /// Refutes the crash for all signatures that are suspected of it, since it has not happened; returns the refuted suspicions.
    std::vector<wire::CrashRefutation> refuteCrash(std::uint64_t crash);

    /// Returns true if there is a suspicion of this crash that is refuted.
    bool isRefuted(std::uint64_t signature, std::uint64_t crash) const;
    /// Returns the conviction of a signature; null if it isn't convicted.
    const Conviction *conviction(std::uint64_t signature) const;
    const std::unordered_map<std::uint64_t, Conviction> &convictions() const
    {
        return convictions_;
    }
    /// Returns the suspicions of convicted signatures that are not refuted, as reports to other instances.
    std::vector<wire::CrashReport> convictingReports(Instant now) const;

    /// Forgets evidence that has become too old.
    void expire(Instant now);

private:
    using Suspicions = std::vector<Suspicion>;

    /// Returns the suspicion of this crash; null if there is none.
    Suspicion *find(std::uint64_t signature, std::uint64_t crash);
    /// Adds a suspicion to a list that is limited in length: a refuted one makes room. Returns false if there is no room.
    static bool insert(Suspicions &suspicions, const Suspicion &suspicion);
    /// Drops the signature with the oldest last crash if there are too many.
    void limitSignatures();
    /// Returns the number of suspicions that are not refuted.
    static std::size_t openSuspicions(const Suspicions &suspicions);
    /// Decides again which signatures are convicted.
    void update();
    /// Does so if any is: less evidence convicts no other signature unless it ends the conviction of one that explained its crashes.
    void updateIfConvicted();
    /// Returns what convicts a signature whose crashes, in the order of time, are those; `crashes` are at least as many as a conviction takes.
    static Conviction convictionBy(const std::vector<Instant> &crashes, bool wasServed);

    const ServedSignatures &served_;
    std::unordered_map<std::uint64_t, Suspicions> suspicions_;
    std::unordered_map<std::uint64_t, Conviction> convictions_;
};

/// Returns how long after its last crash a convicted signature gets no probe.
Instant probeInterval(const CrashEvidence::Conviction &conviction);

} // namespace relay
