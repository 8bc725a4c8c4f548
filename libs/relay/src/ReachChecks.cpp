#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

std::vector<EndpointIndex> RelayKernel::Impl::endpointsInService() const
{
    std::vector<EndpointIndex> inService;
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        if (endpoints.at(i).listed && !endpoints.at(i).entry.draining) {
            inService.push_back(i);
        }
    }
    return inService;
}

void RelayKernel::Impl::onReceived(Instant now, EndpointIndex endpoint, bool isOnNewConnection)
{
    endpoints.at(endpoint).answeredAt = now;
    if (isOnNewConnection) {
        reach.onReached(now);
    } else {
        reach.onReceived(now);
    }
}

void RelayKernel::Impl::checkReach(Instant now)
{
    for (const auto &[id, attempt] : attempts) {
        reach.onWaiting(attempt.lastProgressAt, now);
    }
    const std::vector<EndpointIndex> inService = endpointsInService();
    switch (reach.tick(inService, now)) {
    case EndpointReach::Change::None:
        break;
    case EndpointReach::Change::CutOff:
        onCutOff(now);
        break;
    case EndpointReach::Change::ReachesAgain:
        onReachAgain(now);
        break;
    }
    for (const EndpointIndex endpoint : reach.dueChecks(inService, now)) {
        checkDirectly(endpoint);
    }
}

void RelayKernel::Impl::onCutOff(Instant now)
{
    const Ms quiet = std::chrono::duration_cast<Ms>(now - reach.reachedAt());
    driver.record({"endpoints_lost", "", settings.instance, "no endpoint answers; the last one did " + std::to_string(quiet.count()) + " ms ago"});
    crashGuard.distrustSince(reach.reachedAt());
    planner.release();
    peers.expedite();
}

void RelayKernel::Impl::onReachAgain(Instant now)
{
    driver.record({"endpoints_reached", "", settings.instance, ""});
    if (!stopping) {
        planner.resume();
    }
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        EndpointState &state = endpoints.at(i);
        if (state.silentCheckAt.count() != 0) {
            // Its silence was probably the network's.
            state.silentCheckAt = now;
            state.silenceCount = 0;
        }
    }
    peers.expedite();
}

void RelayKernel::Impl::checkDirectly(EndpointIndex endpoint)
{
    const EndpointEntry &entry = endpoints.at(endpoint).entry;
    EndpointCheck check{entry.id, entry.address, ""};
    if (entry.accelerator.empty() && config) {
        const auto service = std::find_if(config->services.begin(), config->services.end(), [&](const Service &each) { return each.name == entry.service; });
        check.healthPath = service == config->services.end() ? "" : service->healthPath;
    }
    ++counters.checks;
    driver.checkEndpoint(check);
}

void RelayKernel::Impl::requestSign(Instant now, EndpointIndex index, Ms period)
{
    EndpointState &state = endpoints.at(index);
    if (!state.entry.accelerator.empty()) {
        return requestReport(now, index, period);
    }
    if (!state.reportPending && now >= state.reportRequestedAt + period) {
        state.reportPending = true;
        state.reportRequestedAt = now;
        checkDirectly(index);
    }
}

void RelayKernel::onCheck(Instant now, const std::string &endpoint, CheckOutcome outcome)
{
    const auto index = impl_->endpoints.find(endpoint);
    if (!index) {
        return;
    }
    impl_->driver.record({"endpoint_checked", "", endpoint, std::string(base::nameIn(CheckOutcomeNames, outcome))});
    EndpointState &state = impl_->endpoints.at(*index);
    const bool givesReports = !state.entry.accelerator.empty();
    state.reportPending = state.reportPending && givesReports;
    if (outcome == CheckOutcome::Answered) {
        impl_->onReceived(now, *index, true);
        if (!givesReports) {
            impl_->endpoints.endSilence(*index);
        }
        return;
    }
    if (outcome != CheckOutcome::NoAnswer) {
        state.foundGoneAt = now;
    }
    if (outcome == CheckOutcome::Replaced) {
        impl_->reach.onReached(now);
    } else {
        impl_->reach.onFailed(*index, now);
    }
    if (!givesReports && state.silentCheckAt.count() != 0) {
        impl_->endpoints.setSilent(*index, now);
    }
}

} // namespace relay
