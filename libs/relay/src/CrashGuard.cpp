#include "details/CrashGuard.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace relay {

namespace {

/// A crashed endpoint is detected within this time: it is silent, or listed with a new incarnation.
constexpr Ms ConfirmTimeout{6000};
/// An endpoint that was taken for crashed, but lives, has reported within this time.
constexpr Ms RefuteTimeout{20000};
/// Limits the memory that a burst of broken attempts can take; the oldest are dropped first.
constexpr std::size_t MaxBrokenAttempts = 1024;
/// What convicts a signature is sent to the other instances again after this time.
constexpr Ms RepeatPeriod{2400};
/// Time in which a probe shows whether it crashes its endpoint and the others have received the report.
constexpr Ms ProbeTimeout{3000};
/// Once a probe is due, the expected number of instances that may send it doubles in this time. The first one that gets such a request sends it.
constexpr double TurnPeriodMs = 1000;
/// A request with several convicted signatures shows little about each of them: it is probed only after this multiple of the interval.
constexpr int AmbiguousProbeFactor = 3;

/// Time in which an endpoint that lives answers another instance that asks it after a report. No process that has crashed is back so soon.
constexpr Ms VerifyTimeout{500};
/// Further reports count at once.
constexpr std::size_t MaxUnverifiedReports = 1024;

/// Returns the number of a crash, by which all instances name it alike.
std::uint64_t crashOf(const std::string &endpoint, std::uint64_t incarnation)
{
    return base::mixBits(base::hashOf(endpoint) ^ incarnation);
}

} // namespace

void CrashGuard::configure(const RelaySettings &settings)
{
    ownHash_ = base::hashOf(settings.node);
    processHash_ = base::hashOf(settings.instance);
}

void CrashGuard::onBroken(Signatures signatures, EndpointIndex endpoint, bool isCutOff, Instant now)
{
    if (brokenAttempts_.size() >= MaxBrokenAttempts) {
        droppedAttempts_.push_back({brokenAttempts_.front().endpoint, std::nullopt});
        brokenAttempts_.pop_front();
    }
    brokenAttempts_.push_back({{signatures.begin(), signatures.end()}, endpoint, endpoints_.at(endpoint).entry.incarnation, now, isCutOff});
}

void CrashGuard::distrustSince(Instant since)
{
    for (BrokenAttempt &broken : brokenAttempts_) {
        broken.isCutOff = broken.isCutOff || broken.brokenAt >= since;
    }
}

void CrashGuard::onServed(Signatures signatures, Instant now)
{
    for (const std::uint64_t signature : signatures) {
        served_.onServed(signature, now);
        acquit(signature);
    }
}

void CrashGuard::acquit(std::uint64_t signature)
{
    if (evidence_.conviction(signature) != nullptr) {
        acquitted_.push_back(signature);
    }
    addRefutations(evidence_.refuteAll(signature));
}

void CrashGuard::addRefutations(const std::vector<wire::CrashRefutation> &refutations)
{
    news_.refutations.insert(news_.refutations.end(), refutations.begin(), refutations.end());
}

std::vector<SettledAttempt> CrashGuard::tick(bool mayInfer, Instant now)
{
    std::vector<SettledAttempt> settled = std::exchange(droppedAttempts_, {});
    std::erase_if(brokenAttempts_, [&](const BrokenAttempt &broken) {
        const std::optional<CrashSign> sign = signOf(broken, mayInfer);
        if (!sign && now < broken.brokenAt + ConfirmTimeout) {
            return false;
        }
        settled.push_back({broken.endpoint, sign, sign ? confirm(broken, *sign, now) : std::vector<wire::CrashReport>{}});
        return true;
    });
    refuteWrongCrashes(now);
    settleUnverified(now);
    evidence_.expire(now);
    std::erase_if(probedAt_, [&](const auto &entry) { return now >= entry.second + ProbeTimeout; });
    return settled;
}

std::optional<CrashSign> CrashGuard::signOf(const BrokenAttempt &broken, bool mayInfer) const
{
    const EndpointState &state = endpoints_.at(broken.endpoint);
    if (state.entry.incarnation > broken.incarnation) {
        return CrashSign::Restarted;
    }
    if (!state.listed && !state.entry.draining) {
        return CrashSign::Unlisted;
    }
    if (!mayInfer || broken.isCutOff) {
        return std::nullopt;
    }
    if (state.foundGoneAt >= broken.brokenAt) {
        return CrashSign::Gone;
    }
    return state.silentCheckAt.count() != 0 ? std::optional(CrashSign::Silent) : std::nullopt;
}

std::vector<wire::CrashReport> CrashGuard::confirm(const BrokenAttempt &broken, CrashSign sign, Instant now)
{
    const std::uint64_t crash = crashOf(endpoints_.at(broken.endpoint).entry.id, broken.incarnation);
    const std::uint64_t inference = sign == CrashSign::Restarted ? 0 : infer(broken, crash, now);
    std::vector<wire::CrashReport> reports;
    for (const std::uint64_t signature : broken.signatures) {
        if (suspect(signature, {crash, inference, broken.brokenAt}, now)) {
            reports.push_back({signature, crash, std::chrono::duration_cast<Ms>(now - broken.brokenAt), inference});
        }
    }
    news_.reports.insert(news_.reports.end(), reports.begin(), reports.end());
    return reports;
}

