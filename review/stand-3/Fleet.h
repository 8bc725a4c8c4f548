// A small deployment on loopback: a store, runners and instances of the router, each of which is a process of its own.
#pragma once

#include "Http.h"

#include <boost/json.hpp>

#include <cstdio>

namespace stand {

namespace json = boost::json;

/// The lines of record.txt.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    /// Writes a line with the time in seconds.
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::FILE *file_;
};

/// The platform's store: objects by kind and name, with revisions and watches.
class Store
{
public:
    explicit Store(const std::string &host);
    Address address() const
    {
        return server_.address();
    }
    /// Writes an object's specification, as the operator and the runners do.
    void put(const std::string &kind, const std::string &name, const json::object &spec);
    void remove(const std::string &kind, const std::string &name);
    /// Writes an entry among the runners as another writer left it: the JSON text of the whole object, which stands in lists where the name would.
    void putOdd(const std::string &name, const std::string &objectText);
    /// Goes away: every call is answered 503; or is back.
    void setAway(bool isAway)
    {
        isAway_ = isAway;
    }
    /// Makes a copy of all objects.
    void copy();
    /// Comes back from the copy: what was written since is gone, and revisions are given out again.
    void restore();
    /// Opens a further address of the store. There, addresses of runners are shown as the map says.
    Address addView(const std::map<std::string, std::string> &shown);

private:
    struct Object {
        json::value spec;
        std::uint64_t revision = 0;
        /// The object as another writer left it; empty for others.
        std::string oddText = {};
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        std::optional<Object> object;
    };

    void serve(Channel &channel);
    Response answer(const Request &request);
    Response write(const Request &request, const std::string &kind, const std::string &name);
    void change(const std::string &kind, const std::string &name, std::optional<json::value> spec);
    /// Returns a page of the objects behind the one with that name: 500 or a megabyte at most, but one at least.
    std::string page(const std::string &kind, const std::string &after);
    static json::object toJson(const std::string &name, const Object &object);
    static std::string toText(const std::string &name, const Object &object);

    std::mutex mutex_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Change> changes_;
    std::uint64_t revision_ = 100;
    /// Changes up to this revision aren't known.
    std::uint64_t historyStart_ = 100;
    std::map<std::string, std::map<std::string, Object>> copied_;
    std::uint64_t copiedRevision_ = 100;
    std::uint64_t era_ = 1;
    std::atomic<bool> isAway_{false};
    std::vector<std::unique_ptr<Server>> views_;
    std::string host_;
    Server server_;
};

/// What a runner has to do with a request.
struct Work {
    Request request;
    std::string id;
    Channel &channel;
};

/// A runner of a service. Without an accelerator it is a plain service.
class Runner
{
public:
    struct Kind {
        std::string service;
        std::string accelerator;
        std::string zone;
        int slots = 6;
    };
    /// Runs a request whole: sends the response. Returns false if the connection has to end.
    using Run = std::function<bool(Runner &, Work &)>;

    Runner(Store &store, const std::string &host, const std::string &name, Kind kind, Run run);
    ~Runner();
    Address address() const
    {
        return server_->address();
    }
    std::string name() const
    {
        return name_;
    }
    std::string id() const;
    /// Reports that it is leaving, and goes on to serve.
    void drain();
    /// Crashes: all connections are reset, and nothing listens. The entry lapses after three liveness report intervals.
    void crash();
    /// Crashes several at the same moment.
    static void crashTogether(std::vector<std::unique_ptr<Runner>> &runners);
    /// Starts again at the same address, with a new id, or the same one in a new lifetime.
    void restart(bool isSameId);
    int running() const
    {
        return running_;
    }
    bool isUp() const
    {
        return isUp_;
    }
    /// Returns the fields that every answer carries.
    Headers fields(const Work &work) const;

private:
    void serve(Channel &channel);
    void handle(Work &work, bool &goesOn);
    Response report() const;
    Response order(const Request &request);
    json::object entry() const;
    void beat();

    Store &store_;
    std::string name_;
    Kind kind_;
    Run run_;
    mutable std::mutex mutex_;
    std::string id_;
    std::int64_t born_ = 0;
    int lives_ = 0;
    bool isDraining_ = false;
    std::uint64_t orders_ = 0;
    std::uint64_t beats_ = 0;
    double loadedAt_ = 0;
    int from_ = 0;
    int to_ = 0;
    std::atomic<int> running_{0};
    std::atomic<bool> isUp_{true};
    std::atomic<bool> ends_{false};
    std::vector<std::pair<std::string, double>> lapsing_;
    std::unique_ptr<Server> server_;
    std::thread beatThread_;
};

/// An instance of the router.
class Front
{
public:
    Front(const std::string &folder, const std::string &host, int number, const std::string &zone, const Address &store);
    ~Front();
    void start();
    void signal(int number);
    void stop();
    Address callers() const
    {
        return {host_, 8227};
    }
    std::string name() const
    {
        return name_;
    }
    std::string logPath() const
    {
        return log_;
    }
    bool isReady() const;
    /// Returns whether the process still runs.
    bool isRunning();

private:
    std::string folder_;
    std::string host_;
    std::string name_;
    std::string settings_;
    std::string log_;
    int pid_ = 0;
};

/// Returns a loopback host that this process alone uses.
std::string hostOf(int number);
/// Waits until all are ready. Returns false after the time.
bool waitReady(std::vector<std::unique_ptr<Front>> &fronts, double timeoutMs);

/// Routes, services, limits and a tenant, as the operator writes them.
json::object manifest(int version, const std::vector<std::string> &keys = {});
constexpr const char *Key = "n2ctnfzs989anu6wsjnb";
constexpr const char *HostName = "ficu95.example";
std::string newId();
Request requestOf(const std::string &method, const std::string &target, double deadlineMs, const std::string &body = "");
Request streamRequest(const std::string &target, const std::string &prefix, int promptTokens, int answerTokens);

/// Answers with 200 and a body after some time of work.
Runner::Run plainWork(Record &record, double workMs);
/// Answers with a stream: prefill, then events.
Runner::Run streamWork(Record &record, double prefillMs, int events, double gapMs);

} // namespace stand
