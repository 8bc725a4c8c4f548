// Stand-ins for the review: the platform's store, runners, clients and the process under test. Header only, POSIX sockets and threads, loopback only.
#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using Clock = std::chrono::steady_clock;

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Writes lines with the milliseconds since the start to a file and to standard output.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
        , start_(Clock::now())
    {
    }

    long long ms() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start_).count();
    }

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        char head[32];
        std::snprintf(head, sizeof head, "%8lld ms  ", ms());
        file_ << head << text << std::endl;
        std::printf("%s%s\n", head, text.c_str());
        std::fflush(stdout);
    }

private:
    std::ofstream file_;
    Clock::time_point start_;
    std::mutex mutex_;
};

inline std::string randomHex(int digits)
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard<std::mutex> lock(mutex);
    std::string text;
    for (int i = 0; i < digits; ++i) {
        text += "0123456789abcdef"[random() % 16];
    }
    return text;
}

/// A request or an answer of HTTP/1.1.
struct Message {
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// The body ended as its framing says.
    bool complete = false;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return "";
    }

    std::string word(int index) const
    {
        std::size_t from = 0;
        for (int i = 0; i < index; ++i) {
            from = first.find(' ', from);
            if (from == std::string::npos) {
                return "";
            }
            ++from;
        }
        return first.substr(from, first.find(' ', from) - from);
    }

    int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

/// A connected TCP socket with the bytes that were received and not used yet.
class Channel
{
public:
    explicit Channel(int fd)
        : fd_(fd)
    {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~Channel()
    {
        close();
    }

    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

    void setReadTimeout(int ms)
    {
        const timeval limit{ms / 1000, (ms % 1000) * 1000};
        setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    bool send(const std::string &text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t n = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Receives more bytes; false at the end of the channel, after a reset or a timeout.
    bool fill(std::size_t most = 65536)
    {
        std::string chunk(most, '\0');
        const ssize_t n = ::recv(fd_, chunk.data(), chunk.size(), 0);
        ended_ = n <= 0;
        why_ = n == 0 ? "closed" : n < 0 ? std::strerror(errno) : "";
        if (n <= 0) {
            return false;
        }
        buffer_.append(chunk, 0, static_cast<std::size_t>(n));
        return true;
    }

    bool line(std::string &out)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        out = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }

    bool bytes(std::size_t count, std::string &out)
    {
        while (buffer_.size() < count) {
            if (!fill()) {
                out += buffer_;
                buffer_.clear();
                return false;
            }
        }
        out.append(buffer_, 0, count);
        buffer_.erase(0, count);
        return true;
    }

    /// Reads the first line and the header fields.
    bool head(Message &message)
    {
        if (!line(message.first)) {
            return false;
        }
        for (std::string text; line(text);) {
            if (text.empty()) {
                return true;
            }
            const std::size_t colon = text.find(':');
            const std::size_t value = colon == std::string::npos ? std::string::npos : text.find_first_not_of(" \t", colon + 1);
            message.headers.emplace_back(text.substr(0, colon), value == std::string::npos ? "" : text.substr(value));
        }
        return false;
    }

    /// Reads a whole message. `hasBody` is false for the answer to a HEAD request.
    bool read(Message &message, bool hasBody = true)
    {
        if (!head(message)) {
            return false;
        }
        if (!hasBody) {
            message.complete = true;
            return true;
        }
        if (message.header("Transfer-Encoding") == "chunked") {
            for (std::string size; line(size);) {
                const std::size_t count = std::strtoul(size.c_str(), nullptr, 16);
                if (!bytes(count, message.body) || !line(size)) {
                    return true;
                }
                if (count == 0) {
                    message.complete = true;
                    return true;
                }
            }
            return true;
        }
        message.complete = bytes(std::strtoul(message.header("Content-Length").c_str(), nullptr, 10), message.body);
        return true;
    }

    int fd() const
    {
        return fd_;
    }

    std::string &buffer()
    {
        return buffer_;
    }

    const std::string &why() const
    {
        return why_;
    }

private:
    int fd_;
    std::string buffer_;
    std::string why_;
    bool ended_ = false;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Connects to an address; null if that fails. `receiveBytes` sets the size of the receive buffer.
inline std::unique_ptr<Channel> connectTo(const std::string &ip, int port, int receiveBytes = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Channel>(fd);
}

/// A port of the IP address that nothing listens on at the moment.
inline int freePort(const std::string &ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(ip, 0);
    socklen_t length = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        std::perror("bind");
        std::_Exit(2);
    }
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    ::close(fd);
    return ntohs(address.sin_port);
}

/// Accepts channels and serves each in a thread of its own. All threads end with the process.
class Listener
{
public:
    using Serve = std::function<void(Channel &)>;

    Listener(const std::string &ip, Serve serve)
        : ip(ip)
        , serve_(std::move(serve))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = addressOf(ip, 0);
        socklen_t length = sizeof address;
        if (::bind(fd_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(fd_, 512) != 0) {
            std::perror("listen");
            std::_Exit(2);
        }
        getsockname(fd_, reinterpret_cast<sockaddr *>(&address), &length);
        port = ntohs(address.sin_port);
        std::thread([this]() { accept(); }).detach();
    }

    /// Refuses new channels and ends the open ones, as a process does that exits.
    void stop()
    {
        stopped_ = true;
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const int fd : open_) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

    std::string address() const
    {
        return ip + ":" + std::to_string(port);
    }

    std::string ip;
    int port = 0;

private:
    void accept()
    {
        while (!stopped_) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (stopped_) {
                    return;
                }
                continue;
            }
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                open_.push_back(fd);
            }
            std::thread([this, fd]() {
                Channel channel(fd);
                serve_(channel);
                const std::lock_guard<std::mutex> lock(mutex_);
                open_.erase(std::find(open_.begin(), open_.end(), fd));
            }).detach();
        }
    }

    Serve serve_;
    int fd_ = -1;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<int> open_;
};