std::uint64_t CrashGuard::infer(const BrokenAttempt &broken, std::uint64_t crash, Instant now)
{
    const EndpointState &state = endpoints_.at(broken.endpoint);
    const auto known = std::find_if(inferredCrashes_.begin(), inferredCrashes_.end(), [&](const InferredCrash &inferred) {
        const bool hasShownLife = state.answeredAt > inferred.inferredAt || state.reportedAt > inferred.inferredAt;
        return inferred.crash == crash && !hasShownLife;
    });
    if (known != inferredCrashes_.end()) {
        return known->inference;
    }
    const std::uint64_t inference = base::mixBits(processHash_ + ++inferences_);
    inferredCrashes_.push_back({crash, inference, broken.endpoint, broken.incarnation, now, Instant{0}});
    return inference;
}

void CrashGuard::refuteWrongCrashes(Instant now)
{
    std::erase_if(inferredCrashes_, [&](InferredCrash &inferred) {
        const EndpointState &state = endpoints_.at(inferred.endpoint);
        if (inferred.answeredAt.count() == 0 && state.answeredAt > inferred.inferredAt) {
            inferred.answeredAt = now;
        }
        const bool hasRestarted = state.entry.incarnation > inferred.incarnation;
        const bool isWrong = !hasRestarted && livesOn(inferred, state, now);
        if (isWrong) {
            addRefutations(evidence_.refuteInference(inferred.crash, inferred.inference));
        }
        return hasRestarted || isWrong || now >= inferred.inferredAt + RefuteTimeout;
    });
}

bool CrashGuard::livesOn(const InferredCrash &inferred, const EndpointState &state, Instant now)
{
    const bool hasReported = state.silentCheckAt.count() == 0 && state.reportedAt > inferred.inferredAt;
    // An answer doesn't name the incarnation that gave it; by then the list would show a later one.
    const bool isStillListed = state.listed && inferred.answeredAt.count() != 0 && now >= inferred.answeredAt + MaxListLag;
    return hasReported || isStillListed;
}

std::vector<EndpointIndex> CrashGuard::doubtfulEndpoints() const
{
    std::vector<EndpointIndex> doubtful;
    for (const UnverifiedReport &report : unverifiedReports_) {
        doubtful.push_back(report.endpoint);
    }
    for (const InferredCrash &inferred : inferredCrashes_) {
        if (inferred.answeredAt.count() == 0) {
            doubtful.push_back(inferred.endpoint);
        }
    }
    return doubtful;
}

bool CrashGuard::suspect(std::uint64_t signature, const CrashEvidence::Suspicion &suspicion, Instant now)
{
    if (!evidence_.add(signature, suspicion)) {
        return false;
    }
    if (!served_.wasServedAfter(signature, suspicion.crashedAt)) {
        return true;
    }
    evidence_.refute({signature, suspicion.crash}, now);
    news_.refutations.push_back({signature, suspicion.crash});
    return false;
}

bool CrashGuard::onReport(const wire::CrashReport &report, Instant now)
{
    // The sender doesn't know of the refutation.
    if (const auto refutation = evidence_.refutationOf(report.signature, report.crash, report.inference)) {
        news_.refutations.push_back(*refutation);
        return false;
    }
    const CrashEvidence::Suspicion suspicion{report.crash, report.inference, now - Instant(report.age)};
    const auto endpoint = report.inference != 0 ? endpointOf(report.crash) : std::nullopt;
    if (!endpoint || unverifiedReports_.size() >= MaxUnverifiedReports) {
        return suspect(report.signature, suspicion, now);
    }
    const auto isSame = [&](const UnverifiedReport &known) {
        return known.signature == report.signature && known.suspicion.crash == report.crash && known.suspicion.inference == report.inference;
    };
    const bool isKnown = evidence_.isKnown(report.signature, suspicion) || std::any_of(unverifiedReports_.begin(), unverifiedReports_.end(), isSame);
    if (!isKnown) {
        unverifiedReports_.push_back({report.signature, suspicion, *endpoint, now});
    }
    return !isKnown;
}

std::optional<EndpointIndex> CrashGuard::endpointOf(std::uint64_t crash) const
{
    for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
        const EndpointState &state = endpoints_.at(i);
        if (state.listed && crashOf(state.entry.id, state.entry.incarnation) == crash) {
            return i;
        }
    }
    return std::nullopt;
}

