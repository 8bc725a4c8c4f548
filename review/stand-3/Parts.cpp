// A runner crashes while requests whose prompts have very many parts wait there for their first token. The instances are busy with the parts for so long that
// they answer nobody meanwhile.
#include "Cases.h"

namespace stand {

namespace {

constexpr int Foreign = 60;
constexpr int PartsOfEach = 1850;
constexpr double LookupsPerSecond = 20;
constexpr double TimeoutMs = 1200;
constexpr double LateMs = TimeoutMs + 500;

/// Returns a prompt of that many parts with one token each, which no other prompt shares.
std::string manyParts(int parts)
{
    static std::atomic<unsigned> next{0x10000};
    std::string prefix;
    for (int i = 0; i < parts; ++i) {
        char part[16];
        std::snprintf(part, sizeof part, "%s%05x:1", i > 0 ? "," : "", next++ & 0xfffffU);
        prefix += part;
    }
    return prefix;
}

} // namespace

int runParts(Record &record)
{
    Bed bed(record);
    // Prefill takes a while, as it does while a runner has much to read.
    constexpr double PrefillMs = 600;
    bed.tutors.clear();
    for (int i = 0; i < 3; ++i) {
        const auto run = [&record](Runner &runner, Work &work) {
            for (double waited = 0; waited < PrefillMs && runner.isUp(); waited += 20) {
                sleepMs(20);
            }
            return runner.isUp() && streamWork(record, 0, 20, 30)(runner, work);
        };
        bed.tutors.push_back(
            std::make_unique<Runner>(bed.store, hostOf(140 + i), "tutor" + std::to_string(i), Runner::Kind{"tutor", "h200", "ikeja", 192}, run));
    }
    if (!bed.start()) {
        return CannotRun;
    }
    Traffic lookups(
        bed, []() { return requestOf("GET", "/desk/read/" + newId(), 2500); }, LookupsPerSecond, 2500);
    sleepMs(2000);
    const double from = nowMs();
    Traffic foreign(
        bed, []() { return streamRequest("/tutor/walk", manyParts(PartsOfEach), PartsOfEach, 60); }, 200, 10000);
    sleepMs(1000.0 * Foreign / 200);
    std::thread stops([&]() { foreign.stop(); });
    sleepMs(200);
    if (!isTroubleOff()) {
        record.line(bed.tutors[0]->id() + " crashes");
        bed.tutors[0]->crash();
        sleepMs(3000);
        bed.tutors[0]->restart(false);
        record.line(bed.tutors[0]->id() + " is back");
    }
    sleepMs(12000);
    lookups.stop();
    stops.join();
    int unanswered = 0;
    int late = 0;
    double longest = 0;
    for (const Sent &sent : lookups.results()) {
        const double took = sent.outcome.endedAt - sent.outcome.sentAt;
        if (sent.outcome.sentAt >= from) {
            longest = std::max(longest, took);
            unanswered += took > TimeoutMs ? 1 : 0;
            late += took > LateMs ? 1 : 0;
        }
    }
    record.line("lookups unanswered at TimeoutMs: " + std::to_string(unanswered) + ", without an answer half a second later: " + std::to_string(late)
                + ", longest " + std::to_string(static_cast<int>(longest)) + " ms");
    return unanswered >= 8 && late * 2 > unanswered ? Broken : Held;
}

} // namespace stand
