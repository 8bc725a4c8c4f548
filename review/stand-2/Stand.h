// Stand-ins for the review's scripts: the platform's store, runners and clients, as the users' pages describe them. One thread a connection, blocking
// sockets, loopback only.
#pragma once

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stand {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Milliseconds since the start of the script.
std::int64_t sinceStart();
/// Milliseconds since the Unix epoch.
std::int64_t unixMs();
void sleepMs(std::int64_t ms);

/// Opens record.txt in the folder. Each line gets the time since the start.
void openRecord(const std::string &folder);
void record(const std::string &line);

/// False if TROUBLE=0: the script runs without its disruption.
bool hasTrouble();

/// One message on a connection. Names of header fields are in lower case.
struct Message {
    /// The request line or the status line.
    std::string first;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string method() const;
    std::string target() const;
    int status() const;
    std::string header(const std::string &name) const;
};

/// A connection with its unread bytes. Closed by the destructor.
class Channel
{
public:
    explicit Channel(int fd);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// Connects; null if that fails.
    static std::shared_ptr<Channel> connect(const std::string &host, std::uint16_t port);

    bool write(const std::string &bytes);
    /// Reads one line without its end; none at the end of the channel or past the time.
    std::optional<std::string> line(Clock::time_point until);
    std::optional<std::string> bytes(std::size_t count, Clock::time_point until);
    /// Reads the first line and the header fields.
    std::optional<Message> head(Clock::time_point until);
    /// Reads a whole request.
    std::optional<Message> request();
    /// Ends reading and writing, also of another thread.
    void shut();
    /// The peer has closed the channel or reset it.
    bool isClosedByPeer();

private:
    bool fill(Clock::time_point until);

    int fd_;
    std::string buffer_;
};

/// A listener on a free port of a loopback address, with one thread a connection.
class Listener
{
public:
    using Handler = std::function<void(std::shared_ptr<Channel>)>;
    Listener(const std::string &host, Handler handler);
    ~Listener();
    /// Refuses new channels, as a port without a process does, and takes them again.
    void stop();
    void resume();
    std::uint16_t port() const
    {
        return port_;
    }
    std::string address() const
    {
        return host_ + ":" + std::to_string(port_);
    }

private:
    std::string host_;
    Handler handler_;
    std::uint16_t port_ = 0;
    int fd_ = -1;
    std::thread thread_;
};

/// Returns a port of the host that is free now, and stays out of the range of ephemeral ports; `count` ports from it on are free.
std::uint16_t freePort(const std::string &host, int count = 1);

/// The platform's store.
class Store
{
public:
    explicit Store(const std::string &host);
    std::string address() const
    {
        return listener_->address();
    }
    /// Writes as the operator or a runner does. No value: deletes the object.
    void put(const std::string &kind, const std::string &name, std::optional<json::object> spec);

private:
    struct Object {
        json::object spec;
        std::uint64_t revision = 0;
    };
    struct Change {
        std::uint64_t revision;
        std::string kind;
        std::string name;
        std::optional<json::object> spec;
    };
    void serve(const std::shared_ptr<Channel> &channel);
    std::pair<int, std::string> answer(const Message &request);
    std::string watch(const std::string &kind, std::uint64_t since, std::int64_t waitMs);
    void change(const std::string &kind, const std::string &name, std::optional<json::object> spec);
    static json::object toJson(const std::string &name, const Object &object);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Change> changes_;
    std::uint64_t revision_ = 10;
    std::unique_ptr<Listener> listener_;
};

/// What all runners saw: each request that began to run.
class Runs
{
public:
    void add(const std::string &requestId, const std::string &runner);
    std::size_t count(const std::string &requestId);
    std::size_t total();
    std::vector<std::string> ranMoreThanOnce();

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> runs_;
};

/// A runner: an engine that holds layers, or a plain one.
class Runner
{
public:
    struct Options {
        std::string id;
        std::string service;
        std::string host;
        bool isEngine = false;
        /// Events of a stream, and the time between them.
        int events = 20;
        int eventMs = 40;
        /// Time that a plain request takes.
        int workMs = 10;
    };
    Runner(Store &store, Runs &runs, Options options);
    ~Runner();

    /// The machine loses power: nothing answers any more, and its channels hang without an end.
    void goDark();
    /// Its process ends: its channels are closed, and new ones are refused until it starts again.
    /// Returns false if it has ended already, or has lost the given life.
    bool crash(std::uint64_t life);
    /// Its process starts again under the same id and at the same address. It knows nothing of before.
    void startAgain();
    /// Called with each request on a route, in place of the usual answer, if it returns true.
    std::function<bool(Channel &, const Message &)> answerInstead;
    /// Whether a stream's request crashes the runner as it begins to run; the runner is back after `backMs`.
    std::function<bool(const Message &)> crashesIt;
    std::int64_t backMs = 3000;
    /// Returns the bytes that are sent in place of an event, if set. The answers of a runner are counted from 1.
    std::function<std::string(std::uint64_t answer, const std::string &requestId, int event, const std::string &text)> spoil;

    const std::string &id() const
    {
        return options_.id;
    }
    std::string address() const
    {
        return listener_->address();
    }
    bool isReady();
    int openStreams() const
    {
        return openStreams_;
    }

private:
    void serve(const std::shared_ptr<Channel> &channel);
    void serveOne(Channel &channel, const Message &request, std::uint64_t life);
    void stream(Channel &channel, const Message &request, std::uint64_t life);
    void beat();
    void publish();
    bool isDark(std::uint64_t life);

    Store &store_;
    Runs &runs_;
    Options options_;
    std::mutex mutex_;
    std::uint64_t life_ = 1;
    bool dark_ = false;
    bool down_ = false;
    bool ended_ = false;
    std::int64_t born_ = 0;
    std::int64_t lastBeat_ = 0;
    bool isListed_ = false;
    std::uint64_t beats_ = 0;
    std::uint64_t orders_ = 0;
    std::uint64_t fence_ = 0;
    std::uint32_t from_ = 0;
    std::uint32_t to_ = 0;
    std::uint32_t loadFrom_ = 0;
    std::uint32_t loadTo_ = 0;
    std::int64_t loadedAt_ = 0;
    std::atomic<int> openStreams_{0};
    std::atomic<std::uint64_t> answers_{0};
    std::vector<std::shared_ptr<Channel>> hung_;
    std::unique_ptr<Listener> listener_;
    std::thread beats_thread_;
};

/// A process of the project, started with the command of the deploy file and a settings file.
class Daemon
{
public:
    struct Options {
        std::string name;
        std::string zone = "zone-a";
        std::string host;
        std::string store;
        std::string folder;
        std::string program;
        int memoryMb = 260;
    };
    explicit Daemon(Options options);
    ~Daemon();
    void start();
    void signal(int number);
    /// Returns how the process has ended by itself; empty while it runs.
    std::string ended();
    /// Kills the process and waits for its end.
    void kill();
    std::uint16_t front() const
    {
        return front_;
    }
    std::uint16_t ready() const
    {
        return ready_;
    }
    const std::string &host() const
    {
        return options_.host;
    }
    bool isReady();

private:
    Options options_;
    std::uint16_t front_ = 0;
    std::uint16_t ready_ = 0;
    std::uint16_t mesh_ = 0;
    std::string settingsPath_;
    int pid_ = 0;
};

/// What a client got for one attempt.
struct Answer {
    /// 0: no answer before the channel ended; -1: none within the time.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Ids of the events of a stream.
    std::vector<std::uint64_t> events;
    /// The answer ended as complete.
    bool isWhole = false;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    std::int64_t longestPause = 0;
    bool isSealed() const
    {
        return headers.contains("x-response-seal");
    }
};

struct Request {
    std::string method = "POST";
    std::string path;
    std::string id;
    std::string body = "b";
    std::vector<std::string> headers;
    std::int64_t deadlineMs = 20000;
    /// The client leaves a stream after a pause of this length.
    std::int64_t patienceMs = 1000000;
    std::function<void(std::uint64_t)> onEvent;
};

/// Sends a request on a new channel and reads the answer.
Answer ask(const std::string &host, std::uint16_t port, const Request &request);

/// A manifest with the given routes; each has the fields that it overrides.
json::object route(const std::string &prefix, const std::string &kind, const std::string &service, std::int64_t timeoutMs, const json::object &more = {});
json::object manifest(std::uint64_t version, json::array routes);

/// The file's own loopback host number.
std::string hostOf(int number);

/// Ends the script with that exit code: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. Kills the daemons first.
[[noreturn]] void finish(int code, const std::vector<Daemon *> &daemons);

/// Runs the script; exits with 2 if it can't. The arguments are the folder of record.txt, a temporary folder and the project's program.
int runScript(int argc, char **argv, const std::function<void(const std::string &temporary, const std::string &program)> &script);

/// Waits until the condition holds; false after the time.
bool waitFor(std::int64_t ms, const std::function<bool()> &condition);

} // namespace stand
