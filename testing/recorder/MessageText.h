#pragma once

#include "wire/RelayDigest.h"

#include <sstream>
#include <string>

/// Text with all values of a relay message that differ from zero. It compiles in earlier commits, which lack some fields; values that a commit doesn't have
/// are missing from its text.
namespace messagetext {

/// Collects the values of one message.
class Writer
{
public:
    template<typename Value>
    Writer &add(const char *name, const Value &value)
    {
        if (value != Value{}) {
            separate();
            text_ << name << '=' << value;
        }
        return *this;
    }
    /// Begins an element of a list.
    Writer &begin(const char *list)
    {
        separate();
        text_ << list << ':';
        return *this;
    }
    Writer &version(const wire::StoreVersion &version)
    {
        return add("epoch", version.epoch).add("revision", version.revision);
    }
    std::string text() const
    {
        return text_.str();
    }

private:
    void separate()
    {
        if (text_.tellp() > 0) {
            text_ << ' ';
        }
    }

    std::ostringstream text_;
};

template<typename Report>
void addCrash(Writer &out, const Report &report)
{
    out.begin("crash").add("signature", report.signature).add("crash", report.crash).add("age", report.age.count());
    if constexpr (requires { report.inference; }) {
        out.add("inference", report.inference);
    }
}

template<typename Refutation>
void addRefutation(Writer &out, const Refutation &refutation)
{
    out.begin("refuted").add("signature", refutation.signature).add("crash", refutation.crash);
    if constexpr (requires { refutation.inference; }) {
        out.add("inference", refutation.inference);
    }
}

/// Adds what a digest or an entry of the list of instances says of hand-overs.
template<typename Source>
void addHandOver(Writer &out, const Source &source)
{
    if constexpr (requires { source.handOverAddress; }) {
        out.add("handOver", source.handOverAddress);
    }
    if constexpr (requires { source.reachesNoEndpoint; }) {
        out.add("reachesNoEndpoint", source.reachesNoEndpoint);
    }
}

inline void addEndpoints(Writer &out, const wire::RelayDigest &digest)
{
    for (const auto &load : digest.loads) {
        out.begin("load").add("endpoint", load.endpoint).add("open", load.openRequests).add("context", load.contextTokens);
        out.add("prefill", load.pendingPrefillTokens).add("link", load.pendingLinkTokens);
    }
    for (const auto &silent : digest.silent) {
        out.begin("silent").add("endpoint", silent.endpoint).add("incarnation", silent.incarnation);
    }
    for (const auto &slow : digest.slow) {
        out.begin("slow").add("endpoint", slow.endpoint).add("slowdown", slow.slowdown);
    }
    for (const auto &failing : digest.failing) {
        out.begin("failing").add("endpoint", failing.endpoint).add("answers", failing.answers).add("failures", failing.failures);
    }
    for (const auto &limit : digest.limits) {
        out.begin("limit").add("endpoint", limit.endpoint).add("perSecond", limit.perSecond).add("age", limit.age.count());
    }
    for (const auto &leaving : digest.leavingEndpoints) {
        out.begin("leavingEndpoint").add("endpoint", leaving.endpoint).add("incarnation", leaving.incarnation);
    }
}

inline std::string textOf(const wire::RelayDigest &digest)
{
    Writer out;
    out.add("instance", digest.instance).add("leaving", digest.leaving).add("scope", static_cast<int>(digest.scope));
    out.add("counted", digest.countedInstances).add("known", digest.knownInstances).add("zone", digest.zone).add("mesh", digest.meshAddress);
    out.add("toAggregator", digest.toAggregator).add("requestsFleetLoads", digest.requestsFleetLoads).add("config", digest.configVersion);
    out.add("hash", digest.endpointsHash).version(digest.endpointsVersion).add("isStale", digest.isStale);
    addHandOver(out, digest);
    addEndpoints(out, digest);
    for (const auto &report : digest.crashReports) {
        addCrash(out, report);
    }
    for (const auto &refutation : digest.crashRefutations) {
        addRefutation(out, refutation);
    }
    for (const auto probe : digest.crashProbes) {
        out.begin("probe").add("signature", probe);
    }
    for (const auto &aggregator : digest.aggregators) {
        out.begin("aggregator").add("instance", aggregator.instance).add("mesh", aggregator.meshAddress);
    }
    return "digest " + out.text();
}

inline std::string textOf(const wire::FreshnessRequest &request)
{
    Writer out;
    out.add("instance", request.instance).add("number", request.number).version(request.endpointsVersion).add("mesh", request.meshAddress);
    return "request " + out.text();
}

inline std::string textOf(const wire::FreshnessReply &reply)
{
    Writer out;
    out.add("number", reply.number).add("config", reply.configVersion).add("configAge", reply.configAgeMs).add("hash", reply.endpointsHash);
    out.add("endpointsAge", reply.endpointsAgeMs).version(reply.endpointsVersion);
    if (reply.changes) {
        out.begin("changes").add("isComplete", reply.changes->isComplete);
        for (const auto &record : reply.changes->changed) {
            out.begin("changed").add("id", record.id).add("service", record.service).add("address", record.address).add("zone", record.zone);
            out.add("incarnation", record.incarnation).add("draining", record.draining).add("slots", record.slots).add("accelerator", record.accelerator);
            out.add("first", record.firstLayer).add("end", record.endLayer).add("model", record.modelVersion);
        }
        for (const auto &id : reply.changes->removed) {
            out.begin("removed").add("id", id);
        }
    }
    return "reply " + out.text();
}

/// Returns the text of encoded bytes, "malformed" if this commit refuses them.
inline std::string textOfBytes(const std::string &bytes)
{
    const auto decoded = wire::decodeRelayMessage(bytes);
    const auto *message = std::get_if<wire::RelayMessage>(&decoded);
    return message == nullptr ? "malformed" : std::visit([](const auto &each) { return textOf(each); }, *message);
}

} // namespace messagetext
