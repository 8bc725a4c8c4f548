// TWICE: a late extra answer to an earlier, rejected request makes the router send a stream that can't be resumed to a second runner.
#include "Stand.hpp"

#include <boost/json/src.hpp>

#include <deque>

using namespace stand;

namespace {

constexpr int Slots = 4;
constexpr int Instances = 3;
constexpr int Clients = 12;
/// A client waits up to this long between two requests.
constexpr int MaxThinkMs = 60;
constexpr int EventsPerStream = 6;
constexpr int EventMs = 10;
/// The largest dose of `garble` with `extra late` in the site file: 0.6 of the runners, 0.03 of their answers, 5 s.
constexpr double ExtraShare = 0.03;
constexpr int TroubleMs = 5000;

/// What the runners ran, by request id.
struct Ledger {
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> runs;
};

/// A runner that holds all layers. When its slots are taken, it rejects requests as the pages say: 503 with X-Not-Executed.
class Runner
{
public:
    Runner(const std::string &ip, std::string id, Ledger &ledger, Record &record)
        : id_(std::move(id))
        , ledger_(ledger)
        , record_(record)
        , listener_(ip, [this](Channel &channel) { serve(channel); })
    {
    }

    std::string entry() const
    {
        return "{\"Service\":\"lm\",\"Address\":\"" + listener_.address() + "\",\"Zone\":\"z-a\",\"Version\":\"v1\",\"Slots\":" + std::to_string(Slots)
            + ",\"State\":\"ready\",\"ColdLeftMs\":0,\"SeqNo\":4,\"born\":1700000000000," + held() + "}";
    }

    const std::string &id() const
    {
        return id_;
    }

    /// The runner is faulty from now on, or sound again.
    void setFaulty(bool faulty)
    {
        faulty_ = faulty;
    }

    int extras() const
    {
        return extras_;
    }

    int faultyAnswers() const
    {
        return faultyAnswers_;
    }

private:
    static std::string held()
    {
        return "\"Stage\":\"prefill_decode\",\"Models\":[{\"Name\":\"daka510000\",\"Version\":1,\"Adapters\":[]}],\"Kind\":\"a100\",\"Layers\":{\"From\":0,"
               "\"To\":"
               "8,\"Version\":1}";
    }

    void serve(Channel &channel)
    {
        // The answer that is sent a second time where the next one is expected.
        std::string extra;
        for (;;) {
            Message request;
            if (!channel.read(request) || !request.complete) {
                return;
            }
            const std::string path = request.word(1);
            const std::string id = request.header("X-Request-Id");
            if (!request.header("X-Expect-Instance").empty() && request.header("X-Expect-Instance") != id_) {
                channel.send(answer(421, {"X-Instance-Id: " + id_}, ""));
                continue;
            }
            if (path == "/report") {
                channel.send(answer(200,
                                    {"Content-Type: application/json"},
                                    "{\"Busy\":false,\"SeqNo\":0,\"Queued\":0,\"Active\":" + std::to_string(active_.load())
                                        + ",\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0,\"pace\":1,\"Stalled\":[],\"born\":1700000000000," + held() + "}"));
                continue;
            }
            if (path == "/order") {
                channel.send(answer(200, {"Content-Type: application/json"}, "{}"));
                continue;
            }
            faultyAnswers_ += faulty_ ? 1 : 0;
            if (!extra.empty() && faulty_) {
                ++extras_;
                record_.line(id_ + " sends a late second answer to an earlier request; the next one on this channel is " + id);
                channel.send(extra);
                extra.clear();
            }
            if (++active_ > Slots) {
                --active_;
                const std::string rejection = answer(503, {"X-Request-Id: " + id, "X-Not-Executed: 1"}, "");
                if (faulty_ && pending_ + 1 <= ExtraShare * faultyAnswers_) {
                    ++pending_;
                    extra = rejection;
                }
                channel.send(rejection);
                continue;
            }
            run(channel, id);
            --active_;
        }
    }

    void run(Channel &channel, const std::string &id)
    {
        {
            const std::lock_guard<std::mutex> lock(ledger_.mutex);
            ledger_.runs[id].push_back(id_);
        }
        channel.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id
                     + "\r\nX-Response-Seal: 3e1b.07\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= EventsPerStream; ++i) {
            sleepMs(EventMs);
            const std::string event = "id: " + std::to_string(i) + "\ndata: " + id + "-" + std::to_string(i) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!channel.send(size + event + "\r\n")) {
                return;
            }
        }
        channel.send("0\r\n\r\n");
    }

    std::string id_;
    Ledger &ledger_;
    Record &record_;
    std::atomic<int> active_{0};
    std::atomic<bool> faulty_{false};
    std::atomic<int> extras_{0};
    std::atomic<int> pending_{0};
    std::atomic<int> faultyAnswers_{0};
    Listener listener_;
};

