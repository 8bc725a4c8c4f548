// One entry of another writer, whose bytes can't be read, fills a page of the list of runners. No instance learns of any change from then on.
#include "Cases.h"

namespace stand {

int runOdd(Record &record)
{
    constexpr double DrainMs = 2000;
    constexpr double LingerMs = 6000;
    constexpr double SettleMs = 4000;
    /// What was under way when the bound ended isn't judged.
    constexpr double MarginMs = 300;
    constexpr std::size_t OddBytes = 1048400;
    Bed bed(record);
    std::mutex mutex;
    std::vector<std::pair<double, std::string>> runs;
    bed.desks.clear();
    for (int i = 0; i < 3; ++i) {
        const auto run = [&](Runner &runner, Work &work) {
            {
                const std::lock_guard lock(mutex);
                runs.emplace_back(nowMs(), runner.name());
            }
            return plainWork(record, 30)(runner, work);
        };
        bed.desks.push_back(std::make_unique<Runner>(bed.store, hostOf(140 + i), "desk" + std::to_string(i), Runner::Kind{"desk", "", "ikeja", 6}, run));
    }
    if (!bed.start()) {
        return CannotRun;
    }
    Traffic lookups(
        bed, []() { return requestOf("GET", "/desk/read/" + newId(), 2500); }, 20, 2500);
    sleepMs(1000);
    if (!isTroubleOff()) {
        // Its name holds a byte that isn't UTF-8, as JSON encoders write it that escape what they can't decode.
        bed.store.putOdd("i-e\xff", R"({"Metadata":{"Name":"i-e\udcff","Revision":1},"Spec":")" + std::string(OddBytes, 'x') + R"(","Status":null})");
        record.line("another writer leaves an entry that can't be read");
    }
    sleepMs(SettleMs);
    bed.desks[0]->drain();
    const double ackedAt = nowMs();
    record.line(bed.desks[0]->id() + " is draining, acknowledged");
    sleepMs(DrainMs + LingerMs);
    lookups.stop();
    int late = 0;
    {
        const std::lock_guard lock(mutex);
        for (const auto &[at, name] : runs) {
            late += name == bed.desks[0]->name() && at > ackedAt + DrainMs + MarginMs ? 1 : 0;
        }
    }
    record.line("requests that reached the leaving runner more than " + std::to_string(static_cast<int>(DrainMs + MarginMs))
                + " ms after the ack: " + std::to_string(late) + " of " + std::to_string(lookups.results().size()) + " lookups");
    return late > 0 ? Broken : Held;
}

} // namespace stand
