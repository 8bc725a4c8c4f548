#pragma once

#include "details/CrashEvidence.h"
#include "details/EndpointRegistry.h"

#include <deque>
#include <span>

namespace relay {

/// The signatures of a request, that of its whole content first.
using Signatures = std::span<const std::uint64_t>;

/// By which sign an endpoint is known to have crashed.
enum class CrashSign {
    /// It is there again in a later incarnation.
    Restarted,
    /// The platform no longer lists it, although it wasn't leaving: it may be back under another id.
    Unlisted,
    /// This instance found no process, or another one, at its address. The first may also be due to the network.
    Gone,
    /// It doesn't answer this instance, which may also be due to the network.
    Silent,
};

/// Names of the signs in the log.
inline constexpr base::EnumNames<CrashSign, 4> CrashSignNames = {{
    {CrashSign::Restarted, "restarted"},
    {CrashSign::Unlisted, "unlisted"},
    {CrashSign::Gone, "gone"},
    {CrashSign::Silent, "silent"},
}};

/// What has become of a broken attempt.
struct SettledAttempt {
    EndpointIndex endpoint = 0;
    /// None if its endpoint showed no sign of a crash in time, or other broken attempts have taken its place.
    std::optional<CrashSign> sign;
    /// The new suspicions that it has led to.
    std::vector<wire::CrashReport> reports = {};
};

/// What an instance reports to the others about crashes.
struct CrashNews {
    std::vector<wire::CrashReport> reports;
    std::vector<wire::CrashRefutation> refutations;
    /// Signatures of which a probe has been sent.
    std::vector<std::uint64_t> probes;

    bool isEmpty() const
    {
        return reports.empty() && refutations.empty() && probes.empty();
    }
};

/// Detects what crashes the endpoints: a request that is repeated, or a prompt part that requests share.
///
/// A broken attempt alone proves nothing: it counts as a crash only if its endpoint shows a sign of one shortly afterwards (CrashSign), and no longer if it
/// turns out to have lived on. Each crash counts once, whichever instances report it. A request that begins to be answered proves that its signatures don't
/// crash endpoints. Both kinds of evidence are exchanged by all instances (CrashEvidence).
///
/// Requests with a convicted signature are rejected, except for a probe now and then: if it is answered, the conviction ends.
class CrashGuard
{
public:
    /// May a request be sent?
    enum class Verdict {
        Pass,
        /// It may be sent once, to see whether it still crashes its endpoint.
        Probe,
        /// Requests with the same content have crashed several endpoints.
        RequestConvicted,
        /// Requests that share a part of the prompt have crashed several endpoints.
        PartConvicted,
    };

    explicit CrashGuard(const EndpointRegistry &endpoints)
        : endpoints_(endpoints)
    {
    }

    /// Takes the name of this instance, by which the instances take turns with probes.
    void configure(const RelaySettings &settings);

    /// Records that the endpoint may have crashed on a request with these signatures: the attempt has lost its connection to the endpoint, or the endpoint
    /// has fallen silent. If this instance is cut off from all endpoints, that alone doesn't show a crash.
    void onBroken(Signatures signatures, EndpointIndex endpoint, bool isCutOff, Instant now);

    /// Takes that this instance has been cut off from all endpoints since that time: what broke off since then shows no crash by itself.
    void distrustSince(Instant since);

    /// Refutes all that speaks against these signatures, since an endpoint has begun to answer such a request.
    void onServed(Signatures signatures, Instant now);

    /// Confirms or drops the broken attempts that wait for confirmation; returns those. While `mayInfer` is false, crashes aren't inferred from what endpoints
    /// don't do: this instance may be cut off from them.
    std::vector<SettledAttempt> tick(bool mayInfer, Instant now);

    /// Returns the endpoints that are taken for crashed without proof: a sign of life of them is wanted.
    std::vector<EndpointIndex> doubtfulEndpoints() const;

    /// Takes over a report of another instance. Returns false if it is known, or is refuted by what this instance knows. A crash that is only inferred counts
    /// once this instance finds a sign of it too, or none of life in time.
    bool onReport(const wire::CrashReport &report, Instant now);
    /// Takes over a refutation of another instance. Returns false if it is known.
    bool onRefutation(const wire::CrashRefutation &refutation, Instant now);
    /// Takes over that another instance has sent a probe of a signature. Returns false if one is under way already.
    bool onProbe(std::uint64_t signature, Instant now);

    /// Decides whether a new request may be sent. `instances` is the number of instances among which probes are spread.
    Verdict judge(Signatures signatures, std::uint32_t instances, Instant now) const;
    /// Returns true if one of the signatures is convicted.
    bool isConvicted(Signatures signatures) const;
    /// Records that a request was sent as a probe.
    void onProbeSent(Signatures signatures, Instant now);
    /// Ends a conviction on an operator's order. Returns false if there is none.
    bool lift(std::uint64_t signature, Instant now);

