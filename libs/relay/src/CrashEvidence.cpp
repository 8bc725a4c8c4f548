#include "details/CrashEvidence.h"

#include <algorithm>
#include <utility>

namespace relay {

namespace {

/// Crashes that convict a signature.
constexpr std::size_t ConvictingCrashes = 3;
/// Crashes of one signature that are distinguished from each other.
constexpr std::size_t MaxCrashes = 32;
/// Signatures that are remembered. A crash with many open requests names many; those with the least evidence are dropped first.
constexpr std::size_t MaxSignatures = 1024;
/// Suspicions are forgotten this long after the last crash, those of a convicted signature after twice the interval to its next probe if that is longer.
constexpr Ms SuspicionLifetime{120000};
/// Time from the last crash to the first probe, and the factor by which each failed probe prolongs it. A signature that was sound before is likely to be so
/// again. Any other has probably crashed the endpoints, which should have returned before another one is risked.
constexpr Ms KnownProbeInterval{1000};
constexpr Ms FirstProbeInterval{5000};
constexpr unsigned ProbeIntervalFactor = 4;
/// Failed probes beyond this number don't prolong the interval any more.
constexpr unsigned MaxCountedProbes = 5;
/// Crashes with less time between them have the same reason: requests that were under way together.
constexpr Ms SameProbe{1000};

} // namespace

Instant probeInterval(const CrashEvidence::Conviction &conviction)
{
    Instant interval = conviction.wasServed ? KnownProbeInterval : FirstProbeInterval;
    for (unsigned i = 0; i < std::min(conviction.failedProbes, MaxCountedProbes); ++i) {
        interval *= ProbeIntervalFactor;
    }
    return interval;
}

CrashEvidence::Suspicion *CrashEvidence::find(std::uint64_t signature, std::uint64_t crash, std::uint64_t inference)
{
    return const_cast<Suspicion *>(std::as_const(*this).find(signature, crash, inference));
}

const CrashEvidence::Suspicion *CrashEvidence::find(std::uint64_t signature, std::uint64_t crash, std::uint64_t inference) const
{
    const auto found = suspicions_.find(signature);
    if (found == suspicions_.end()) {
        return nullptr;
    }
    const auto suspicion =
        std::find_if(found->second.begin(), found->second.end(), [&](const Suspicion &entry) { return entry.crash == crash && entry.inference == inference; });
    return suspicion == found->second.end() ? nullptr : &*suspicion;
}

bool CrashEvidence::insert(Suspicions &suspicions, const Suspicion &suspicion)
{
    if (suspicions.size() >= MaxCrashes) {
        const auto refuted = std::find_if(suspicions.begin(), suspicions.end(), [](const Suspicion &entry) { return entry.isRefuted; });
        if (refuted == suspicions.end()) {
            return false;
        }
        suspicions.erase(refuted);
    }
    suspicions.push_back(suspicion);
    return true;
}

bool CrashEvidence::add(std::uint64_t signature, const Suspicion &suspicion)
{
    if (Suspicion *known = find(signature, suspicion.crash, suspicion.inference)) {
        // The report that came fastest shows best when the crash happened.
        known->crashedAt = std::min(known->crashedAt, suspicion.crashedAt);
        return false;
    }
    if (refutationOf(signature, suspicion.crash, suspicion.inference) || !insert(suspicions_[signature], suspicion)) {
        return false;
    }
    limitSignatures();
    if (openCrashes(suspicions_[signature]).size() >= ConvictingCrashes) {
        update();
    }
    return true;
}

std::map<std::uint64_t, Instant> CrashEvidence::openCrashes(const Suspicions &suspicions)
{
    std::map<std::uint64_t, Instant> crashes;
    for (const Suspicion &suspicion : suspicions) {
        if (!suspicion.isRefuted) {
            const auto [crash, isNew] = crashes.try_emplace(suspicion.crash, suspicion.crashedAt);
            crash->second = std::min(crash->second, suspicion.crashedAt);
        }
    }
    return crashes;
}

bool CrashEvidence::refute(const wire::CrashRefutation &refutation, Instant now)
{
    if (refutationOf(refutation.signature, refutation.crash, refutation.inference)) {
        return false;
    }
    Suspicions &suspicions = suspicions_[refutation.signature];
    if (refutation.inference == 0) {
        for (Suspicion &suspicion : suspicions) {
            suspicion.isRefuted = suspicion.isRefuted || suspicion.crash == refutation.crash;
        }
    }
    if (Suspicion *known = find(refutation.signature, refutation.crash, refutation.inference)) {
        known->isRefuted = true;
    } else {
        insert(suspicions, {refutation.crash, refutation.inference, now, true});
    }
    limitSignatures();
    updateIfConvicted();
    return true;
}

std::vector<wire::CrashRefutation> CrashEvidence::refuteAll(std::uint64_t signature)
{
    const auto found = suspicions_.find(signature);
    if (found == suspicions_.end()) {
        return {};
    }
    std::vector<wire::CrashRefutation> refuted;
    for (const auto &[crash, crashedAt] : openCrashes(found->second)) {
        refuted.push_back({signature, crash});
        refute(refuted.back(), crashedAt);
    }
    return refuted;
}

std::vector<wire::CrashRefutation> CrashEvidence::refuteInference(std::uint64_t crash, std::uint64_t inference)
{
    std::vector<wire::CrashRefutation> refuted;
    for (auto &[signature, suspicions] : suspicions_) {
        for (Suspicion &suspicion : suspicions) {
            if (suspicion.crash == crash && suspicion.inference == inference && !suspicion.isRefuted) {
                suspicion.isRefuted = true;
                refuted.push_back({signature, crash, inference});
            }
        }
    }
    updateIfConvicted();
    return refuted;
}

std::optional<wire::CrashRefutation> CrashEvidence::refutationOf(std::uint64_t signature, std::uint64_t crash, std::uint64_t inference) const
{
    const auto found = suspicions_.find(signature);
    if (found == suspicions_.end()) {
        return std::nullopt;
    }
    const auto covers = [&](const Suspicion &entry) {
        return entry.isRefuted && entry.crash == crash && (entry.inference == inference || entry.inference == 0);
    };
    const auto refuted = std::find_if(found->second.begin(), found->second.end(), covers);
    return refuted == found->second.end() ? std::nullopt : std::optional(wire::CrashRefutation{signature, crash, refuted->inference});
}

bool CrashEvidence::isKnown(std::uint64_t signature, const Suspicion &suspicion) const
{
    return find(signature, suspicion.crash, suspicion.inference) != nullptr;
}

const CrashEvidence::Conviction *CrashEvidence::conviction(std::uint64_t signature) const
{
    if (convictions_.empty()) {
        return nullptr;
    }
    const auto found = convictions_.find(signature);
    return found == convictions_.end() ? nullptr : &found->second;
}

std::map<std::uint64_t, Instant> CrashEvidence::openCrashesOf(std::uint64_t signature) const
{
    const auto found = suspicions_.find(signature);
    return found == suspicions_.end() ? std::map<std::uint64_t, Instant>{} : openCrashes(found->second);
}

std::vector<wire::CrashReport> CrashEvidence::convictingReports(Instant now) const
{
    std::vector<wire::CrashReport> reports;
    for (const auto &[signature, conviction] : convictions_) {
        for (const Suspicion &suspicion : suspicions_.at(signature)) {
            if (!suspicion.isRefuted) {
                reports.push_back({signature, suspicion.crash, std::chrono::duration_cast<Ms>(now - suspicion.crashedAt), suspicion.inference});
            }
        }
    }
    return reports;
}

void CrashEvidence::expire(Instant now)
{
    const std::size_t erased = std::erase_if(suspicions_, [&](const auto &entry) {
        Instant lifetime = SuspicionLifetime;
        if (const Conviction *convicted = conviction(entry.first)) {
            lifetime = std::max(lifetime, 2 * probeInterval(*convicted));
        }
        return std::all_of(entry.second.begin(), entry.second.end(), [&](const Suspicion &suspicion) { return now >= suspicion.crashedAt + lifetime; });
    });
    if (erased > 0) {
        updateIfConvicted();
    }
}

void CrashEvidence::limitSignatures()
{
    if (suspicions_.size() <= MaxSignatures) {
        return;
    }
    // A quarantine that works has an old last crash, and many requests are suspected of a single crash: what counts first is how much speaks against each.
    const auto worth = [](const Suspicions &suspicions) {
        Instant last{0};
        for (const Suspicion &suspicion : suspicions) {
            last = std::max(last, suspicion.crashedAt);
        }
        return std::pair(std::min(openCrashes(suspicions).size(), ConvictingCrashes), last);
    };
    const auto least =
        std::min_element(suspicions_.begin(), suspicions_.end(), [&](const auto &a, const auto &b) { return worth(a.second) < worth(b.second); });
    const bool wasConvicted = convictions_.contains(least->first);
    suspicions_.erase(least);
    if (wasConvicted) {
        update();
    }
}

void CrashEvidence::updateIfConvicted()
{
    if (!convictions_.empty()) {
        update();
    }
}

void CrashEvidence::update()
{
    struct Candidate {
        std::uint64_t signature = 0;
        bool wasServed = false;
        std::map<std::uint64_t, Instant> crashes;

        /// Candidates of the same rank can't be distinguished.
        std::pair<bool, std::size_t> rank() const
        {
            return {!wasServed, crashes.size()};
        }
    };
    std::vector<Candidate> candidates;
    for (const auto &[signature, suspicions] : suspicions_) {
        Candidate candidate{signature, served_.isKnown(signature), openCrashes(suspicions)};
        if (candidate.crashes.size() >= ConvictingCrashes) {
            candidates.push_back(std::move(candidate));
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) { return a.rank() > b.rank(); });
    convictions_.clear();
    std::unordered_set<std::uint64_t> explained;
    std::unordered_set<std::uint64_t> explainedBySameRank;
    const Candidate *previous = nullptr;
    for (const Candidate &candidate : candidates) {
        if (previous != nullptr && previous->rank() != candidate.rank()) {
            explained.insert(explainedBySameRank.begin(), explainedBySameRank.end());
        }
        previous = &candidate;
        std::vector<Instant> unexplained;
        for (const auto &[crash, crashedAt] : candidate.crashes) {
            if (!explained.contains(crash)) {
                unexplained.push_back(crashedAt);
            }
        }
        if (unexplained.size() < ConvictingCrashes) {
            continue;
        }
        std::sort(unexplained.begin(), unexplained.end());
        convictions_.emplace(candidate.signature, convictionBy(unexplained, candidate.wasServed));
        for (const auto &[crash, crashedAt] : candidate.crashes) {
            explainedBySameRank.insert(crash);
        }
    }
}

CrashEvidence::Conviction CrashEvidence::convictionBy(const std::vector<Instant> &crashes, bool wasServed)
{
    Conviction conviction{crashes.size(), crashes[ConvictingCrashes - 1], crashes.back(), 0, wasServed};
    Instant previous = conviction.since;
    for (const Instant crash : crashes) {
        if (crash > previous + SameProbe) {
            ++conviction.failedProbes;
        }
        previous = std::max(previous, crash);
    }
    return conviction;
}

} // namespace relay