void CrashGuard::settleUnverified(Instant now)
{
    std::erase_if(unverifiedReports_, [&](const UnverifiedReport &report) {
        const EndpointState &state = endpoints_.at(report.endpoint);
        const bool isSameIncarnation = crashOf(state.entry.id, state.entry.incarnation) == report.suspicion.crash;
        // Behind an unstated inference may be a restart that the list doesn't show yet, and an answer doesn't name the incarnation that gave it.
        const Ms lag = report.suspicion.inference == wire::UnstatedInference ? MaxListLag : Ms{0};
        if (isSameIncarnation && state.answeredAt > report.receivedAt && now >= report.receivedAt + lag) {
            const wire::CrashRefutation refutation{report.signature, report.suspicion.crash, report.suspicion.inference};
            evidence_.refute(refutation, now);
            news_.refutations.push_back(refutation);
            return true;
        }
        const bool isConfirmed = !isSameIncarnation || !state.listed || state.foundGoneAt >= report.receivedAt || state.silentCheckAt.count() != 0;
        if (!isConfirmed && now < report.receivedAt + lag + VerifyTimeout) {
            return false;
        }
        suspect(report.signature, report.suspicion, now);
        return true;
    });
}

bool CrashGuard::onRefutation(const wire::CrashRefutation &refutation, Instant now)
{
    return evidence_.refute(refutation, now);
}

bool CrashGuard::onProbe(std::uint64_t signature, Instant now)
{
    const bool isNew = !probedAt_.contains(signature);
    probedAt_[signature] = now;
    return isNew;
}

bool CrashGuard::isConvicted(Signatures signatures) const
{
    return std::any_of(signatures.begin(), signatures.end(), [&](std::uint64_t signature) { return evidence_.conviction(signature) != nullptr; });
}

CrashGuard::Verdict CrashGuard::judge(Signatures signatures, std::uint32_t instances, Instant now) const
{
    std::size_t convicted = 0;
    for (const std::uint64_t signature : signatures) {
        convicted += evidence_.conviction(signature) != nullptr ? 1 : 0;
    }
    if (convicted == 0) {
        return Verdict::Pass;
    }
    bool mayProbeAll = true;
    for (const std::uint64_t signature : signatures) {
        if (const CrashEvidence::Conviction *conviction = evidence_.conviction(signature)) {
            const Instant delay = probeInterval(*conviction) * (convicted == 1 ? 1 : AmbiguousProbeFactor);
            mayProbeAll = mayProbeAll && mayProbe(signature, *conviction, instances, delay, now);
        }
    }
    if (mayProbeAll) {
        return Verdict::Probe;
    }
    return evidence_.conviction(signatures.front()) != nullptr ? Verdict::RequestConvicted : Verdict::PartConvicted;
}

bool CrashGuard::mayProbe(std::uint64_t signature, const CrashEvidence::Conviction &conviction, std::uint32_t instances, Instant delay, Instant now) const
{
    const Instant dueAt = conviction.lastCrashAt + delay;
    if (now < dueAt || probedAt_.contains(signature)) {
        return false;
    }
    const double turns = std::chrono::duration<double, std::milli>(now - dueAt).count() / TurnPeriodMs;
    const double share = std::exp2(turns) / std::max(1U, instances);
    constexpr std::uint64_t Steps = 1U << 20;
    const double place = static_cast<double>(base::mixBits(signature ^ ownHash_ ^ conviction.failedProbes) % Steps) / Steps;
    return place < share;
}

void CrashGuard::onProbeSent(Signatures signatures, Instant now)
{
    for (const std::uint64_t signature : signatures) {
        if (evidence_.conviction(signature) != nullptr) {
            onProbe(signature, now);
            news_.probes.push_back(signature);
        }
    }
}

bool CrashGuard::lift(std::uint64_t signature, Instant now)
{
    if (evidence_.conviction(signature) == nullptr) {
        return false;
    }
    served_.onServed(signature, now);
    acquit(signature);
    return true;
}

void CrashGuard::addNews(const CrashNews &news)
{
    news_.reports.insert(news_.reports.end(), news.reports.begin(), news.reports.end());
    news_.probes.insert(news_.probes.end(), news.probes.begin(), news.probes.end());
    addRefutations(news.refutations);
}

std::string CrashGuard::evidenceText(Signatures signatures, Instant now) const
{
    std::string text;
    for (const std::uint64_t signature : signatures) {
        if (const CrashEvidence::Conviction *conviction = evidence_.conviction(signature)) {
            text += (text.empty() ? "" : "; ") + std::string("signature ") + std::to_string(signature) + ", " + std::to_string(conviction->crashes)
                + " crashes, the last " + std::to_string((now - conviction->lastCrashAt) / Ms(1)) + " ms ago, " + std::to_string(conviction->failedProbes)
                + " failed probes";
        }
    }
    return text;
}

CrashNews CrashGuard::takeNews(Instant now)
{
    CrashNews taken = std::exchange(news_, {});
    if (now >= convictionsSentAt_ + RepeatPeriod) {
        convictionsSentAt_ = now;
        std::erase_if(taken.reports, [&](const wire::CrashReport &report) { return evidence_.conviction(report.signature) != nullptr; });
        const std::vector<wire::CrashReport> convicting = evidence_.convictingReports(now);
        taken.reports.insert(taken.reports.end(), convicting.begin(), convicting.end());
    }
    return taken;
}

} // namespace relay
