// Clients that send their next request ahead, as HTTP/1.1 lets them, leave before the answer. The instances don't notice that they have left.
#include "Cases.h"

namespace stand {

int runGone(Record &record)
{
    constexpr double WorkMs = 1000;
    constexpr double AheadMs = 50;
    constexpr double LeaveMs = 150;
    constexpr double AllowedMs = 500;
    constexpr int Leaving = 60;
    Bed bed(record);
    std::mutex mutex;
    std::map<std::string, double> endedAt;
    bed.desks.clear();
    const auto run = [&](Runner &runner, Work &work) {
        const double begunAt = nowMs();
        const double workMs = work.request.target.find("slow") == std::string::npos ? 30 : WorkMs;
        record.line(runner.id() + " runs " + work.id);
        bool isGone = false;
        while (nowMs() < begunAt + workMs && !isGone) {
            sleepMs(5);
            isGone = work.channel.isPeerGone();
        }
        record.line(runner.id() + (isGone ? " drops " : " has run ") + work.id);
        {
            const std::lock_guard lock(mutex);
            endedAt[work.id] = nowMs();
        }
        return !isGone && work.channel.send(responseText({200, runner.fields(work), "answer to " + work.id}));
    };
    for (int i = 0; i < 3; ++i) {
        bed.desks.push_back(std::make_unique<Runner>(bed.store, hostOf(140 + i), "desk" + std::to_string(i), Runner::Kind{"desk", "", "ikeja", 6}, run));
    }
    if (!bed.start()) {
        return CannotRun;
    }
    std::map<std::string, double> leftAt;
    std::vector<std::thread> clients;
    clients.reserve(Leaving);
    for (int i = 0; i < Leaving; ++i) {
        clients.emplace_back([&, i]() {
            const Request first = requestOf("GET", "/desk/read/slow" + std::to_string(i), 2500);
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
        sleepMs(250);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    sleepMs(2000);
    int begun = 0;
    int late = 0;
    for (const auto &[id, left] : leftAt) {
        const auto ended = endedAt.find(id);
        begun += ended != endedAt.end() ? 1 : 0;
        late += ended != endedAt.end() && ended->second > left + AllowedMs ? 1 : 0;
    }
    record.line("lookups that were run and whose client has left: " + std::to_string(begun) + ", still run half a second later: " + std::to_string(late));
    return begun == 0 ? CannotRun : late * 4 > begun ? Broken : Held;
}

} // namespace stand