inline std::string answer(int status, const std::vector<std::string> &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const std::string &header : headers) {
        text += header + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: objects by kind and name, one revision counter, watches.
class Store
{
public:
    explicit Store(const std::string &ip)
        : listener_(ip, [this](Channel &channel) { serve(channel); })
    {
    }

    std::string address() const
    {
        return listener_.address();
    }

    /// Creates or replaces an object; `spec` is its JSON text. The return is the acknowledgement.
    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        change(kind, name, spec);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        objects_[kind].erase(name);
        changes_.push_back({++revision_, kind, name});
        changed_.notify_all();
    }

private:
    struct Object {
        std::string spec;
        std::uint64_t revision = 0;
    };

    struct Change {
        std::uint64_t revision;
        std::string kind;
        std::string name;
    };

    void change(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &object = objects_[kind][name];
        if (object.spec == spec) {
            return;
        }
        object = {spec, ++revision_};
        changes_.push_back({revision_, kind, name});
        changed_.notify_all();
    }

    static std::string textOf(const std::string &name, const Object &object)
    {
        return "{\"Metadata\":{\"Name\":" + boost::json::serialize(boost::json::string(name)) + ",\"Revision\":" + std::to_string(object.revision)
            + ",\"Created\":1,\"Finalizers\":[],\"Deleting\":false},\"Spec\":" + (object.spec.empty() ? "null" : object.spec) + ",\"Status\":null}";
    }

    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        return at == std::string::npos ? "" : target.substr(at + name.size() + 1, target.find('&', at) - at - name.size() - 1);
    }

    void serve(Channel &channel)
    {
        for (;;) {
            Message request;
            if (!channel.read(request) || !request.complete || !channel.send(answerTo(request))) {
                return;
            }
        }
    }

    std::string answerTo(const Message &request)
    {
        const std::string target = request.word(1);
        const std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/objects/";
        if (path.compare(0, prefix.size(), prefix) != 0) {
            return answer(404, {}, "");
        }
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : "";
        const std::string json = "Content-Type: application/json";
        std::unique_lock<std::mutex> lock(mutex_);
        const std::string watch = query(target, "Watch");
        if (!watch.empty()) {
            const std::uint64_t since = std::stoull(watch);
            const auto isNews = [&]() {
                return std::any_of(changes_.begin(), changes_.end(), [&](const Change &c) { return c.kind == kind && c.revision > since; });
            };
            changed_.wait_for(lock, std::chrono::milliseconds(std::atoi(query(target, "WaitMs").c_str())), isNews);
            std::string events;
            for (const Change &c : changes_) {
                if (c.kind == kind && c.revision > since) {
                    const auto found = objects_[kind].find(c.name);
                    const bool deleted = found == objects_[kind].end();
                    events += (events.empty() ? "" : ",") + std::string("{\"Deleted\":") + (deleted ? "true" : "false")
                        + ",\"Object\":" + textOf(c.name, deleted ? Object{} : found->second) + "}";
                }
            }
            return answer(200, {json}, "{\"events\":[" + events + "],\"At\":" + std::to_string(revision_) + "}");
        }
        auto &objects = objects_[kind];
        if (request.word(0) == "GET" && name.empty()) {
            std::string entries;
            for (const auto &[entryName, object] : objects) {
                entries += (entries.empty() ? "" : ",") + textOf(entryName, object);
            }
            return answer(200, {json}, "{\"Entries\":[" + entries + "],\"HasMore\":false,\"At\":" + std::to_string(revision_) + "}");
        }
        if (request.word(0) == "GET") {
            const auto found = objects.find(name);
            return found == objects.end() ? answer(404, {}, "") : answer(200, {json}, textOf(name, found->second));
        }
        boost::system::error_code error;
        const boost::json::value body = boost::json::parse(request.body, error);
        if (error || !body.is_object()) {
            return answer(400, {}, "");
        }
        const boost::json::object &metadata = body.at("Metadata").as_object();
        const bool isNew = request.word(0) == "POST";
        const std::string objectName = isNew ? std::string(metadata.at("Name").as_string()) : name;
        const auto found = objects.find(objectName);
        if (!isNew && found == objects.end()) {
            return answer(404, {}, "");
        }
        const bool mismatch = !isNew && metadata.contains("Revision") && metadata.at("Revision").to_number<std::uint64_t>() != found->second.revision;
        if ((isNew && found != objects.end()) || mismatch) {
            return answer(409, {json}, textOf(objectName, found->second));
        }
        change(kind, objectName, boost::json::serialize(body.at("Spec")));
        return answer(isNew ? 201 : 200, {json}, textOf(objectName, objects[objectName]));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Change> changes_;
    std::uint64_t revision_ = 100;
    Listener listener_;
};

