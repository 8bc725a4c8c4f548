// All runners of a service crash at the same moment, while each runs the lookup that most clients ask for. The lookup is taken for the cause.
#include "Cases.h"

namespace stand {

namespace {

constexpr int Crashes = 3;

struct Counts {
    std::size_t all = 0;
    std::size_t served = 0;
    /// Ended with a 3xx or 4xx of the router's own.
    std::size_t denied = 0;

    void add(const std::vector<Sent> &results)
    {
        for (const Sent &sent : results) {
            const int status = sent.outcome.response.status;
            const bool isDenial = status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
            ++all;
            served += status == 200 ? 1 : 0;
            denied += isDenial && sent.outcome.response.header("X-Response-Seal").empty() ? 1 : 0;
        }
    }
    double allowed() const
    {
        return 5 + static_cast<double>(all) / 500;
    }
    bool isBroken() const
    {
        return static_cast<double>(denied) > allowed();
    }
};

} // namespace

int runLookups(Record &record)
{
    constexpr double LookupsPerSecond = 50;
    constexpr double WorkMs = 150;
    constexpr double DownMs = 3000;
    Bed bed(record);
    bed.desks.clear();
    for (int i = 0; i < 3; ++i) {
        bed.desks.push_back(
            std::make_unique<Runner>(bed.store, hostOf(140 + i), "desk" + std::to_string(i), Runner::Kind{"desk", "", "ikeja", 6}, plainWork(record, WorkMs)));
    }
    if (!bed.start()) {
        return CannotRun;
    }
    Traffic streams(
        bed, []() { return streamRequest("/tutor/walk", "aa:40," + newId().substr(0, 8) + ":60", 100, 60); }, 10, 8000);
    Traffic lookups(
        bed, []() { return requestOf("GET", "/desk/read/friday", 2500); }, LookupsPerSecond, 2500);
    sleepMs(6000);
    Counts counts;
    for (int crash = 0; crash < Crashes && !counts.isBroken(); ++crash) {
        if (!isTroubleOff()) {
            record.line("all runners of the desk crash");
            Runner::crashTogether(bed.desks);
            sleepMs(DownMs);
            for (auto &desk : bed.desks) {
                desk->restart(false);
            }
            record.line("all runners of the desk are back");
        }
        sleepMs(6000);
        counts = {};
        counts.add(lookups.results());
        counts.add(streams.results());
    }
    lookups.stop();
    streams.stop();
    counts = {};
    counts.add(lookups.results());
    counts.add(streams.results());
    record.line("requests: " + std::to_string(counts.all) + ", served: " + std::to_string(counts.served)
                + ", denied with a 4xx of the router's own: " + std::to_string(counts.denied) + ", allowed: " + std::to_string(counts.allowed()));
    return counts.isBroken() ? Broken : Held;
}

} // namespace stand
