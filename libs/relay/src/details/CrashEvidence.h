#pragma once

#include "details/ServedSignatures.h"
#include "relay/RelayKernel.h"
#include "wire/RelayDigest.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace relay {

/// What is known for and against the signatures of requests as causes of crashes. A signature is a hash of something that requests may have in
/// common: the content of a whole request, or a part of its prompt.
///
/// The evidence is a set that only grows: a suspicion is a signature, a crash and, unless the crash is certain, the inference of it by one instance; a
/// refutation names the suspicion, or all those of a crash, that it removes for good. So it doesn't matter in which order, how often and by which way
/// reports of other instances arrive, and the clocks of instances needn't agree.
///
/// A signature is convicted once several crashes speak against it that no refutation removes and that no other convicted signature explains.
/// Those that this instance has never seen served are considered first, then those with more crashes: a part of prompts that was sound so far is
/// unlikely to be the cause if it always came with a new one.
class CrashEvidence
{
public:
    /// A crash that a signature is suspected of.
    struct Suspicion {
        /// Values of wire::CrashReport::crash and wire::CrashReport::inference.
        std::uint64_t crash = 0;
        std::uint64_t inference = 0;
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
    bool add(std::uint64_t signature, const Suspicion &suspicion);
    /// Refutes a suspicion, or without an inference all those of the crash, also if they have not arrived yet. Returns true if that is new.
    bool refute(const wire::CrashRefutation &refutation, Instant now);
    /// Refutes all crashes that a signature is suspected of by now; returns the refutations.
    std::vector<wire::CrashRefutation> refuteAll(std::uint64_t signature);
    /// Refutes an inference of a crash for all signatures that are suspected by it, since it was wrong; returns the refutations.
    std::vector<wire::CrashRefutation> refuteInference(std::uint64_t crash, std::uint64_t inference);

    /// Returns the refutation that covers a suspicion; none if there is none.
    std::optional<wire::CrashRefutation> refutationOf(std::uint64_t signature, std::uint64_t crash, std::uint64_t inference) const;
    /// Returns whether a suspicion is known, refuted or not.
    bool isKnown(std::uint64_t signature, const Suspicion &suspicion) const;
    /// Returns the conviction of a signature; null if it isn't convicted.
    const Conviction *conviction(std::uint64_t signature) const;
    const std::unordered_map<std::uint64_t, Conviction> &convictions() const
    {
        return convictions_;
    }
    /// Returns the crashes of a signature that are not refuted, each with the time that its earliest suspicion names.
    std::map<std::uint64_t, Instant> openCrashesOf(std::uint64_t signature) const;
    /// Returns the suspicions of convicted signatures that are not refuted, as reports to other instances.
    std::vector<wire::CrashReport> convictingReports(Instant now) const;

    /// Forgets evidence that has become too old.
    void expire(Instant now);

private:
    using Suspicions = std::vector<Suspicion>;

    /// Returns the suspicion of this crash by this inference; null if there is none.
    Suspicion *find(std::uint64_t signature, std::uint64_t crash, std::uint64_t inference);
    const Suspicion *find(std::uint64_t signature, std::uint64_t crash, std::uint64_t inference) const;
    /// Adds a suspicion to a list that is limited in length: a refuted one makes room. Returns false if there is no room.
    static bool insert(Suspicions &suspicions, const Suspicion &suspicion);
    /// Drops the signature with the fewest crashes, and of those the one with the oldest last crash, if there are too many.
    void limitSignatures();
    /// Returns the crashes that are not refuted, each with the time that its earliest suspicion names.
    static std::map<std::uint64_t, Instant> openCrashes(const Suspicions &suspicions);
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
