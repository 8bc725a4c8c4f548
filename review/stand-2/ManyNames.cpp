// A client that nobody controls names thousands of header fields in Connection. CONFIG, and no process hangs: the lookups of all others get their answers.
#include "Stand.h"

using namespace stand;

namespace {

constexpr int Desks = 3;
constexpr int Seconds = 30;
constexpr int LookupsPerSecond = 10;
constexpr int TimeoutMs = 1500;
constexpr int SlackMs = 500;
/// Names in the Connection field, and further fields, of a request within MaxHeaderBytes (16,384).
constexpr int Names = 3500;
constexpr int Fields = 2000;
constexpr int RequestsPerSecond = 80;

void run(const std::string &temporary, const std::string &program)
{
    Store store(hostOf(1));
    store.put("config", "main", manifest(3, {route("/look/", "safe", "desk", TimeoutMs, {{"TargetLatencyMs", 150}, {"MaxAttempts", 2}})}));
    Runs runs;
    std::vector<std::unique_ptr<Runner>> runners;
    runners.reserve(Desks);
    for (int i = 0; i < Desks; ++i) {
        runners.push_back(std::make_unique<Runner>(store, runs, Runner::Options{"i-desk-" + std::to_string(i), "desk", hostOf(30 + i), false, 0, 0, 15}));
    }
    Daemon daemon({"front-1", "zone-a", hostOf(2), store.address(), temporary, program});
    daemon.start();
    if (!waitFor(20000, [&]() { return daemon.isReady(); })) {
        record("the router did not come up");
        finish(2, {&daemon});
    }
    sleepMs(1500);
    std::vector<std::string> headers;
    if (hasTrouble()) {
        std::string connection = "Connection: ";
        for (int i = 0; i < Names; ++i) {
            connection += "a,";
        }
        headers.assign(Fields, "b:");
        headers.push_back(connection + "a");
    } else {
        headers.assign(Fields / 8, "X-Field-Of-A-Client: some text and more text");
    }
    std::size_t headerBytes = 0;
    for (const std::string &header : headers) {
        headerBytes += header.size() + 2;
    }
    record("a request of the client has header fields of " + std::to_string(headerBytes) + " bytes, " + std::to_string(RequestsPerSecond)
           + " requests a second");
    const std::int64_t until = sinceStart() + Seconds * 1000;
    std::mutex mutex;
    int looks = 0;
    int unanswered = 0;
    // The same of the requests of the client that nobody controls: the rule speaks of all.
    int otherUnanswered = 0;
    int otherLate = 0;
    int late = 0;
    std::int64_t longest = 0;
    int asked = 0;
    int missed = 0;
    std::atomic<int> number{0};
    std::vector<std::thread> clients;
    std::atomic<int> open{0};
    clients.emplace_back([&]() {
        while (sinceStart() < until) {
            const int own = ++number;
            ++open;
            std::thread([&, own]() {
                Request request;
                request.method = "GET";
                request.path = "/look/a" + std::to_string(own);
                request.id = "look-" + std::to_string(own);
                request.deadlineMs = 20000;
                const Answer answer = ask(daemon.host(), daemon.front(), request);
                const std::int64_t took = answer.endedAt - answer.sentAt;
                const std::lock_guard lock(mutex);
                ++looks;
                unanswered += took > TimeoutMs ? 1 : 0;
                late += took > TimeoutMs + SlackMs ? 1 : 0;
                longest = std::max(longest, took);
                --open;
            }).detach();
            sleepMs(1000 / LookupsPerSecond);
        }
    });
    clients.emplace_back([&]() {
        while (sinceStart() < until) {
            const std::int64_t askedAt = sinceStart();
            const bool answers = daemon.isReady();
            ++asked;
            missed += answers ? 0 : 1;
            sleepMs(std::max<std::int64_t>(0, askedAt + 1000 - sinceStart()));
        }
    });
    clients.emplace_back([&]() {
        while (sinceStart() < until) {
            const int own = ++number;
            ++open;
            std::thread([&, own]() {
                Request request;
                request.method = "GET";
                request.path = "/look/names";
                request.id = "names-" + std::to_string(own);
                request.headers = headers;
                request.deadlineMs = 10000;
                const Answer answer = ask(daemon.host(), daemon.front(), request);
                const std::int64_t took = answer.endedAt - answer.sentAt;
                const std::lock_guard lock(mutex);
                otherUnanswered += took > TimeoutMs ? 1 : 0;
                otherLate += took > TimeoutMs + SlackMs ? 1 : 0;
                --open;
            }).detach();
            sleepMs(1000 / RequestsPerSecond);
        }
    });
    for (std::thread &client : clients) {
        client.join();
    }
    waitFor(25000, [&]() { return open == 0; });
    const std::string ended = daemon.ended();
    record("lookups " + std::to_string(looks) + ", unanswered at the route's timeout " + std::to_string(unanswered) + ", half a second later still "
           + std::to_string(late) + ", longest " + std::to_string(longest) + " ms; questions for readiness " + std::to_string(asked)
           + ", not answered with 200 within a second " + std::to_string(missed) + "; requests of the client, unanswered at the timeout "
           + std::to_string(otherUnanswered) + ", half a second later still " + std::to_string(otherLate));
    if (!ended.empty()) {
        record("the router ended by itself: " + ended);
    }
    const int allUnanswered = unanswered + otherUnanswered;
    const int allLate = late + otherLate;
    const bool isBroken = unanswered > 0 && 2 * late > unanswered && 2 * allLate > allUnanswered;
    if (isBroken) {
        record("CONFIG broken: of " + std::to_string(allUnanswered) + " requests that were unanswered at TimeoutMs, " + std::to_string(allLate)
               + " had no answer half a second later");
    }
    finish(isBroken || !ended.empty() ? 1 : 0, {&daemon});
}

} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, run);
}