    /// Adds news of other instances, to pass them on.
    void addNews(const CrashNews &news);
    /// Returns what is known of the convicted ones among these signatures, for log lines and answers.
    std::string evidenceText(Signatures signatures, Instant now) const;

    /// Returns the news since the last call. Those that convict a signature are among them again after a while, for instances that have missed them.
    CrashNews takeNews(Instant now);
    /// Returns true if there is something that has not been reported to the others yet.
    bool hasNews() const
    {
        return !news_.isEmpty();
    }

    const CrashEvidence &evidence() const
    {
        return evidence_;
    }
    CrashEvidence &evidence()
    {
        return evidence_;
    }
    /// Returns the signatures whose conviction this instance itself has ended since the last call.
    std::vector<std::uint64_t> takeAcquitted()
    {
        return std::exchange(acquitted_, {});
    }

private:
    /// A broken attempt whose endpoint may have crashed, with the incarnation that the endpoint had then.
    struct BrokenAttempt {
        std::vector<std::uint64_t> signatures;
        EndpointIndex endpoint = 0;
        std::uint64_t incarnation = 0;
        Instant brokenAt{0};
        /// This instance was cut off from all endpoints then.
        bool isCutOff = false;
    };
    /// A crash that was inferred from what an endpoint doesn't do, with the incarnation that the endpoint had then.
    struct InferredCrash {
        std::uint64_t crash = 0;
        /// Value of wire::CrashReport::inference.
        std::uint64_t inference = 0;
        EndpointIndex endpoint = 0;
        std::uint64_t incarnation = 0;
        Instant inferredAt{0};
        /// When the endpoint, perhaps in a later incarnation that isn't listed yet, first answered this instance afterwards; zero if it hasn't.
        Instant answeredAt{0};
    };

    /// A report of another instance about a crash that it has inferred, while this instance looks for a sign of life of the endpoint.
    struct UnverifiedReport {
        std::uint64_t signature = 0;
        CrashEvidence::Suspicion suspicion;
        EndpointIndex endpoint = 0;
        Instant receivedAt{0};
    };

    /// Returns the endpoint whose present incarnation a crash belongs to; none if it is none that this instance knows.
    std::optional<EndpointIndex> endpointOf(std::uint64_t crash) const;
    /// Decides on the reports whose endpoints have shown a sign by now, or none in time.
    void settleUnverified(Instant now);
    /// Adds a suspicion, unless a request with the signature has begun since the crash; returns true if it is new.
    bool suspect(std::uint64_t signature, const CrashEvidence::Suspicion &suspicion, Instant now);
    /// Returns the sign by which the endpoint of a broken attempt is known to have crashed since; none if there is none.
    std::optional<CrashSign> signOf(const BrokenAttempt &broken, bool mayInfer) const;
    /// Adds the suspicions that follow from a broken attempt whose endpoint has crashed; returns the new ones.
    std::vector<wire::CrashReport> confirm(const BrokenAttempt &broken, CrashSign sign, Instant now);
    /// Infers a crash from a broken attempt, and remembers it until the endpoint shows whether it has happened. Returns the number of the inference: that of
    /// an earlier one if the endpoint has shown no life since.
    std::uint64_t infer(const BrokenAttempt &broken, std::uint64_t crash, Instant now);
    /// Refutes the crashes of endpoints that have proved to be alive in the same incarnation.
    void refuteWrongCrashes(Instant now);
    /// Returns whether the endpoint of an inferred crash has proved to be alive in the same incarnation.
    static bool livesOn(const InferredCrash &inferred, const EndpointState &state, Instant now);
    /// Returns true if the time has come to probe a signature and this instance is one of those whose turn it is.
    bool mayProbe(std::uint64_t signature, const CrashEvidence::Conviction &conviction, std::uint32_t instances, Instant delay, Instant now) const;
    /// Refutes all that speaks against a signature.
    void acquit(std::uint64_t signature);
    /// Adds refutations to the news for the other instances.
    void addRefutations(const std::vector<wire::CrashRefutation> &refutations);

    const EndpointRegistry &endpoints_;
    /// Hashes of the name of this instance and of this process.
    std::uint64_t ownHash_ = 0;
    std::uint64_t processHash_ = 0;
    /// Broken attempts that wait for confirmation, oldest first, and those that had to make room for them since the last tick.
    std::deque<BrokenAttempt> brokenAttempts_;
    std::vector<SettledAttempt> droppedAttempts_;
    std::deque<InferredCrash> inferredCrashes_;
    std::deque<UnverifiedReport> unverifiedReports_;
    std::uint64_t inferences_ = 0;
    ServedSignatures served_;
    CrashEvidence evidence_{served_};
    /// When a probe of a signature was last sent by any instance.
    std::unordered_map<std::uint64_t, Instant> probedAt_;
    CrashNews news_;
    std::vector<std::uint64_t> acquitted_;
    /// When the convicting reports were last among the news.
    Instant convictionsSentAt_{0};
};

} // namespace relay
