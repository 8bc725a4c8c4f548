#pragma once

#include "Messages.h"
#include "wire/RelayDigest.h"

#include <string>
#include <utility>
#include <vector>

/// Messages and stored objects that use every field of this commit. It compiles in earlier commits, which lack some fields.
namespace samples {

template<typename Digest>
void addNewerFields(Digest &digest)
{
    if constexpr (requires { digest.handOverAddress; }) {
        digest.handOverAddress = "10.0.0.1:7103";
        digest.reachesNoEndpoint = true;
        digest.crashReports.back().inference = 77;
        digest.crashRefutations.back().inference = 78;
    }
}

inline wire::RelayDigest fullDigest(wire::DigestScope scope)
{
    wire::RelayDigest digest;
    digest.instance = "front-1";
    digest.leaving = true;
    digest.loads = {{101, 3, 2560, 0, 0}, {102, 1, 512, 256, 1024}};
    digest.silent = {{103, 1700000000001ULL}};
    digest.slow = {{104, 2.5}};
    digest.crashReports.resize(2);
    digest.crashReports[0].signature = 0xF000000000000001ULL;
    digest.crashReports[0].crash = 1;
    digest.crashReports[0].age = std::chrono::milliseconds(1500);
    digest.crashReports[1].signature = 12;
    digest.crashReports[1].crash = 2;
    digest.crashReports[1].age = std::chrono::milliseconds(300);
    digest.configVersion = 41;
    digest.endpointsHash = 0xF000000000000002ULL;
    digest.endpointsVersion = {2, 1234};
    digest.isStale = true;
    digest.meshAddress = "10.0.0.1:7102";
    digest.zone = "zone-a";
    digest.scope = scope;
    if (scope != wire::DigestScope::Instance) {
        digest.countedInstances = 68;
        digest.knownInstances = 69;
    }
    digest.toAggregator = true;
    digest.requestsFleetLoads = true;
    digest.aggregators = {{"front-2", "10.0.0.2:7102"}};
    digest.failing = {{105, 8.5, 2.25}};
    digest.crashRefutations.resize(2);
    digest.crashRefutations[0].signature = 11;
    digest.crashRefutations[0].crash = 3;
    digest.crashRefutations[1].signature = 13;
    digest.crashRefutations[1].crash = 4;
    digest.crashProbes = {0xF000000000000003ULL};
    digest.limits = {{106, 12.5, std::chrono::milliseconds(120)}, {107, 0, std::chrono::milliseconds(50)}};
    digest.leavingEndpoints = {{108, 1700000000002ULL}};
    addNewerFields(digest);
    return digest;
}

inline wire::EndpointListChanges changes(bool isComplete)
{
    const wire::EndpointRecord engine{"engine-1", "model", "10.0.1.1:80", "zone-b", 1700000000003ULL, true, 8, "gpu", 16, 32, 5};
    return {{engine, {"desk-1", "desk", "10.0.1.2:80", "zone-a", 7, false, 6, "", 0, 0, 0}}, {"engine-2"}, isComplete};
}

inline std::vector<std::pair<std::string, wire::RelayMessage>> messages()
{
    wire::RelayDigest least;
    least.instance = "front-1";
    const wire::FreshnessReply reply{9, 41, 120, 0xF000000000000002ULL, 80, {2, 1234}, {}};
    wire::FreshnessReply withChanges = reply;
    withChanges.changes = changes(false);
    wire::FreshnessReply withList = reply;
    withList.changes = changes(true);
    return {{"digest-least", least},
            {"digest-instance", fullDigest(wire::DigestScope::Instance)},
            {"digest-zone", fullDigest(wire::DigestScope::Zone)},
            {"digest-fleet", fullDigest(wire::DigestScope::Fleet)},
            {"freshness-request", wire::FreshnessRequest{"front-1", 9, {2, 1234}, "10.0.0.1:7102"}},
            {"freshness-reply", reply},
            {"freshness-reply-changes", withChanges},
            {"freshness-reply-list", withList}};
}

template<typename Instance = relay::InstanceEntry>
Instance instance()
{
    Instance entry;
    entry.id = "front-1";
    entry.meshAddress = "10.0.0.1:7102";
    entry.zone = "zone-a";
    if constexpr (requires { entry.handOverAddress; }) {
        entry.handOverAddress = "10.0.0.1:7103";
    }
    return entry;
}

inline relay::LeaseRecord lease()
{
    return {"front-1/1700000000000", 3145729, 17};
}

} // namespace samples
