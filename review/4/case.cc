// ORDER: a stream of a service without an engine is resumed without Last-Event-Id, so that pieces of two runs are joined.
#include "Stand.hpp"

#include <boost/json/src.hpp>

using namespace stand;

namespace {

constexpr int EventsPerStream = 57;
constexpr int EventMs = 30;
constexpr int Clients = 12;

/// A run of a request: each run has words of its own, as a model that samples does.
struct Run {
    std::string tag;
    std::string lastEventId;
    std::string runner;
};

} // namespace

int main(int argc, char **argv)
{
    const Setting setting = settingOf(argc, argv);
    Record record(setting.record);
    const std::string ip = ownIp();
    Store store(ip);
    std::mutex mutex;
    // Runs by request id, in their order.
    std::map<std::string, std::vector<Run>> runs;
    std::map<std::string, int> open;
    const auto runnerOf = [&](const std::string &name) {
        return [&, name](Channel &channel) {
            for (Message request; channel.read(request) && request.complete; request = {}) {
                const std::string id = request.header("X-Request-Id");
                const std::string expected = request.header("X-Expect-Instance");
                if (!expected.empty() && expected != name) {
                    channel.send(answer(421, {"X-Instance-Id: " + name}, ""));
                    continue;
                }
                const std::string last = request.header("Last-Event-Id");
                const std::string tag = randomHex(6);
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    runs[id].push_back({tag, last, name});
                    ++open[name];
                }
                channel.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id
                             + "\r\nX-Response-Seal: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n");
                bool sent = true;
                for (int i = std::atoi(last.c_str()) + 1; sent && i <= EventsPerStream; ++i) {
                    sleepMs(EventMs);
                    const std::string event = "id: " + std::to_string(i) + "\ndata: " + tag + "\n\n";
                    char size[16];
                    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
                    sent = channel.send(size + event + "\r\n");
                }
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    --open[name];
                }
                if (!sent || !channel.send("0\r\n\r\n")) {
                    return;
                }
            }
        };
    };
    const std::vector<std::string> names = {"i-7f3a91c2", "i-02d9e6b4", "i-5b61c0de", "i-61d0a3f7", "i-84be2c19", "i-9a07d5e3", "i-b3c8f162", "i-d25e7a40"};
    std::map<std::string, std::unique_ptr<Listener>> runners;
    for (const std::string &name : names) {
        runners[name] = std::make_unique<Listener>(ip, runnerOf(name));
        store.put("servers", name, entryOf("chat", runners[name]->address(), "ready", 64));
    }
    std::string route = routeOf("/lohu930/", "streaming", "chat", 20000, 500, 2);
    route.replace(route.find("\"Resumable\":false"), 17, "\"Resumable\":true");
    store.put("config", "main", manifest(7, {route}, {"chat"}));
    Instance instance(setting.program, setting.folder, "front-z-a-1", ip, store.address());
    instance.start();
    if (!instance.waitReady(15000, record)) {
        record.line("the instance isn't ready");
        finish(2);
    }
    sleepMs(3000);

    std::atomic<bool> stop{false};
    std::atomic<int> complete{0};
    std::atomic<int> joined{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&]() {
            while (!stop) {
                const auto channel = connectTo(instance.ip, instance.front);
                if (!channel) {
                    sleepMs(100);
                    continue;
                }
                channel->setReadTimeout(4000);
                const std::string id = randomHex(16);
                Message message;
                channel->send(request("POST", "/lohu930/2f", id, 20000, "hello"));
                channel->read(message);
                // The words of the answer, each with the number of events in a row that bear it.
                std::vector<std::pair<std::string, int>> words;
                for (std::size_t at = message.body.find("data: "); at != std::string::npos; at = message.body.find("data: ", at + 1)) {
                    const std::string word = message.body.substr(at + 6, message.body.find('\n', at) - at - 6);
                    if (words.empty() || words.back().first != word) {
                        words.emplace_back(word, 0);
                    }
                    ++words.back().second;
                }
                complete += message.complete ? 1 : 0;
                std::string text = id + ": " + message.word(1) + (message.complete ? ", complete" : ", not complete") + ", events";
                bool isJoined = false;
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    int before = 0;
                    for (const auto &[word, count] : words) {
                        const auto run = std::find_if(runs[id].begin(), runs[id].end(), [&, &word = word](const Run &entry) { return entry.tag == word; });
                        text += " " + std::to_string(before + 1) + "-" + std::to_string(before + count) + " of run " + word;
                        if (run != runs[id].end()) {
                            text += " (" + run->runner + ", Last-Event-Id '" + run->lastEventId + "')";
                            isJoined = isJoined || (before > 0 && std::atoi(run->lastEventId.c_str()) != before);
                        }
                        before += count;
                    }
                }
                joined += isJoined ? 1 : 0;
                record.line((isJoined ? "ORDER: " : "") + text);
            }
        });
    }
    sleepMs(4000);
    // The runner with the most open streams.
    std::string crashed = names[0];
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const std::string &name : names) {
            crashed = open[name] > open[crashed] ? name : crashed;
        }
    }
    if (setting.trouble) {
        runners[crashed]->stop();
        record.line("runner " + crashed + " of " + std::to_string(names.size()) + " crashes");
    } else {
        record.line("TROUBLE=0: no runner crashes");
    }
    sleepMs(3600);
    if (setting.trouble) {
        store.remove("servers", crashed);
    }
    sleepMs(2400);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    record.line("complete streams " + std::to_string(complete)
                + ", with pieces of two runs although the second wasn't asked to go on: " + std::to_string(joined));
    finish(complete == 0 ? 2 : joined > 0 ? 1 : 0);
}
