// A runner loses power while it writes streams that may not be resumed, and is back under its id some 1.6 s later. TWICE: none of them may run again.
#include "Stand.h"

using namespace stand;

namespace {

constexpr int Engines = 8;
constexpr int Streams = 24;
constexpr int Events = 60;
constexpr int EventMs = 60;
constexpr int DownMs = 1600;
/// Four times the route's objective: the longest of the three times after which clients abandon a stream.
constexpr int ObjectiveMs = 1000;
constexpr int PatienceMs = 4 * ObjectiveMs;
/// The router uses its part of the budget for retries once it has run for BudgetWindowS.
constexpr int BudgetWindowMs = 10000;

void run(const std::string &temporary, const std::string &program)
{
    Store store(hostOf(1));
    const json::object route =
        stand::route("/write/", "streaming", "model", 20000, {{"TargetLatencyMs", ObjectiveMs}, {"GapTargetMs", 200}, {"Sticky", true}, {"Resumable", false}});
    store.put("config", "main", manifest(3, {route}));
    record("route: " + json::serialize(route));
    Runs runs;
    std::vector<std::unique_ptr<Runner>> engines;
    engines.reserve(Engines);
    for (int i = 0; i < Engines; ++i) {
        engines.push_back(
            std::make_unique<Runner>(store, runs, Runner::Options{"i-engine-" + std::to_string(i), "model", hostOf(10 + i), true, Events, EventMs, 0}));
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
    sleepMs(BudgetWindowMs + 2000);
    std::vector<std::thread> clients;
    std::vector<Answer> answers(Streams);
    std::atomic<int> begun{0};
    for (int i = 0; i < Streams; ++i) {
        clients.emplace_back([&, i]() {
            Request request;
            request.path = "/write/a";
            request.id = "stream-" + std::to_string(i);
            request.headers = {"X-Model: m", "X-Token-Count: 200,100", "X-Prompt-Prefix: a1:40,b" + std::to_string(i) + ":160"};
            request.patienceMs = PatienceMs;
            request.onEvent = [&](std::uint64_t event) {
                begun += event == 5 ? 1 : 0;
            };
            answers[static_cast<std::size_t>(i)] = ask(daemon.host(), daemon.front(), request);
        });
        sleepMs(30);
    }
    waitFor(10000, [&]() { return begun == Streams; });
    const auto lost = std::max_element(engines.begin(), engines.end(), [](const auto &a, const auto &b) { return a->openStreams() < b->openStreams(); });
    record("streams with five events: " + std::to_string(begun) + "; " + (*lost)->id() + " writes " + std::to_string((*lost)->openStreams()));
    const bool isTried = begun == Streams && (*lost)->openStreams() > 0;
    if (hasTrouble()) {
        (*lost)->goDark();
        sleepMs(DownMs);
        (*lost)->startAgain();
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const std::string ended = daemon.ended();
    if (!ended.empty()) {
        record("the router ended by itself: " + ended);
    }
    const auto twice = runs.ranMoreThanOnce();
    for (const std::string &id : twice) {
        record("TWICE broken: " + id + " ran " + std::to_string(runs.count(id)) + " times");
    }
    record(std::to_string(twice.size()) + " of " + std::to_string(Streams) + " requests that aren't idempotent ran more than once");
    finish(!twice.empty() || !ended.empty() ? 1 : isTried ? 0 : 2, {&daemon});
}

} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, run);
}
