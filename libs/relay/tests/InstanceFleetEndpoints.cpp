#include "InstanceFleet.h"

#include <algorithm>

using namespace relay;

namespace {

/// Time from the dispatch of a request to its first event.
constexpr Ms FirstEventDelay{75};

} // namespace

InstanceFleet::Endpoint &InstanceFleet::endpointOf(const std::string &id)
{
    return *std::find_if(endpoints.begin(), endpoints.end(), [&](const Endpoint &endpoint) { return endpoint.entry.id == id; });
}

void InstanceFleet::answerReports()
{
    for (const auto &instance : instances) {
        for (; instance->answeredReports < instance->driver.reportRequests.size(); ++instance->answeredReports) {
            const Endpoint &endpoint = endpointOf(instance->driver.reportRequests[instance->answeredReports]);
            if (endpoint.downUntil.count() != 0 || instance->endpointCut != EndpointCut::None) {
                instance->kernel->onReport(now, endpoint.entry.id, std::nullopt);
                continue;
            }
            EndpointReport report;
            report.incarnation = endpoint.entry.incarnation;
            report.layers = endpoint.entry.layers;
            instance->kernel->onReport(now, endpoint.entry.id, report);
        }
    }
}

void InstanceFleet::answerChecks()
{
    for (const auto &instance : instances) {
        for (; instance->answeredChecks < instance->driver.checks.size(); ++instance->answeredChecks) {
            const Endpoint &endpoint = endpointOf(instance->driver.checks[instance->answeredChecks]);
            CheckOutcome outcome = endpoint.downUntil.count() != 0 ? CheckOutcome::Unreachable : CheckOutcome::Answered;
            if (instance->endpointCut != EndpointCut::None) {
                outcome = instance->endpointCut == EndpointCut::Silent ? CheckOutcome::NoAnswer : CheckOutcome::Unreachable;
            }
            instance->kernel->onCheck(now, endpoint.entry.id, outcome);
        }
    }
}

void InstanceFleet::cutRuns()
{
    std::vector<Run> reset;
    std::erase_if(runs_, [&](const Run &run) {
        const EndpointCut cut = instances[run.instance]->endpointCut;
        if (cut == EndpointCut::Reset) {
            reset.push_back(run);
        }
        return cut != EndpointCut::None;
    });
    for (const Run &run : reset) {
        instances[run.instance]->kernel->onFailure(now, run.attempt, AttemptFailure::Broken);
    }
}

void InstanceFleet::processDispatches()
{
    for (std::size_t i = 0; i < instances.size(); ++i) {
        Instance &instance = *instances[i];
        for (; instance.processedDispatches < instance.driver.sent.size(); ++instance.processedDispatches) {
            const Dispatch dispatch = instance.driver.sent[instance.processedDispatches];
            sentByOlderConfig_ += instance.kernel->configVersion() < versionAtArrival_.at({i, dispatch.call}) ? 1 : 0;
            if (++dispatchesOfCall_[{i, dispatch.call}] > 1) {
                retryTimes_.push_back(now);
            }
            if (endpointOf(dispatch.endpoint).fails) {
                AnswerHead error;
                error.status = 500;
                instance.kernel->onAnswer(now, dispatch.attempt, error);
                continue;
            }
            if (instance.endpointCut == EndpointCut::Silent) {
                continue;
            }
            if (endpointOf(dispatch.endpoint).downUntil.count() != 0 || instance.endpointCut == EndpointCut::Reset) {
                instance.kernel->onFailure(now, dispatch.attempt, AttemptFailure::NotSent);
                continue;
            }
            sent_.push_back({now, lastPartOfCall_.at({i, dispatch.call}), dispatch.endpoint});
            if (endpointOf(dispatch.endpoint).isDamaged) {
                instance.kernel->onFailure(now, dispatch.attempt, AttemptFailure::Malformed);
                continue;
            }
            runs_.push_back({i, dispatch.attempt, dispatch.call, dispatch.endpoint, now + FirstEventDelay});
        }
    }
}

void InstanceFleet::beginRuns()
{
    for (std::size_t i = 0; i < runs_.size();) {
        const Run run = runs_[i];
        if (instances[run.instance]->driver.wasCancelled(run.attempt)) {
            runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(i));
            continue;
        }
        if (now < run.firstEventAt) {
            ++i;
            continue;
        }
        const std::uint64_t lastPart = lastPartOfCall_.at({run.instance, run.call});
        if (lastPart == FatalPart && ++fatalRuns_ % runsPerCrash == 0) {
            fatalCrashes_.push_back(now);
            crash(endpointOf(run.endpoint));
            i = 0;
            continue;
        }
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(i));
        begun_.push_back({now, lastPart, run.endpoint});
        AnswerHead head;
        head.status = 200;
        head.verified = true;
        head.requestLimit = endpointOf(run.endpoint).requestLimit;
        instances[run.instance]->kernel->onHead(now, run.attempt, head);
        instances[run.instance]->kernel->onEvent(now, run.attempt, 1);
        instances[run.instance]->kernel->onStreamEnd(now, run.attempt);
    }
}

void InstanceFleet::crash(std::size_t endpoint)
{
    crash(endpoints[endpoint]);
}

void InstanceFleet::crash(Endpoint &endpoint)
{
    endpoint.downUntil = now + RestartTime;
    std::vector<Run> lost;
    std::erase_if(runs_, [&](const Run &run) {
        const bool isLost = run.endpoint == endpoint.entry.id;
        if (isLost) {
            lost.push_back(run);
        }
        return isLost;
    });
    for (const Run &run : lost) {
        instances[run.instance]->kernel->onFailure(now, run.attempt, AttemptFailure::Broken);
    }
}
