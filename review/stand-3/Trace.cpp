// A client that isn't under control sends requests which can't be passed on. The instances hold the runners for unreachable because of that, and turn all other
// clients of these runners away.
#include "Cases.h"

namespace stand {

namespace {

/// Returns the manifest of before, without the route of the streams.
json::object firstManifest()
{
    json::object first = manifest(7);
    json::array routes;
    for (const json::value &route : first.at("Routes").as_array()) {
        if (route.at("Name").as_string() != "r-stream") {
            routes.push_back(route);
        }
    }
    first["Routes"] = routes;
    return first;
}

struct Share {
    int sent = 0;
    int served = 0;
    double ratio() const
    {
        return sent > 0 ? static_cast<double>(served) / sent : 0;
    }
    std::string text() const
    {
        return std::to_string(served) + " of " + std::to_string(sent);
    }
};

Share servedOf(const std::vector<Sent> &results, double from, double to)
{
    Share share;
    for (const Sent &sent : results) {
        if (sent.outcome.sentAt >= from && sent.outcome.sentAt < to) {
            ++share.sent;
            share.served += sent.outcome.response.status == 200 && sent.outcome.isWhole ? 1 : 0;
        }
    }
    return share;
}

} // namespace

int runTrace(Record &record)
{
    constexpr double StreamsPerSecond = 15;
    constexpr double LookupsPerSecond = 5;
    constexpr double ForeignPerSecond = 60;
    constexpr double RunMs = 15000;
    /// The added route is in force, and the runners have their layers, after this time.
    constexpr double SettleMs = 5000;
    Bed bed(record);
    bed.store.put("config", "main", firstManifest());
    if (!bed.start(false)) {
        return CannotRun;
    }
    bed.store.put("config", "main", manifest(8));
    record.line("the manifest with the route of the streams is acknowledged");
    sleepMs(SettleMs);
    const auto stream = []() {
        return streamRequest("/tutor/walk", "aa:40," + newId().substr(0, 8) + ":60", 100, 60);
    };
    Traffic streams(bed, stream, StreamsPerSecond, 8000);
    Traffic lookups(
        bed, []() { return requestOf("GET", "/desk/read/" + newId(), 2500); }, LookupsPerSecond, 2500);
    sleepMs(2000);
    const double from = nowMs();
    {
        const std::string method = isTroubleOff() ? "POST" : "TRACE";
        const auto odd = [&]() {
            Request request = stream();
            request.method = method;
            return request;
        };
        Traffic foreign(bed, odd, ForeignPerSecond, 8000);
        sleepMs(RunMs);
    }
    const double to = nowMs();
    sleepMs(1000);
    streams.stop();
    lookups.stop();
    const Share added = servedOf(streams.results(), from, to);
    const Share first = servedOf(lookups.results(), from, to);
    record.line("while the foreign client sends " + std::to_string(static_cast<int>(ForeignPerSecond)) + " requests a second: served on the added route "
                + added.text() + ", on the first routes " + first.text());
    if (added.sent < 20 || first.served == 0) {
        return CannotRun;
    }
    return added.ratio() * 4 < first.ratio() ? Broken : Held;
}

} // namespace stand
