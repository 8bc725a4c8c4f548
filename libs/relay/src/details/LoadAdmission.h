#pragma once

#include "admission/AdmissionLevel.h"
#include "admission/ExpectedReturns.h"
#include "admission/FlowMeter.h"
#include "details/EndpointRegistry.h"
#include "details/OpenCalls.h"
#include "details/PeerLoads.h"

#include <functional>
#include <map>

namespace relay {

/// Decides which new streams are rejected while the capacity of their service is insufficient (design note 0023). Active for a service with layers if the
/// requests to it have more than one priority.
class LoadAdmission
{
public:
    /// Predictions for a new stream.
    struct Prediction {
        double firstTokenMs = 0;
        double tokenMs = 0;
        double waitMs = 0;
        /// A pipeline exists.
        bool hasPath = false;
    };
    /// What the decision was about, for the log.
    struct Verdict {
        bool isAdmitted = true;
        bool isReturn = false;
        /// Time for which a rejected caller should stay away.
        Ms busyFor{0};
        std::string reason;
    };

    LoadAdmission(EndpointRegistry &endpoints, PeerLoads &peers);

    /// Takes a configuration. Levels of services that stay active are kept.
    void onConfig(const FleetConfigPtr &config);
    /// Returns true if the priorities of a service's requests differ.
    bool isActive(const std::string &service) const
    {
        return services_.contains(service);
    }
    /// Computes the admission levels if that is due, and hands the work of this instance's calls to the digests. Returns a line for the log for each service
    /// whose level has changed.
    std::vector<std::string> tick(Instant now);

    /// Counts a new stream of an active service and decides on it. `draw` returns random numbers from [0, 1); it is called only if the decision takes one.
    Verdict judge(const Call &call, const Prediction &prediction, const std::function<double()> &draw, Instant now);
    /// Takes the duration of a stream that has ended as complete.
    void onEnded(const Call &call);
    /// Notes that a new stream was rejected with that retry time, so that its return is recognised.
    void onRejected(const Call &call, Ms retryAfter, Instant now);

    /// Returns the requests whose return this instance and others have announced since the last call.
    admission::ExpectedReturns::News takeReturns(Instant now)
    {
        return returns_.takeNews(now);
    }
    /// Takes the announcements of another instance's digest.
    void onReturns(const std::vector<std::uint32_t> &requests, Instant now)
    {
        returns_.onNews(requests, now);
    }
    /// Returns the state of the levels, for metrics.
    std::vector<AdmissionView> views() const;

private:
    struct ServiceState {
        admission::AdmissionLevel level;
        std::uint32_t hash = 0;
        placement::EngineProfile engine;
        /// Mean duration of a stream for each expected token of its answer; 0 before the first prediction.
        double msPerAnswerToken = 0;
        /// Rejected requests by priority.
        std::map<int, std::uint64_t> rejected;
        /// Shares that were last written to the log, and when.
        std::vector<double> loggedShares;
        Instant loggedAt{0};
    };

    /// Returns the capacity of the service's scarcest layer, by the context memory of its holders, and what of it is in use.
    admission::Capacity capacityOf(const std::string &service, const placement::EngineProfile &engine, Instant now) const;
    /// Returns a line for the log if the shares differ enough from those that were last written.
    static std::optional<std::string> changeOf(const std::string &service, ServiceState &state, Instant now);
    static std::string textOf(const ServiceState &state, const admission::Request &request, double probability);

    EndpointRegistry &endpoints_;
    PeerLoads &peers_;
    std::map<std::string, ServiceState> services_;
    admission::FlowMeter meter_;
    admission::ExpectedReturns returns_;
    Instant updatedAt_{0};
};

} // namespace relay