std::string manifestText()
{
    const std::string route =
        "{\"Name\":\"r-2yhvz3p\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"/lohu930/\",\"Kind\":\"streaming\",\"TimeoutMs\":20000,\"TargetLatencyMs\":500,"
        "\"Priority\":1,\"Service\":\"lm\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":false,\"GapTargetMs\":200}";
    const std::string service =
        "{\"Name\":\"lm\",\"HealthPath\":\"/health\",\"MaxConns\":978,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":4,\"KvCapacityTokens\":100000,"
        "\"KvTokenBytes\":918000,\"LinkMbps\":400000.0,\"Stride\":3,\"Models\":[{\"Name\":\"daka510000\",\"pace\":1.0,\"LoadS\":14.0,\"WarmS\":1.0}],"
        "\"step_ms\":1.02,\"per_seq_ms\":0.00714,\"context_per_k\":0.00956,\"read_per_s\":105000.0,\"pairs_per_m\":0.309,\"chunk\":512,"
        "\"report_lag_ms\":200.0,\"LoadsPerS\":0.0,\"loads_at_once\":5,\"delays\":[],\"usual\":{\"prompt\":774,\"answer\":200},\"Layers\":8,"
        "\"LayerMb\":1750.0,\"ActivationBytes\":45900,\"PipeMbps\":26000.0,\"Kinds\":[{\"Name\":\"a100\",\"Mb\":72000.0,\"pace\":2.4,\"ReadX\":3.2}]}}";
    return "{\"Version\":7,\"Routes\":[" + route + "],\"Services\":[" + service
        + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
          "\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\"n2ctnfzs989anu6wsjnb\"],\"Priority\":1}]}";
}

} // namespace

int main(int argc, char **argv)
{
    const Setting setting = settingOf(argc, argv);
    Record record(setting.record);
    const std::string ip = ownIp();
    Ledger ledger;
    Store store(ip);
    Runner a(ip, "i-7f3a91c2", ledger, record);
    Runner b(ip, "i-02d9e6b4", ledger, record);
    store.put("config", "main", manifestText());
    store.put("servers", a.id(), a.entry());
    store.put("servers", b.id(), b.entry());
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
    sleepMs(2500);

    // Each client has one channel and one request at a time.
    std::atomic<bool> stop{false};
    std::atomic<int> sent{0};
    std::mutex mutex;
    std::map<std::string, std::string> answers;
    std::map<std::string, int> statuses;
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i]() {
            const Instance &instance = *instances[static_cast<std::size_t>(i % Instances)];
            std::unique_ptr<Channel> channel;
            while (!stop) {
                if (!channel) {
                    channel = connectTo(instance.ip, instance.front);
                    if (!channel) {
                        sleepMs(50);
                        continue;
                    }
                    channel->setReadTimeout(4000);
                }
                const std::string id = randomHex(16);
                ++sent;
                Message message;
                const bool ok = channel->send("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
                                              + "\r\nX-Model: daka510000\r\nX-Token-Count: 40,20\r\nX-Prompt-Prefix: 5c1e07a2:20," + randomHex(8)
                                              + ":20\r\nX-Deadline-Ms: 20000\r\nApi-Key: " + Key + "\r\nContent-Length: 4\r\n\r\nbody")
                    && channel->read(message);
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    answers[id] = ok ? message.word(1) + (message.complete ? "" : " incomplete") : "no answer";
                    ++statuses[answers[id]];
                }
                if (!ok || !message.complete) {
                    channel.reset();
                }
                // Clients honour Retry-After.
                const int pauseMs = ok ? static_cast<int>(1000 * std::atof(message.header("Retry-After").c_str())) : 0;
                sleepMs(std::max(pauseMs, std::stoi(randomHex(4), nullptr, 16) % MaxThinkMs));
            }
        });
    }
    sleepMs(2000);
    record.line(setting.trouble ? "garble begins: runner " + a.id() + " sends some answers a second time, late" : "TROUBLE=0: no extra answers");
    a.setFaulty(setting.trouble);
    sleepMs(TroubleMs);
    a.setFaulty(false);
    record.line("garble ends");
    sleepMs(2000);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    sleepMs(300);

    const std::lock_guard<std::mutex> lock(ledger.mutex);
    int twice = 0;
    int refused = 0;
    for (const auto &[id, runners] : ledger.runs) {
        const std::string answered = answers.count(id) > 0 ? answers[id] : "not sent by a client";
        if (runners.size() > 1) {
            ++twice;
            std::string text = "TWICE: " + id + " ran on";
            for (const std::string &runner : runners) {
                text += " " + runner;
            }
            record.line(text + "; the client got " + answered);
        }
        if (answered == "503" || answered == "429") {
            ++refused;
            record.line("REFUSED: " + id + " ran on " + runners.front() + " and the client got " + answered);
        }
    }
    std::string text = "answers:";
    for (const auto &[status, count] : statuses) {
        text += " " + status + " x " + std::to_string(count);
    }
    record.line(text);
    record.line("requests sent " + std::to_string(sent) + ", answers of " + a.id() + " in the 5 s of garble " + std::to_string(a.faultyAnswers())
                + ", of these sent twice " + std::to_string(a.extras()));
    record.line("streams that can't be resumed and ran twice: " + std::to_string(twice) + "; that ran and were answered 503: " + std::to_string(refused));
    finish(sent < 100 ? 2 : twice + refused > 0 ? 1 : 0);
}
