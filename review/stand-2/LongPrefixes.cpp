// A client that nobody controls sends requests with many prompt parts, one of which crashes each runner that begins to write on it. CONFIG, and no process
// hangs: the lookups of all others, at runners that are sound, get their answers.
#include "Stand.h"

using namespace stand;

namespace {

constexpr int Engines = 12;
constexpr int Desks = 3;
constexpr int Fronts = 4;
constexpr int Seconds = 30;
/// At each router.
constexpr int LookupsPerSecond = 5;
constexpr int TimeoutMs = 1500;
constexpr int SlackMs = 500;
constexpr int BackMs = 3000;
/// Parts of a prompt, within MaxHeaderBytes (16,384), and such requests a second, over all routers.
constexpr int Parts = 2200;
constexpr int RequestsPerSecond = 30;
constexpr int MaxHeaderBytes = 16384;

/// All requests share all parts but the last one; the first is the one that crashes runners.
std::string prefixOf(int number)
{
    std::string text;
    char part[24];
    for (int i = 0; i < Parts; ++i) {
        std::snprintf(part, sizeof part, "%x:1,", 0x1000 + i);
        text += part;
    }
    std::snprintf(part, sizeof part, "%x:40", 0x100000 + number);
    return text + part;
}

void run(const std::string &temporary, const std::string &program)
{
    Store store(hostOf(1));
    store.put("config",
              "main",
              manifest(3,
                       {route("/write/", "streaming", "model", 20000, {{"GapTargetMs", 200}, {"Sticky", true}, {"Resumable", true}, {"MaxAttempts", 2}}),
                        route("/look/", "safe", "desk", TimeoutMs, {{"TargetLatencyMs", 150}, {"MaxAttempts", 2}})}));
    Runs runs;
    // What the engines ran; with the disruption each of these runs crashes its engine.
    Runs crashRuns;
    std::vector<std::unique_ptr<Runner>> runners;
    runners.reserve(Engines + Desks);
    for (int i = 0; i < Engines; ++i) {
        runners.push_back(
            std::make_unique<Runner>(store, crashRuns, Runner::Options{"i-engine-" + std::to_string(i), "model", hostOf(10 + i), true, 20, 40, 0}));
    }
    std::atomic<bool> crashesRunners{false};
    for (int i = 0; i < Engines; ++i) {
        Runner &runner = *runners[static_cast<std::size_t>(i)];
        runner.backMs = BackMs;
        runner.crashesIt = [&](const Message &) {
            return crashesRunners.load();
        };
    }
    for (int i = 0; i < Desks; ++i) {
        runners.push_back(std::make_unique<Runner>(store, runs, Runner::Options{"i-desk-" + std::to_string(i), "desk", hostOf(40 + i), false, 0, 0, 15}));
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<Daemon *> all;
    for (int i = 0; i < Fronts; ++i) {
        daemons.push_back(
            std::make_unique<Daemon>(Daemon::Options{"front-" + std::to_string(i + 1), "zone-a", hostOf(60 + i), store.address(), temporary, program}));
        daemons.back()->start();
        all.push_back(daemons.back().get());
    }
    const auto isReady = [&]() {
        return std::all_of(all.begin(), all.end(), [](Daemon *each) { return each->isReady(); });
    };
    if (!waitFor(20000, [&]() { return isReady() && std::all_of(runners.begin(), runners.end(), [](const auto &each) { return each->isReady(); }); })) {
        record("the router or a runner did not come up");
        finish(2, all);
    }
    record("a request of the client has a header of about " + std::to_string(prefixOf(1).size()) + " of " + std::to_string(MaxHeaderBytes) + " bytes");
    sleepMs(1500);
    crashesRunners = hasTrouble();
    const std::int64_t until = sinceStart() + Seconds * 1000;
    std::mutex mutex;
    int looks = 0;
    int unanswered = 0;
    int late = 0;
    std::int64_t longest = 0;
    std::atomic<int> number{0};
    std::vector<std::thread> clients;
    clients.reserve(2 * Fronts + 1);
    std::atomic<int> open{0};
    for (int i = 0; i < Fronts; ++i) {
        clients.emplace_back([&, i]() {
            Daemon &daemon = *all[static_cast<std::size_t>(i)];
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
    }
    int asked = 0;
    int missed = 0;
    for (int i = 0; i < Fronts; ++i) {
        clients.emplace_back([&, i]() {
            while (sinceStart() < until) {
                const std::int64_t askedAt = sinceStart();
                const bool answers = all[static_cast<std::size_t>(i)]->isReady();
                {
                    const std::lock_guard lock(mutex);
                    ++asked;
                    missed += answers ? 0 : 1;
                }
                sleepMs(std::max<std::int64_t>(0, askedAt + 1000 - sinceStart()));
            }
        });
    }
    clients.emplace_back([&]() {
        while (sinceStart() < until) {
            const int own = ++number;
            std::thread([&, own]() {
                Daemon &daemon = *all[static_cast<std::size_t>(own % Fronts)];
                Request request;
                request.path = "/write/a";
                request.id = "long-" + std::to_string(own);
                request.body = "prompt " + std::to_string(own);
                request.headers = {"X-Model: m", "X-Token-Count: 2240,100", "X-Prompt-Prefix: " + prefixOf(own)};
                request.deadlineMs = 20000;
                request.patienceMs = 2000;
                ask(daemon.host(), daemon.front(), request);
            }).detach();
            sleepMs(1000 / RequestsPerSecond);
        }
    });
    for (std::thread &client : clients) {
        client.join();
    }
    waitFor(25000, [&]() { return open == 0; });
    std::string ended;
    for (Daemon *daemon : all) {
        ended += daemon->ended();
    }
    record("lookups " + std::to_string(looks) + ", unanswered at the route's timeout " + std::to_string(unanswered) + ", half a second later still "
           + std::to_string(late) + ", longest " + std::to_string(longest) + " ms; questions for readiness " + std::to_string(asked)
           + ", not answered with 200 within a second " + std::to_string(missed) + "; crashes of runners "
           + std::to_string(hasTrouble() ? crashRuns.total() : 0));
    if (!ended.empty()) {
        record("the router ended by itself: " + ended);
    }
    const bool isBroken = unanswered > 0 && 2 * late > unanswered;
    if (isBroken) {
        record("CONFIG broken: of " + std::to_string(unanswered) + " requests that were unanswered at TimeoutMs, " + std::to_string(late)
               + " had no answer half a second later");
    }
    finish(isBroken || !ended.empty() ? 1 : 0, all);
}

} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, run);
}
