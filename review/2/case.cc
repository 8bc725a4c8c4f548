// LOST: an instance that is stopped exits while answers that it has taken from runners still wait to be written to the clients.
#include "Stand.hpp"

#include <boost/json/src.hpp>

using namespace stand;

namespace {

constexpr int Instances = 8;
constexpr int GapMs = 1300;
constexpr int RollMs = 82000;
/// Runners as the sheet has them for `quill-pool`: 192 slots and 978 channels each.
constexpr int Runners = 4;
constexpr int Slots = 192;
constexpr const char *MaxConns = "978";
/// Requests that are open on one instance; the runners' batch ends for all of them in the same pass.
constexpr int RequestsAtOnce = 250;
constexpr std::size_t AnswerBytes = 800;
/// The slowest link that the sheets name: 14 Mbit/s.
constexpr int LinkBytesPerMs = 1750;
constexpr std::size_t LongAnswerBytes = 12 * 1000 * 1000;

/// Requests that a runner holds back until they are released together, by their group.
class Gate
{
public:
    void wait(int group)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        ++waiting_[group];
        changed_.wait(lock, [&]() { return released_[group]; });
    }

    bool waitFor(int group, int count)
    {
        for (int waited = 0; waited < 4000; waited += 10) {
            sleepMs(10);
            const std::lock_guard<std::mutex> lock(mutex_);
            if (waiting_[group] >= count) {
                return true;
            }
        }
        return false;
    }

    void release(int group)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            released_[group] = true;
        }
        changed_.notify_all();
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<int, int> waiting_;
    std::map<int, bool> released_;
};

struct Counts {
    std::atomic<int> stops{0};
    std::atomic<int> sent{0};
    std::atomic<int> whole{0};
    std::atomic<int> lost{0};
    std::atomic<int> skipped{0};
};

/// Sends requests to one instance, stops it, lets the runner answer them all 2.8 to 2.9 s later, and starts the instance again.
void stopUnderLoad(Instance &instance, int number, bool trouble, Gate &gate, std::atomic<int> &groups, Counts &counts, Record &record)
{
    if (!instance.waitReady(10000, record)) {
        ++counts.skipped;
        return;
    }
    const int group = ++groups;
    std::atomic<int> lost{0};
    std::atomic<bool> stopped{false};
    std::mutex mutex;
    std::string example;
    std::vector<std::thread> clients;
    for (int i = 0; i < RequestsAtOnce; ++i) {
        clients.emplace_back([&]() {
            const auto channel = connectTo(instance.ip, instance.front);
            if (!channel) {
                return;
            }
            channel->setReadTimeout(12000);
            const std::string id = randomHex(16);
            ++counts.sent;
            Message message;
            channel->send(request("POST", "/puxa403/" + std::to_string(group), id, 20000, "seat"));
            const bool isAnswered = channel->read(message) && message.complete;
            if (isAnswered) {
                ++counts.whole;
            } else if (stopped || !trouble) {
                ++lost;
                const std::lock_guard<std::mutex> lock(mutex);
                example = id + " (channel " + channel->why() + ")";
            }
        });
    }
    const bool allArrived = gate.waitFor(group, RequestsAtOnce);
    if (allArrived && trouble) {
        stopped = true;
        instance.kill(SIGTERM);
    }
    const long long stoppedAt = record.ms();
    sleepMs(2800 + std::stoi(randomHex(4), nullptr, 16) % 100);
    gate.release(group);
    for (std::thread &client : clients) {
        client.join();
    }
    ++counts.stops;
    counts.lost += lost;
    if (lost > 0) {
        record.line("LOST: instance " + std::to_string(number) + ", " + std::to_string(lost.load()) + " of " + std::to_string(RequestsAtOnce)
                    + " bookings that ran got no whole answer, " + std::to_string(record.ms() - stoppedAt) + " ms after the SIGTERM, for instance " + example);
    }
    if (!trouble || !allArrived) {
        instance.kill(SIGKILL);
    }
    if (!instance.wait(9000)) {
        record.line("instance " + std::to_string(number) + " still runs 9 s after the SIGTERM");
        instance.kill(SIGKILL);
        instance.wait(1000);
    }
    instance.start();
}

