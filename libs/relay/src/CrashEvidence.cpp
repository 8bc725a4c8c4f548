#include "details/CrashEvidence.h"

#include <algorithm>

namespace relay {

namespace {

/// Crashes that convict a signature.
constexpr std::size_t ConvictingCrashes = 3;
/// Crashes of one signature that are told from each other.
constexpr std::size_t MaxCrashes = 32;
/// Signatures that are remembered. A crash with many open requests names many.
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

CrashEvidence::Suspicion *CrashEvidence::find(std::uint64_t signature, std::uint64_t crash)
{
    const auto found = suspicions_.find(signature);
    if (found == suspicions_.end()) {
        return nullptr;
    }
    const auto suspicion = std::find_if(found->second.begin(), found->second.end(), [&](const Suspicion &entry) { return entry.crash == crash; });
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

bool CrashEvidence::add(std::uint64_t signature, std::uint64_t crash, Instant crashedAt)
{
    if (Suspicion *known = find(signature, crash)) {
        // The report that came fastest tells best when the crash happened.
        known->crashedAt = std::min(known->crashedAt, crashedAt);
        return false;
    }
    if (!insert(suspicions_[signature], {crash, crashedAt, false})) {
        return false;
    }
    limitSignatures();
    if (openSuspicions(suspicions_[signature]) >= ConvictingCrashes) {
        update();
    }
    return true;
}

std::size_t CrashEvidence::openSuspicions(const Suspicions &suspicions)
{
    return static_cast<std::size_t>(std::count_if(suspicions.begin(), suspicions.end(), [](const Suspicion &entry) { return !entry.isRefuted; }));
}

bool CrashEvidence::refute(std::uint64_t signature, std::uint64_t crash, Instant now)
{
    if (Suspicion *known = find(signature, crash)) {
        const bool isNew = !known->isRefuted;
        known->isRefuted = true;
        updateIfConvicted();
        return isNew;
    }
    const bool isNew = insert(suspicions_[signature], {crash, now, true});
    limitSignatures();
    return isNew;
}

std::vector<wire::CrashRefutation> CrashEvidence::refuteAll(std::uint64_t signature)
{
    std::vector<wire::CrashRefutation> refuted;
    const auto found = suspicions_.find(signature);
    if (found == suspicions_.end()) {
        return refuted;
    }
    for (Suspicion &suspicion : found->second) {
        if (!suspicion.isRefuted) {
            suspicion.isRefuted = true;
            refuted.push_back({signature, suspicion.crash});
        }
    }
    updateIfConvicted();
    return refuted;
}

std::vector<wire::CrashRefutation> CrashEvidence::refuteCrash(std::uint64_t crash)
{
    std::vector<wire::CrashRefutation> refuted;
    for (auto &[signature, suspicions] : suspicions_) {
        for (Suspicion &suspicion : suspicions) {
            if (suspicion.crash == crash && !suspicion.isRefuted) {
                suspicion.isRefuted = true;
                refuted.push_back({signature, crash});
            }
        }
    }
    updateIfConvicted();
    return refuted;
}

bool CrashEvidence::isRefuted(std::uint64_t signature, std::uint64_t crash) const
{
    const auto found = suspicions_.find(signature);
    return found != suspicions_.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const Suspicion &entry) { return entry.crash == crash && entry.isRefuted; });
}

const CrashEvidence::Conviction *CrashEvidence::conviction(std::uint64_t signature) const
{
    if (convictions_.empty()) {
        return nullptr;
    }
    const auto found = convictions_.find(signature);
    return found == convictions_.end() ? nullptr : &found->second;
}

std::vector<wire::CrashReport> CrashEvidence::convictingReports(Instant now) const
{
    std::vector<wire::CrashReport> reports;
    for (const auto &[signature, conviction] : convictions_) {
        for (const Suspicion &suspicion : suspicions_.at(signature)) {
            if (!suspicion.isRefuted) {
                reports.push_back({signature, suspicion.crash, std::chrono::duration_cast<Ms>(now - suspicion.crashedAt)});
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
    const auto lastCrashAt = [](const Suspicions &suspicions) {
        Instant last{0};
        for (const Suspicion &suspicion : suspicions) {
            last = std::max(last, suspicion.crashedAt);
        }
        return last;
    };
    const auto oldest =
        std::min_element(suspicions_.begin(), suspicions_.end(), [&](const auto &a, const auto &b) { return lastCrashAt(a.second) < lastCrashAt(b.second); });
    suspicions_.erase(oldest);
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
        std::vector<const Suspicion *> suspicions;

        /// Candidates of the same rank can't be told from each other.
        std::pair<bool, std::size_t> rank() const
        {
            return {!wasServed, suspicions.size()};
        }
    };
    std::vector<Candidate> candidates;
    for (const auto &[signature, suspicions] : suspicions_) {
        Candidate candidate{signature, served_.isKnown(signature), {}};
        for (const Suspicion &suspicion : suspicions) {
            if (!suspicion.isRefuted) {
                candidate.suspicions.push_back(&suspicion);
            }
        }
        if (candidate.suspicions.size() >= ConvictingCrashes) {
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
        std::vector<Instant> crashes;
        for (const Suspicion *suspicion : candidate.suspicions) {
            if (!explained.contains(suspicion->crash)) {
                crashes.push_back(suspicion->crashedAt);
            }
        }
        if (crashes.size() < ConvictingCrashes) {
            continue;
        }
        std::sort(crashes.begin(), crashes.end());
        convictions_.emplace(candidate.signature, convictionBy(crashes, candidate.wasServed));
        for (const Suspicion *suspicion : candidate.suspicions) {
            explainedBySameRank.insert(suspicion->crash);
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
