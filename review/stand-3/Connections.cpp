// A client that isn't under control keeps as many channels open as one instance takes, and uses each of them within the idle timeout. That instance takes no
// channel of anybody else, and says that it is ready.
#include "Cases.h"

#include <algorithm>
#include <sys/resource.h>

namespace stand {

namespace {

constexpr int HeldChannels = 2100;
constexpr double RenewMs = 8000;
constexpr double WatchMs = 20000;
constexpr double StableWindowMs = 3000;
constexpr int Clients = 10;

} // namespace

int runConnections(Record &record)
{
    // This process has one end of each channel; the instance, which inherits the limit, has the other.
    constexpr rlim_t Descriptors = 2600;
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_max < Descriptors) {
        record.line("fewer than 2600 descriptors are permitted here");
        return CannotRun;
    }
    limit.rlim_cur = std::max(limit.rlim_cur, Descriptors);
    ::setrlimit(RLIMIT_NOFILE, &limit);
    Bed bed(record);
    if (!bed.start()) {
        return CannotRun;
    }
    Front &front = bed.front(0);
    std::atomic<bool> stops{false};
    std::atomic<int> held{0};
    std::thread foreign([&]() {
        std::vector<std::shared_ptr<Channel>> channels;
        while (!stops && !isTroubleOff()) {
            const double renewAt = nowMs() + RenewMs;
            for (auto &channel : channels) {
                // A request without a key, to a path that no route has.
                const Request request{"GET", "/none", {{"Host", HostName}, {"X-Request-Id", newId()}}, ""};
                Outcome outcome;
                if (channel && channel->send(requestText(request))) {
                    readResponse(*channel, request.method, outcome);
                }
                channel = outcome.end == End::Answered ? channel : nullptr;
            }
            std::erase(channels, nullptr);
            while (channels.size() < HeldChannels && !stops) {
                auto channel = connectTo(front.callers(), 1000);
                const Request request{"GET", "/none", {{"Host", HostName}, {"X-Request-Id", newId()}}, ""};
                Outcome outcome;
                if (channel && channel->send(requestText(request))) {
                    readResponse(*channel, request.method, outcome);
                }
                if (outcome.end != End::Answered) {
                    break;
                }
                channels.push_back(channel);
            }
            held = static_cast<int>(channels.size());
            record.line("the foreign client holds " + std::to_string(channels.size()) + " channels");
            while (nowMs() < renewAt && !stops) {
                sleepMs(20);
            }
        }
    });
    sleepMs(4000);
    // Each ordinary client tries once in 0.5 s, over a new channel.
    std::mutex mutex;
    std::vector<std::pair<double, bool>> tries;
    int notReady = 0;
    std::vector<std::thread> clients;
    clients.reserve(Clients);
    const double until = nowMs() + WatchMs;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i]() {
            sleepMs(50.0 * i);
            while (nowMs() < until) {
                const Request request = requestOf("GET", "/desk/read/" + newId(), 2500);
                const Outcome outcome = call(front.callers(), request, 2500);
                record.line("client " + std::to_string(i) + " got for " + request.header("X-Request-Id") + ": " + outcome.text());
                {
                    const std::lock_guard lock(mutex);
                    tries.emplace_back(outcome.sentAt, outcome.end == End::Answered);
                }
                sleepMs(500);
            }
        });
    }
    while (nowMs() < until) {
        notReady += front.isReady() ? 0 : 1;
        sleepMs(500);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    stops = true;
    foreign.join();
    std::sort(tries.begin(), tries.end());
    double longest = 0;
    double since = tries.empty() ? 0 : tries.front().first;
    int answered = 0;
    for (const auto &[at, isAnswered] : tries) {
        longest = std::max(longest, at - since);
        since = isAnswered ? at : since;
        answered += isAnswered ? 1 : 0;
    }
    record.line("tries of " + std::to_string(Clients) + " clients: " + std::to_string(tries.size()) + ", answered: " + std::to_string(answered)
                + ", longest time without a channel taken: " + std::to_string(static_cast<int>(longest)) + " ms, not ready: " + std::to_string(notReady)
                + " times, channels of the foreign client: " + std::to_string(held));
    return longest > StableWindowMs && notReady == 0 ? Broken : Held;
}

} // namespace stand