/// One client with a slow link reads a long answer while its instance is stopped. Returns true if it didn't get the whole answer.
bool stopDuringLongAnswer(Instance &instance, bool trouble, Record &record)
{
    const auto channel = connectTo(instance.ip, instance.front, 65536);
    if (!channel) {
        finish(2);
    }
    channel->setReadTimeout(3000);
    const std::string id = randomHex(16);
    const long long sentAt = record.ms();
    channel->send(request("GET", "/cufi504/long", id, 20000));
    record.line("sent " + id + ", with an answer of " + std::to_string(LongAnswerBytes) + " bytes over 14 Mbit/s");
    Message message;
    if (!channel->head(message) || message.status() != 200) {
        record.line("no head of an answer: " + message.first);
        finish(2);
    }
    const std::size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
    std::size_t received = channel->buffer().size();
    channel->buffer().clear();
    long long stoppedAt = 0;
    const long long startedAt = record.ms();
    while (received < length) {
        if (trouble && stoppedAt == 0 && record.ms() >= startedAt + 500) {
            stoppedAt = record.ms();
            instance.kill(SIGTERM);
            record.line("SIGTERM; " + std::to_string(received) + " bytes received so far");
        }
        if (!channel->fill(16384)) {
            break;
        }
        received += channel->buffer().size();
        channel->buffer().clear();
        while (received > static_cast<std::size_t>(record.ms() - startedAt + 1) * LinkBytesPerMs) {
            sleepMs(1);
        }
    }
    const long long endedAt = record.ms();
    record.line("received " + std::to_string(received) + " of " + std::to_string(length) + " bytes, " + std::to_string(endedAt - sentAt)
                + " ms after the request, " + (received < length ? "then the channel ended: " + channel->why() : "complete"));
    if (received < length && stoppedAt > 0) {
        record.line("LOST: the channel ended without a complete answer " + std::to_string(endedAt - stoppedAt) + " ms after the SIGTERM; GraceS is 8 s");
    }
    return received < length;
}

} // namespace

int main(int argc, char **argv)
{
    const Setting setting = settingOf(argc, argv);
    Record record(setting.record);
    const std::string ip = ownIp();
    Store store(ip);
    Gate gate;
    const auto serve = [&](Channel &channel) {
        for (Message request; channel.read(request) && request.complete; request = {}) {
            const std::string path = request.word(1);
            const bool isLong = path == "/cufi504/long";
            if (!isLong) {
                gate.wait(std::atoi(path.c_str() + path.rfind('/') + 1));
            }
            channel.send(answer(200,
                                {"X-Request-Id: " + request.header("X-Request-Id"), "X-Response-Seal: 3e1b.07"},
                                std::string(isLong ? LongAnswerBytes : AnswerBytes, 'x')));
        }
    };
    std::string config = manifest(7, {routeOf("/puxa403/", "unsafe", "app", 20000, 5000, 1), routeOf("/cufi504/", "safe", "app", 20000, 5000, 1)}, {"app"});
    config.replace(config.find("\"MaxConns\":110"), 14, std::string("\"MaxConns\":") + MaxConns);
    store.put("config", "main", config);
    std::vector<std::unique_ptr<Listener>> runners;
    for (int i = 0; i < Runners; ++i) {
        runners.push_back(std::make_unique<Listener>(ip, serve));
        store.put("servers", "i-7f3a91c" + std::to_string(i), entryOf("app", runners.back()->address(), "ready", Slots));
    }
    std::vector<std::unique_ptr<Instance>> instances;
    for (int i = 0; i < Instances; ++i) {
        instances.push_back(std::make_unique<Instance>(setting.program, setting.folder, "front-z-a-" + std::to_string(i + 1), ownIp(), store.address()));
        instances.back()->start();
    }
    for (const auto &instance : instances) {
        if (!instance->waitReady(15000, record)) {
            record.line("an instance isn't ready");
            finish(2);
        }
    }

    record.line(setting.trouble ? "the instances are stopped and started in turn, one each 1.3 s" : "TROUBLE=0: no instance is stopped under load");
    Counts counts;
    std::atomic<int> groups{0};
    std::vector<std::thread> stops;
    std::vector<std::unique_ptr<std::mutex>> turns;
    for (int i = 0; i < Instances; ++i) {
        turns.push_back(std::make_unique<std::mutex>());
    }
    const long long rollStart = record.ms();
    for (int turn = 0; record.ms() < rollStart + RollMs; ++turn) {
        stops.emplace_back([&, number = turn % Instances]() {
            const std::lock_guard<std::mutex> lock(*turns[static_cast<std::size_t>(number)]);
            stopUnderLoad(*instances[static_cast<std::size_t>(number)], number + 1, setting.trouble, gate, groups, counts, record);
        });
        sleepMs(GapMs);
    }
    for (std::thread &stop : stops) {
        stop.join();
    }
    record.line("stops " + std::to_string(counts.stops) + ", requests " + std::to_string(counts.sent) + ", whole answers " + std::to_string(counts.whole)
                + ", lost " + std::to_string(counts.lost) + ", stops left out since the instance wasn't ready " + std::to_string(counts.skipped));

    if (!instances.front()->waitReady(8000, record)) {
        record.line("the instance isn't ready");
        finish(counts.lost > 0 ? 1 : 2);
    }
    sleepMs(500);
    const bool isLongLost = stopDuringLongAnswer(*instances.front(), setting.trouble, record);
    record.line("lost under load: " + std::to_string(counts.lost) + "; the long answer: " + (isLongLost ? "lost" : "whole"));
    finish(counts.lost > 0 || isLongLost ? 1 : counts.whole == 0 ? 2 : 0);
}