/// The spec of a runner's entry in the store.
inline std::string entryOf(const std::string &service, const std::string &address, const std::string &state = "ready", int slots = 6)
{
    return "{\"Service\":\"" + service + "\",\"Address\":\"" + address + "\",\"Zone\":\"z-a\",\"Version\":\"v1\",\"Slots\":" + std::to_string(slots)
        + ",\"State\":\"" + state + "\",\"ColdLeftMs\":0,\"SeqNo\":4}";
}

/// A manifest with one service without an engine, and one route per line of `routes`.
inline std::string manifest(int version, const std::vector<std::string> &routes, const std::vector<std::string> &services)
{
    std::string routeText;
    for (const std::string &route : routes) {
        routeText += (routeText.empty() ? "" : ",") + route;
    }
    std::string serviceText;
    for (const std::string &service : services) {
        serviceText += (serviceText.empty() ? "" : ",") + std::string("{\"Name\":\"") + service
            + "\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}";
    }
    return "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" + routeText + "],\"Services\":[" + serviceText
        + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
          "\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\"n2ctnfzs989anu6wsjnb\"],\"Priority\":1}]}";
}

inline std::string routeOf(const std::string &prefix, const std::string &kind, const std::string &service, int timeoutMs, int targetMs, int attempts)
{
    return "{\"Name\":\"r-" + randomHex(6) + "\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"" + prefix + "\",\"Kind\":\"" + kind
        + "\",\"TimeoutMs\":" + std::to_string(timeoutMs) + ",\"TargetLatencyMs\":" + std::to_string(targetMs) + ",\"Priority\":1,\"Service\":\"" + service
        + "\",\"MaxAttempts\":" + std::to_string(attempts) + ",\"Public\":false,\"Sticky\":false,\"Resumable\":false,\"GapTargetMs\":200}";
}

