// Clients that send their next request ahead, as HTTP/1.1 lets them, leave before their stream begins. The instances don't notice that they have left.
#include "Cases.h"

namespace stand {

int runGone(Record &record)
{
    /// Time to the first event, as before a busy runner; clients wait 2 s for it.
    constexpr double FirstEventMs = 1000;
    constexpr double AheadMs = 50;
    constexpr double LeaveMs = 150;
    constexpr double AllowedMs = 500;
    constexpr int Leaving = 60;
    constexpr double LeavingPeriodMs = 250;
    /// Of the others, so that less than three clients in ten leave.
    constexpr double StayingPerSecond = 10;
    Bed bed(record);
    std::mutex mutex;
    std::map<std::string, double> endedAt;
    bed.tutors.clear();
    const auto run = [&](Runner &runner, Work &work) {
        const double begunAt = nowMs();
        record.line(runner.id() + " runs " + work.id);
        bool isGone = false;
        while (nowMs() < begunAt + FirstEventMs && !isGone) {
            sleepMs(5);
            isGone = work.channel.isPeerGone();
        }
        record.line(runner.id() + (isGone ? " drops " : " begins to answer ") + work.id);
        {
            const std::lock_guard lock(mutex);
            endedAt[work.id] = nowMs();
        }
        return !isGone && streamWork(record, 0, 20, 30)(runner, work);
    };
    for (int i = 0; i < 3; ++i) {
        bed.tutors.push_back(
            std::make_unique<Runner>(bed.store, hostOf(140 + i), "tutor" + std::to_string(i), Runner::Kind{"tutor", "h200", "ikeja", 192}, run));
    }
    if (!bed.start()) {
        return CannotRun;
    }
    const auto stream = []() {
        return streamRequest("/tutor/walk", "aa:40," + newId().substr(0, 8) + ":60", 100, 60);
    };
    Traffic staying(bed, stream, StayingPerSecond, 8000);
    std::map<std::string, double> leftAt;
    std::vector<std::thread> clients;
    clients.reserve(Leaving);
    for (int i = 0; i < Leaving; ++i) {
        clients.emplace_back([&, i]() {
            const Request first = stream();
            const Request ahead = requestOf("GET", "/desk/read/next" + std::to_string(i), 2500);
            const std::string id = first.header("X-Request-Id");
            const auto channel = connectTo(bed.front(i).callers(), 1000);
            if (!channel || !channel->send(requestText(first))) {
                return;
            }
            record.line("client sends " + id);
            sleepMs(AheadMs);
            if (!isTroubleOff()) {
                channel->send(requestText(ahead));
                record.line("client sends " + ahead.header("X-Request-Id") + " ahead");
            }
            sleepMs(LeaveMs - AheadMs);
            const std::lock_guard lock(mutex);
            leftAt[id] = nowMs();
            record.line("client of " + id + " leaves");
        });
        sleepMs(LeavingPeriodMs);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    staying.stop();
    sleepMs(1000);
    int begun = 0;
    int late = 0;
    const std::lock_guard lock(mutex);
    for (const auto &[id, left] : leftAt) {
        const auto ended = endedAt.find(id);
        begun += ended != endedAt.end() ? 1 : 0;
        late += ended != endedAt.end() && ended->second > left + AllowedMs ? 1 : 0;
    }
    record.line("streams that were sent to a runner and whose client has left: " + std::to_string(begun)
                + ", still worked on half a second later: " + std::to_string(late) + "; clients that stayed: " + std::to_string(staying.results().size()));
    return begun == 0 ? CannotRun : late * 4 > begun ? Broken : Held;
}

} // namespace stand
