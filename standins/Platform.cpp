// A stand-in for the platform: an object API with versions, conditional writes and watches, and an instance list that is out of date by a set time.
// The instance list names endpoints as well as instances. POST /faults sets faults of the object API and the instance list.

#include "net/HttpServer.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <charconv>
#include <deque>
#include <iostream>
#include <map>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to listen on");
DEFINE_int32(list_lag_ms, 500, "age of the instance list that is shown, in milliseconds");

namespace json = boost::json;

namespace {

/// A stored object; its version is 0 until it is written.
struct Object {
    std::uint64_t version = 0;
    std::string value;
    /// Version and value before the last write, for stale reads.
    std::uint64_t previousVersion = 0;
    std::string previousValue;
};

/// An open request that is answered when its object changes, or when it times out.
struct Watch {
    net::ExchangeId exchange = 0;
    /// The version that the client knows.
    std::uint64_t after = 0;
};

/// The faults that are injected now.
struct Faults {
    /// "ok", "down" (answers 503) or "hang" (never answers).
    std::string mode = "ok";
    /// Delay of every request to which faults apply.
    std::int64_t delayMs = 0;
    /// One of N writes takes effect, but the connection is broken instead of answering. 0 turns this off.
    std::int64_t loseAnswerEvery = 0;
    /// One of N reads returns the version and value before the last write, if the object was written at least twice. 0 turns this off.
    std::int64_t staleEvery = 0;
};

/// The value of a parameter of the URL's query; empty if it is missing.
std::string queryParameter(const std::string &target, const std::string &name)
{
    const auto start = target.find(name + "=");
    if (start == std::string::npos) {
        return {};
    }
    const auto valueStart = start + name.size() + 1;
    return target.substr(valueStart, target.find('&', valueStart) - valueStart);
}

/// The decimal number at the start of the text; 0 if there is none.
std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// The object API, the instance list and the faults. All members run in the event loop's thread.
class Platform
{
public:
    explicit Platform(net::EventLoop &loop)
        : loop_(loop)
    {
    }

    /// Sets the server through which requests are answered, and starts the snapshots of the instance list.
    void attach(net::HttpServer &server)
    {
        server_ = &server;
        snapshotList();
    }

    /// Answers a request. Faults apply neither to /faults and /stats nor to requests that change the instance list.
    void handle(net::ExchangeId id, net::HttpRequest request)
    {
        if (request.target == "/faults") {
            setFaults(id, request.body);
        } else if (request.target == "/stats") {
            const json::object stats{{"reads", readCount_}, {"writes", writeCount_}, {"watches", watchCount_}, {"lists", listCount_}};
            answer(id, 200, json::serialize(stats));
        } else if (request.target == "/register") {
            registerEntry(id, request.body);
        } else if (request.target == "/leave" || request.target == "/remove") {
            updateEntry(id, request.target, request.body);
        } else if (faults_.mode == "down") {
            answer(id, 503, "unavailable");
        } else if (faults_.mode != "hang") {
            loop_.after(std::chrono::milliseconds(faults_.delayMs), [this, id, request = std::move(request)]() { serve(id, request); });
        }
    }

    /// Drops the watches of a request whose client has closed the connection.
    void dropWatches(net::ExchangeId id)
    {
        for (auto &[key, watches] : pendingWatches_) {
            std::erase_if(watches, [id](const Watch &watch) { return watch.exchange == id; });
        }
    }

private:
    void answer(net::ExchangeId id, int status, std::string body, std::uint64_t version = 0)
    {
        server_->respond(id, {status, {{"X-Version", std::to_string(version)}}, std::move(body)});
    }

    void setFaults(net::ExchangeId id, const std::string &body)
    {
        const json::object object = json::parse(body).as_object();
        Faults faults;
        faults.mode = object.contains("mode") ? json::value_to<std::string>(object.at("mode")) : "ok";
        const auto number = [&](const char *name) {
            return object.contains(name) ? object.at(name).to_number<std::int64_t>() : 0;
        };
        faults.delayMs = number("delay_ms");
        faults.loseAnswerEvery = number("lose_answer_every");
        faults.staleEvery = number("stale_every");
        faults_ = faults;
        answer(id, 200, "ok");
    }

    /// Adds or replaces the entry of an endpoint or instance in the instance list.
    void registerEntry(net::ExchangeId id, const std::string &body)
    {
        json::object entry = json::parse(body).as_object();
        const std::string name = json::value_to<std::string>(entry.at("id"));
        entries_[name] = std::move(entry);
        answer(id, 200, "ok");
    }

    /// Marks an entry of the instance list as leaving, or removes it.
    void updateEntry(net::ExchangeId id, const std::string &target, const std::string &name)
    {
        if (target == "/remove") {
            entries_.erase(name);
        } else if (entries_.count(name) > 0) {
            entries_[name]["leaving"] = true;
        }
        answer(id, 200, "ok");
    }

    /// Takes a snapshot of the instance list periodically, so that the list can be shown as it was list_lag_ms ago.
    void snapshotList()
    {
        json::array list;
        for (const auto &[name, entry] : entries_) {
            list.push_back(entry);
        }
        snapshots_.push_back(json::serialize(list));
        const std::size_t maxSnapshots = static_cast<std::size_t>(FLAGS_list_lag_ms / SnapshotPeriodMs) + 1;
        while (snapshots_.size() > maxSnapshots) {
            snapshots_.pop_front();
        }
        loop_.after(std::chrono::milliseconds(SnapshotPeriodMs), [this]() { snapshotList(); });
    }