inline constexpr const char *Key = "n2ctnfzs989anu6wsjnb";

/// The text of a client's request.
inline std::string request(const std::string &method, const std::string &path, const std::string &id, int limitMs, const std::string &body = "")
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(limitMs)
        + "\r\nApi-Key: " + Key + "\r\n";
    if (method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// The processes of the system that were started and have not been waited for.
class ProcessList
{
public:
    void add(pid_t pid)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        pids_.push_back(pid);
    }

    void remove(pid_t pid)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::erase(pids_, pid);
    }

    std::vector<pid_t> all()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return pids_;
    }

private:
    std::mutex mutex_;
    std::vector<pid_t> pids_;
};

inline ProcessList &startedProcesses()
{
    static ProcessList list;
    return list;
}

/// Ends all started processes and this one. The threads of the stand-ins end with it.
[[noreturn]] inline void finish(int code)
{
    for (const pid_t pid : startedProcesses().all()) {
        ::kill(pid, SIGKILL);
    }
    for (const pid_t pid : startedProcesses().all()) {
        ::waitpid(pid, nullptr, 0);
    }
    std::fflush(stdout);
    std::_Exit(code);
}

/// A process of the system on a loopback address of its own.
class Instance
{
public:
    Instance(const std::string &program, const std::string &folder, const std::string &name, const std::string &ip, const std::string &store)
        : program_(program)
        , folder_(folder)
        , name_(name)
        , ip(ip)
        , front(freePort(ip))
        , ready(freePort(ip))
    {
        const int mesh = freePort(ip);
        std::ofstream settings(folder_ + "/" + name_ + ".yaml");
        settings << "Node: \"" << name_ << "\"\nRole: \"router\"\nMachineClass: \"front\"\nServes:\n  - \"front\"\nIp: \"" << ip
                 << "\"\nZone: \"z-a\"\nRegion: \"r-a\"\nZones:\n  z-a: \"r-a\"\nListen:\n  Front: \"" << ip << ":" << front << "\"\n  Ready: \"" << ip << ":"
                 << ready << "\"\nInternalPorts:\n  - " << mesh << "\n  - " << mesh + 15
                 << "\nSeeds: []\nBootstrap: true\nCountsTowardFaults: false\nLimits:\n  CpuShare: 0.25\n  Cores: 1\n  MemoryMb: 260\n  MaxFds: 4100\n"
                    "  LinkMbps: 1000.0\n  DiskMb: 0\nDataDir: null\nDiscovery: \"platform\"\nEntry: \"vip\"\nHeartbeatMs: 1200\n"
                    "Bounds:\n  SeedLagS: 3\n  AddrReuseS: 2\n  StableWindowMs: 3000\n  AckMs: 4000\n  CatchUpS: 4\n  DrainMs: 2000\n  GraceS: 8\n"
                    "  LossSlackMs: 200\n  ConfigApplyMs: 2000\n  RollbackSlackMs: 250\n  OuterMs: 5000\n  StrictRevocation: true\n  RevokeMs: 5000\n"
                    "  RetryBudgetRatio: 0.2\n  BudgetWindowS: 10\n  RetryBudgetExtra: 200\n  RecoverS: 12\n  PassMs: 120\n  RetryAfterS: 0\n"
                    "  stall_ms: 3000\n  RequireFencing: true\nProvider:\n  Address: \""
                 << store << "\"\n  form: \"objects\"\n  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n  ValueBytes: 1048576\n";
    }

