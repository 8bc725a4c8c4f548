#include "details/KernelImpl.h"

#include <algorithm>

namespace trefoilport {

namespace {

std::vector<EndpointStatus> describeEndpoints(const EndpointTable &table)
{
    std::vector<EndpointStatus> out;
    for (EndpointIndex index = 0; index < table.size(); ++index) {
        const Endpoint &endpoint = table.at(index);
        const EndpointInfo &info = endpoint.info;
        EndpointStatus status;
        status.id = info.id;
        status.kind = base::nameIn(EndpointKindNames, info.kind);
        status.zone = info.zone;
        status.serves = info.serves;
        status.state = table.stateOf(index);
        status.firstLayer = info.firstLayer;
        status.endLayer = info.endLayer;
        status.inFlight = endpoint.inFlight;
        status.reported = endpoint.reported;
        out.push_back(std::move(status));
    }
    return out;
}

std::uint32_t countUsable(const EndpointTable &table, const std::string &name)
{
    const std::vector<EndpointIndex> &serving = table.serving(name);
    const auto isUsable = [&](EndpointIndex index) {
        return table.isUsable(index);
    };
    return static_cast<std::uint32_t>(std::count_if(serving.begin(), serving.end(), isUsable));
}

RouteStatus describeModel(KernelContext &context, const std::string &name, const settings::ModelConfig &model)
{
    RouteStatus route{name, "pipeline", "model " + name, countUsable(context.endpoints, name), {}, 0};
    PipelineRequest request;
    request.model = name;
    request.layers = static_cast<std::uint32_t>(model.layers);
    request.policy = model.policy;
    request.needsRoom = false;
    for (const EndpointIndex index : context.chooser.choosePipeline(request)) {
        route.pipeline.push_back(context.endpoints.at(index).info.id);
    }
    return route;
}

} // namespace

StatusReport Kernel::Impl::describe(base::Now now)
{
    StatusReport report;
    report.instance = context.settings.id;
    report.zone = context.settings.zone;
    report.revision = context.config.revision();
    report.stagedRevision = context.config.stagedRevision();
    report.waitingFor = context.config.waitingFor();
    report.confirmed = context.config.isConfirmed(now);
    report.storeReachable = context.config.storeReachable();
    report.stopping = stopping;
    report.openCalls = static_cast<std::uint32_t>(pipelines.openCount() + services.openCount());
    report.counters = context.counters;
    report.instances = context.membership.describe(now);
    report.endpoints = describeEndpoints(context.endpoints);
    if (!context.config.inForce()) {
        return report;
    }
    for (const auto &[name, model] : context.config.inForce()->models) {
        report.routes.push_back(describeModel(context, name, model));
        report.routes.back().queued = pipelines.queuedFor(name);
    }
    for (const auto &[name, service] : context.config.inForce()->services) {
        report.routes.push_back({name, "service", service.prefix, countUsable(context.endpoints, name), {}, 0});
    }
    return report;
}

} // namespace trefoilport
