// A client that nobody controls keeps as many channels open as a router takes, each with an answered request now and then. RECOVER: others get channels.
#include "Stand.h"

#include <sys/resource.h>

using namespace stand;

namespace {

constexpr int Desks = 3;
constexpr int Seconds = 24;
/// Channels of the client; the router's settings state MaxFds 4,100.
constexpr int Channels = 2300;
constexpr int Parts = 10;
/// The client uses each of its channels again after this time; IdleTimeoutMs is 15,000.
constexpr int ReuseMs = 9000;
constexpr int StableWindowMs = 3000;
constexpr int OtherClients = 10;

void run(const std::string &temporary, const std::string &program)
{
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, 8192);
    if (files.rlim_cur < 4500 || ::setrlimit(RLIMIT_NOFILE, &files) != 0) {
        record("too few descriptors");
        finish(2, {});
    }
    Store store(hostOf(1));
    store.put("config", "main", manifest(3, {route("/look/", "safe", "desk", 1500, {{"TargetLatencyMs", 150}, {"MaxAttempts", 2}})}));
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
    const std::int64_t until = sinceStart() + Seconds * 1000;
    std::vector<std::thread> clients;
    clients.reserve(Parts + OtherClients);
    std::atomic<int> answered{0};
    std::mutex mutex;
    // When the router has last taken a new channel, from any client, and the longest time without one.
    std::int64_t takenAt = sinceStart();
    std::int64_t longest = 0;
    const auto onTry = [&](bool isTaken) {
        longest = std::max(longest, sinceStart() - takenAt);
        takenAt = isTaken ? sinceStart() : takenAt;
    };
    const int channels = hasTrouble() ? Channels : Channels / 4;
    for (int part = 0; part < Parts; ++part) {
        clients.emplace_back([&, part]() {
            std::vector<std::shared_ptr<Channel>> kept(static_cast<std::size_t>(channels / Parts));
            while (sinceStart() < until) {
                const std::int64_t roundAt = sinceStart();
                for (std::size_t i = 0; i < kept.size() && sinceStart() < until; ++i) {
                    const bool isNew = !kept[i];
                    kept[i] = isNew ? Channel::connect(daemon.host(), daemon.front()) : kept[i];
                    const std::string text = "GET /look/kept HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: kept-" + std::to_string(part) + "-"
                        + std::to_string(i) + "-" + std::to_string(roundAt) + "\r\nX-Deadline-Ms: 1500\r\n\r\n";
                    const auto soon = Clock::now() + Ms(2000);
                    const auto head = kept[i] && kept[i]->write(text) ? kept[i]->head(soon) : std::nullopt;
                    const auto body = head ? kept[i]->bytes(static_cast<std::size_t>(std::atoll(head->header("content-length").c_str())), soon) : std::nullopt;
                    kept[i] = body ? kept[i] : nullptr;
                    answered += body && head->status() == 200 ? 1 : 0;
                    if (isNew && body) {
                        const std::lock_guard lock(mutex);
                        onTry(true);
                    }
                }
                const auto open = std::count_if(kept.begin(), kept.end(), [](const auto &each) { return each != nullptr; });
                record("part " + std::to_string(part) + " of the client keeps " + std::to_string(open)
                       + " channels; requests answered with 200 so far, over all " + std::to_string(answered));
                sleepMs(std::max<std::int64_t>(100, roundAt + ReuseMs - sinceStart()));
            }
        });
    }
    int tries = 0;
    int refused = 0;
    int notReady = 0;
    std::atomic<int> number{0};
    for (int i = 0; i < OtherClients; ++i) {
        clients.emplace_back([&]() {
            while (sinceStart() < until) {
                Request request;
                request.method = "GET";
                request.path = "/look/a";
                request.id = "look-" + std::to_string(++number);
                request.deadlineMs = 2000;
                const Answer answer = ask(daemon.host(), daemon.front(), request);
                const bool isReady = daemon.isReady();
                {
                    const std::lock_guard lock(mutex);
                    ++tries;
                    refused += answer.status == 200 ? 0 : 1;
                    notReady += isReady ? 0 : 1;
                    onTry(answer.status != 0);
                }
                sleepMs(500);
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const std::string ended = daemon.ended();
    record("tries of " + std::to_string(OtherClients) + " other clients on new channels " + std::to_string(tries) + ", without an answer 200 "
           + std::to_string(refused) + ", longest time without any new channel that was taken " + std::to_string(longest) + " ms; readiness not 200 "
           + std::to_string(notReady) + " times");
    const bool isBroken = longest > StableWindowMs && notReady == 0;
    if (isBroken) {
        record("RECOVER broken: ready, and no new channel of " + std::to_string(OtherClients) + " clients was taken for " + std::to_string(longest) + " ms");
    }
    finish(isBroken || !ended.empty() ? 1 : 0, {&daemon});
}

} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, run);
}