    /// Answers a request of the object API or for the instance list, after the faults were applied.
    void serve(net::ExchangeId id, const net::HttpRequest &request)
    {
        const std::string path = request.target.substr(0, request.target.find('?'));
        if (path == "/instances") {
            ++listCount_;
            answer(id, 200, snapshots_.front());
        } else if (path.rfind("/objects/", 0) == 0 && request.method == "GET") {
            read(id, path.substr(std::string("/objects/").size()));
        } else if (path.rfind("/objects/", 0) == 0 && request.method == "PUT") {
            write(id, path.substr(std::string("/objects/").size()), request);
        } else if (path.rfind("/watch/", 0) == 0) {
            watch(id, path.substr(std::string("/watch/").size()), request.target);
        } else {
            answer(id, 404, "no such path");
        }
    }

    void read(net::ExchangeId id, const std::string &key)
    {
        ++readCount_;
        const auto found = objects_.find(key);
        if (found == objects_.end()) {
            answer(id, 404, "");
            return;
        }
        const bool stale = faults_.staleEvery > 0 && readCount_ % faults_.staleEvery == 0 && found->second.previousVersion > 0;
        const Object &object = found->second;
        answer(id, 200, stale ? object.previousValue : object.value, stale ? object.previousVersion : object.version);
    }

    /// Writes an object if If-Match states its present version, which is 0 if it does not exist; answers 412 otherwise.
    void write(net::ExchangeId id, const std::string &key, const net::HttpRequest &request)
    {
        ++writeCount_;
        const auto found = objects_.find(key);
        const std::uint64_t current = found == objects_.end() ? 0 : found->second.version;
        const std::uint64_t expected = parseNumber(net::headerIn(request.headers, "If-Match"));
        if (expected != current) {
            answer(id, 412, "");
            return;
        }
        Object &object = objects_[key];
        object.previousVersion = object.version;
        object.previousValue = std::move(object.value);
        object.version = ++lastVersion_;
        object.value = request.body;
        answerWatches(key);
        if (faults_.loseAnswerEvery > 0 && writeCount_ % faults_.loseAnswerEvery == 0) {
            server_->abort(id);
            return;
        }
        answer(id, 200, "", object.version);
    }

    /// Answers at once if the object's version differs from the one that the client knows; otherwise waits for a change, at most for wait_ms.
    void watch(net::ExchangeId id, const std::string &key, const std::string &target)
    {
        ++watchCount_;
        const std::uint64_t after = parseNumber(queryParameter(target, "after"));
        if (answerWatch(id, key, after)) {
            return;
        }
        pendingWatches_[key].push_back({id, after});
        loop_.after(std::chrono::milliseconds(parseNumber(queryParameter(target, "wait_ms"))), [this, id, key]() { expireWatch(id, key); });
    }

    /// Answers a watch with the object if its version differs from `after`. Returns false if there was nothing to answer.
    bool answerWatch(net::ExchangeId id, const std::string &key, std::uint64_t after)
    {
        const auto found = objects_.find(key);
        if (found == objects_.end() || found->second.version == after) {
            return false;
        }
        answer(id, 200, found->second.value, found->second.version);
        return true;
    }

    /// Answers a watch that has timed out, unless the platform hangs.
    void expireWatch(net::ExchangeId id, const std::string &key)
    {
        auto &watches = pendingWatches_[key];
        const auto found = std::find_if(watches.begin(), watches.end(), [id](const Watch &watch) { return watch.exchange == id; });
        if (found == watches.end()) {
            return;
        }
        watches.erase(found);
        if (faults_.mode == "ok") {
            answer(id, objects_.count(key) > 0 ? 304 : 404, "");
        } else if (faults_.mode == "down") {
            answer(id, 503, "");
        }
    }

    /// Answers all watches of an object that was written.
    void answerWatches(const std::string &key)
    {
        std::vector<Watch> watches;
        watches.swap(pendingWatches_[key]);
        for (const Watch &watch : watches) {
            answerWatch(watch.exchange, key, watch.after);
        }
    }

    static constexpr std::int64_t SnapshotPeriodMs = 100;

    net::EventLoop &loop_;
    net::HttpServer *server_ = nullptr;
    std::map<std::string, Object> objects_;
    /// Watches by key of their object.
    std::map<std::string, std::vector<Watch>> pendingWatches_;
    /// Entries of the instance list by the id of the endpoint or instance.
    std::map<std::string, json::object> entries_;
    /// Snapshots of the instance list over the last list_lag_ms, as JSON, oldest first.
    std::deque<std::string> snapshots_;
    Faults faults_;
    /// Version of the last write; all objects share one sequence.
    std::uint64_t lastVersion_ = 0;
    std::int64_t readCount_ = 0;
    std::int64_t writeCount_ = 0;
    std::int64_t watchCount_ = 0;
    std::int64_t listCount_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    net::EventLoop loop;
    Platform platform(loop);
    net::ServerLimits limits;
    limits.bodyBytes = 1024 * 1024;
    net::HttpServer::Handlers handlers;
    handlers.onRequest = [&](net::ExchangeId id, net::HttpRequest request) {
        platform.handle(id, std::move(request));
    };
    handlers.onAbort = [&](net::ExchangeId id) {
        platform.dropWatches(id);
    };
    handlers.refusal = [](net::RefusalKind) {
        return net::HttpResponse{400, {}, "refused"};
    };
    net::HttpServer server(loop, net::parseAddress(FLAGS_listen), limits, handlers);
    platform.attach(server);
    std::cout << "listening " << net::toString(server.address()) << std::endl;
    loop.run();
    return 0;
}
