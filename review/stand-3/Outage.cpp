// The store goes away just after a change of the manifest and comes back. The instance, which reaches it again, goes on by the old version.
#include "Cases.h"

namespace stand {

namespace {

constexpr double AwayMs = 8000;
constexpr double StableWindowMs = 3000;
constexpr double ConfigApplyMs = 2000;
/// Beyond the bounds, so that nothing hangs on the moment at which they end.
constexpr double MarginMs = 300;
/// So many requests by the old version are enough to end the case.
constexpr int Enough = 5;
constexpr double WatchMs = 5000;
constexpr int Changes = 6;
constexpr int Routers = 1;
constexpr double LookupsPerSecond = 20;

/// Returns the manifest of that version, by which the lookups go to the service; they need no key.
json::object lookupsAt(int version, const std::string &service)
{
    json::object changed = manifest(version);
    for (json::value &route : changed.at("Routes").as_array()) {
        if (route.at("Name").as_string() == "r-read") {
            route.as_object()["Service"] = service;
            route.as_object()["Public"] = true;
        }
    }
    json::object second = changed.at("Services").as_array().back().as_object();
    second["Name"] = "desk-2";
    changed.at("Services").as_array().push_back(second);
    return changed;
}

} // namespace

int runOutage(Record &record)
{
    Bed bed(record, Routers);
    std::mutex mutex;
    std::map<std::string, std::string> serviceOf;
    const auto runAs = [&](const std::string &service) {
        return [&, service](Runner &runner, Work &work) {
            {
                const std::lock_guard lock(mutex);
                serviceOf[work.id] = service;
            }
            return plainWork(record, 30)(runner, work);
        };
    };
    bed.desks.clear();
    for (int i = 0; i < 6; ++i) {
        const std::string service = i < 3 ? "desk" : "desk-2";
        bed.desks.push_back(
            std::make_unique<Runner>(bed.store, hostOf(140 + i), service + "-" + std::to_string(i), Runner::Kind{service, "", "ikeja", 6}, runAs(service)));
    }
    bed.store.put("config", "main", lookupsAt(10, "desk"));
    if (!bed.start()) {
        return CannotRun;
    }
    sleepMs(2000);
    int stale = 0;
    for (int change = 1; change <= Changes && stale < Enough; ++change) {
        const std::string before = change % 2 == 1 ? "desk" : "desk-2";
        const std::string after = change % 2 == 1 ? "desk-2" : "desk";
        Traffic lookups(
            bed, []() { return requestOf("GET", "/desk/read/" + newId(), 2500); }, LookupsPerSecond, 2500);
        sleepMs(500);
        bed.store.put("config", "main", lookupsAt(10 + change, after));
        const double ackedAt = nowMs();
        record.line("version " + std::to_string(10 + change) + ", by which lookups go to " + after + ", is acknowledged");
        if (!isTroubleOff()) {
            bed.store.setAway(true);
            record.line("the store goes away");
            sleepMs(AwayMs);
            bed.store.setAway(false);
            record.line("the store is back");
        }
        // From here on the instance is in touch again.
        sleepMs((isTroubleOff() ? ConfigApplyMs : StableWindowMs) + MarginMs);
        const double from = nowMs();
        sleepMs(WatchMs);
        lookups.stop();
        int sent = 0;
        int late = 0;
        for (const Sent &result : lookups.results()) {
            if (result.outcome.sentAt >= from && result.outcome.sentAt >= ackedAt + ConfigApplyMs) {
                ++sent;
                const std::lock_guard lock(mutex);
                late += serviceOf[result.id] == before ? 1 : 0;
            }
        }
        stale += late;
        record.line("change " + std::to_string(change) + ": lookups sent more than " + std::to_string(static_cast<int>(from - ackedAt))
                    + " ms after the ack, with the instance in touch: " + std::to_string(sent) + ", run by the old service: " + std::to_string(late));
    }
    record.line("lookups that were handled by an older version only, with the instance in touch: " + std::to_string(stale));
    return stale > 0 ? Broken : Held;
}

} // namespace stand