    void start()
    {
        const std::string file = folder_ + "/" + name_ + ".yaml";
        const std::string log = folder_ + "/" + name_ + ".log";
        const std::string variable = "TREFOILPORT_NODE_FILE=" + file;
        const std::string path = "PATH=/usr/local/bin:/usr/bin:/bin";
        // Nothing but system calls between fork and exec, since other threads of this process may hold locks.
        char *const arguments[] = {const_cast<char *>(program_.c_str()), nullptr};
        char *const environment[] = {const_cast<char *>(variable.c_str()), const_cast<char *>(path.c_str()), nullptr};
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execve(program_.c_str(), arguments, environment);
            ::_exit(127);
        }
        ::close(out);
        // run.sh ends what this process has left running.
        std::ofstream(folder_ + "/pids", std::ios::app) << pid_ << "\n";
        startedProcesses().add(pid_);
    }

    void kill(int signal)
    {
        if (pid_ > 0) {
            ::kill(pid_, signal);
        }
    }

    /// Waits for the end of the process; returns false if it still runs after the timeout.
    bool wait(int timeoutMs)
    {
        for (int waited = 0; pid_ > 0; waited += 10) {
            int status = 0;
            if (::waitpid(pid_, &status, WNOHANG) == pid_) {
                startedProcesses().remove(pid_);
                status_ = status;
                pid_ = 0;
                return true;
            }
            if (waited >= timeoutMs) {
                return false;
            }
            sleepMs(10);
        }
        return true;
    }

    /// How the last process ended: its exit code, or the signal that ended it as a negative number.
    int lastEnd() const
    {
        return WIFEXITED(status_) ? WEXITSTATUS(status_) : -WTERMSIG(status_);
    }

    bool isReady() const
    {
        const auto channel = connectTo(ip, ready);
        if (!channel) {
            return false;
        }
        channel->setReadTimeout(1000);
        Message message;
        return channel->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") && channel->read(message) && message.status() == 200;
    }

    /// Waits until the instance is ready. As the platform does with a process that ends, it starts a process again that has ended or isn't ready
    /// after 6 s, and notes that.
    bool waitReady(int timeoutMs, Record &record)
    {
        const long long start = record.ms();
        for (long long startedAt = start; record.ms() < start + timeoutMs; sleepMs(100)) {
            if (isReady()) {
                return true;
            }
            const bool hasEnded = wait(0);
            if (hasEnded || record.ms() > startedAt + 6000) {
                record.line(name_ + " isn't ready; its process " + (hasEnded ? "has ended with " + std::to_string(lastEnd()) : std::string("runs"))
                            + "; it said: " + lastWords());
                kill(SIGKILL);
                wait(2000);
                this->start();
                startedAt = record.ms();
            }
        }
        return false;
    }

private:
    /// The end of the process's output.
    std::string lastWords() const
    {
        std::ifstream file(folder_ + "/" + name_ + ".log");
        const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        return text.substr(text.size() > 1500 ? text.size() - 1500 : 0);
    }

    std::string program_;
    std::string folder_;
    std::string name_;
    pid_t pid_ = 0;
    int status_ = 0;

public:
    std::string ip;
    int front;
    int ready;
};

/// What a case gets from its command line: PROGRAM FOLDER RECORD, and whether the disruption happens.
struct Setting {
    std::string program;
    std::string folder;
    std::string record;
    bool trouble = true;
};

inline Setting settingOf(int argc, char **argv)
{
    if (argc < 4) {
        std::fprintf(stderr, "usage: CASE PROGRAM FOLDER RECORD\n");
        std::exit(2);
    }
    ::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    return {argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
}

/// A loopback address that no other run is likely to use, so that fixed ports are free.
inline std::string ownIp()
{
    std::random_device random;
    return "127." + std::to_string(16 + random() % 200) + "." + std::to_string(1 + random() % 250) + "." + std::to_string(1 + random() % 250);
}

} // namespace stand
