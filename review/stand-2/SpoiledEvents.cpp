// Some runners spoil a few bytes of an event in some of their answers. ORDER: no answer that looks complete lacks a piece.
#include "Stand.h"

using namespace stand;

namespace {

constexpr int Engines = 7;
/// Runners that spoil answers (0.43 of all), and one in so many of their answers (0.029).
constexpr int Faulty = 3;
constexpr std::uint64_t SpoiledOneIn = 34;
constexpr int Streams = 600;
constexpr int AtOnce = 30;
/// Answers are spoiled for so long.
constexpr std::int64_t SpoiledForMs = 5000;
constexpr int Events = 20;
constexpr int EventMs = 10;

void run(const std::string &temporary, const std::string &program)
{
    Store store(hostOf(1));
    store.put("config",
              "main",
              manifest(3, {route("/write/", "streaming", "model", 20000, {{"GapTargetMs", 200}, {"Sticky", true}, {"Resumable", true}, {"MaxAttempts", 2}})}));
    Runs runs;
    std::vector<std::unique_ptr<Runner>> engines;
    std::mutex mutex;
    std::map<std::string, int> spoiled;
    std::atomic<std::int64_t> spoiledUntil{0};
    for (int i = 0; i < Engines; ++i) {
        engines.push_back(
            std::make_unique<Runner>(store, runs, Runner::Options{"i-engine-" + std::to_string(i), "model", hostOf(10 + i), true, Events, EventMs, 0}));
        if (i >= Faulty || !hasTrouble()) {
            continue;
        }
        engines.back()->spoil = [&](std::uint64_t answer, const std::string &requestId, int event, const std::string &text) {
            // The first or the last event of the answer, in turn. Its first two bytes turn bad.
            const bool isSpoiled = sinceStart() < spoiledUntil && answer % SpoiledOneIn == 0 && event == (answer / SpoiledOneIn % 2 == 0 ? 1 : Events);
            if (!isSpoiled) {
                return text;
            }
            record("event " + std::to_string(event) + " of " + requestId + " is spoiled");
            const std::lock_guard lock(mutex);
            spoiled[requestId] = event;
            return "\xc3\x9f" + text.substr(2);
        };
    }
    Daemon daemon({"front-1", "zone-a", hostOf(2), store.address(), temporary, program});
    daemon.start();
    const auto isUp = [&]() {
        return daemon.isReady() && std::all_of(engines.begin(), engines.end(), [](const auto &each) { return each->isReady(); });
    };
    if (!waitFor(20000, isUp)) {
        record("the router or an engine did not come up");
        finish(2, {&daemon});
    }
    // The router uses its part of the budget for retries once it has run for BudgetWindowS.
    sleepMs(12000);
    spoiledUntil = sinceStart() + SpoiledForMs;
    std::atomic<int> number{0};
    int whole = 0;
    int broken = 0;
    std::vector<std::thread> clients;
    clients.reserve(AtOnce);
    for (int i = 0; i < AtOnce; ++i) {
        clients.emplace_back([&]() {
            for (int own = ++number; own <= Streams; own = ++number) {
                Request request;
                request.path = "/write/a";
                request.id = "stream-" + std::to_string(own);
                request.body = "prompt " + std::to_string(own);
                request.headers = {"X-Model: m", "X-Token-Count: 200,100", "X-Prompt-Prefix: a1:40,b" + std::to_string(own) + ":160"};
                request.patienceMs = 2000;
                const Answer answer = ask(daemon.host(), daemon.front(), request);
                std::vector<std::uint64_t> expected(Events);
                for (std::size_t k = 0; k < expected.size(); ++k) {
                    expected[k] = k + 1;
                }
                const std::lock_guard lock(mutex);
                const bool isComplete = answer.status == 200 && answer.isWhole;
                whole += isComplete ? 1 : 0;
                if (isComplete && answer.events != expected) {
                    ++broken;
                    record("ORDER broken: " + request.id + " ended as complete with " + std::to_string(answer.events.size()) + " events, from "
                           + std::to_string(answer.events.empty() ? 0 : answer.events.front()) + " to "
                           + std::to_string(answer.events.empty() ? 0 : answer.events.back()) + ", of 1 to " + std::to_string(Events));
                }
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const std::string ended = daemon.ended();
    record(std::to_string(Streams) + " streams, ended as complete " + std::to_string(whole) + "; with a spoiled event " + std::to_string(spoiled.size())
           + "; complete and without a piece " + std::to_string(broken));
    if (!ended.empty()) {
        record("the router ended by itself: " + ended);
    }
    finish(broken > 0 || !ended.empty() ? 1 : hasTrouble() && spoiled.empty() ? 2 : 0, {&daemon});
}

} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, run);
}
