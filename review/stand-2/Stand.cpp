#include "Stand.h"

#include <boost/json/src.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand {

namespace {

const Clock::time_point Start = Clock::now();
std::mutex recordMutex;
std::ofstream recordFile;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::int64_t queryNumber(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? -1 : std::atoll(target.c_str() + at + name.size() + 1);
}

std::string responseText(int status, const std::string &body, const std::string &headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

sockaddr_in addressOf(const std::string &host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

} // namespace

std::int64_t sinceStart()
{
    return std::chrono::duration_cast<Ms>(Clock::now() - Start).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

void openRecord(const std::string &folder)
{
    recordFile.open(folder + "/record.txt", std::ios::trunc);
}

void record(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    recordFile << sinceStart() << " " << line << std::endl;
}

bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string hostOf(int number)
{
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250) + "." + std::to_string(number);
}

bool waitFor(std::int64_t ms, const std::function<bool()> &condition)
{
    const auto until = Clock::now() + Ms(ms);
    while (!condition()) {
        if (Clock::now() >= until) {
            return false;
        }
        sleepMs(20);
    }
    return true;
}

std::string Message::method() const
{
    return first.substr(0, first.find(' '));
}

std::string Message::target() const
{
    const std::size_t start = first.find(' ') + 1;
    return first.substr(start, first.find(' ', start) - start);
}

int Message::status() const
{
    return std::atoi(first.c_str() + first.find(' ') + 1);
}

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

Channel::Channel(int fd)
    : fd_(fd)
{
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Channel::~Channel()
{
    ::close(fd_);
}

std::shared_ptr<Channel> Channel::connect(const std::string &host, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(host, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<Channel>(fd);
}

bool Channel::write(const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Channel::fill(Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
    pollfd entry{fd_, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(std::clamp<std::int64_t>(left, 0, 1000000))) <= 0) {
        return false;
    }
    char chunk[65536];
    const ssize_t count = ::recv(fd_, chunk, sizeof chunk, 0);
    if (count <= 0) {
        return false;
    }
    buffer_.append(chunk, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Channel::line(Clock::time_point until)
{
    std::size_t end = 0;
    while ((end = buffer_.find('\n')) == std::string::npos) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    std::string text = buffer_.substr(0, end);
    buffer_.erase(0, end + 1);
    if (!text.empty() && text.back() == '\r') {
        text.pop_back();
    }
    return text;
}

std::optional<std::string> Channel::bytes(std::size_t count, Clock::time_point until)
{
    while (buffer_.size() < count) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    std::string text = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return text;
}

std::optional<Message> Channel::head(Clock::time_point until)
{
    Message message;
    const auto first = line(until);
    if (!first || first->empty()) {
        return std::nullopt;
    }
    message.first = *first;
    while (true) {
        const auto field = line(until);
        if (!field) {
            return std::nullopt;
        }
        if (field->empty()) {
            return message;
        }
        const std::size_t colon = field->find(':');
        if (colon == std::string::npos) {
            return std::nullopt;
        }
        const std::size_t start = field->find_first_not_of(' ', colon + 1);
        message.headers[lower(field->substr(0, colon))] = start == std::string::npos ? "" : field->substr(start);
    }
}

std::optional<Message> Channel::request()
{
    const auto until = Clock::now() + std::chrono::hours(1);
    auto message = head(until);
    if (!message) {
        return std::nullopt;
    }
    const auto body = bytes(static_cast<std::size_t>(std::atoll(message->header("content-length").c_str())), until);
    if (!body) {
        return std::nullopt;
    }
    message->body = *body;
    return message;
}

void Channel::shut()
{
    ::shutdown(fd_, SHUT_RDWR);
}

bool Channel::isClosedByPeer()
{
    char byte = 0;
    const ssize_t count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Listener::Listener(const std::string &host, Handler handler)
    : host_(host)
    , handler_(std::move(handler))
{
    resume();
}

void Listener::resume()
{
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = addressOf(host_, port_);
    socklen_t size = sizeof address;
    if (::bind(fd_, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(fd_, 1024) != 0) {
        throw std::runtime_error("can't listen on " + host_);
    }
    ::getsockname(fd_, reinterpret_cast<sockaddr *>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this]() {
        while (true) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EINTR || errno == ECONNABORTED) {
                    continue;
                }
                return;
            }
            auto channel = std::make_shared<Channel>(fd);
            std::thread([this, channel]() { handler_(channel); }).detach();
        }
    });
}

void Listener::stop()
{
    ::shutdown(fd_, SHUT_RDWR);
    thread_.join();
    ::close(fd_);
}

Listener::~Listener()
{
    stop();
}

std::uint16_t freePort(const std::string &host, int count)
{
    static std::uint16_t next = static_cast<std::uint16_t>(10000 + ::getpid() % 15000);
    while (true) {
        bool isFree = true;
        for (int i = 0; i < count; ++i) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = addressOf(host, static_cast<std::uint16_t>(next + i));
            isFree = isFree && ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
            ::close(fd);
        }
        const std::uint16_t port = next;
        next = static_cast<std::uint16_t>(next + count);
        if (isFree) {
            return port;
        }
    }
}

Store::Store(const std::string &host)
    : listener_(std::make_unique<Listener>(host, [this](const std::shared_ptr<Channel> &channel) { serve(channel); }))
{
}

void Store::put(const std::string &kind, const std::string &name, std::optional<json::object> spec)
{
    const std::lock_guard lock(mutex_);
    change(kind, name, std::move(spec));
}

void Store::change(const std::string &kind, const std::string &name, std::optional<json::object> spec)
{
    auto &objects = objects_[kind];
    const auto found = objects.find(name);
    if (spec ? found != objects.end() && found->second.spec == *spec : found == objects.end()) {
        return;
    }
    ++revision_;
    if (spec) {
        objects[name] = {*spec, revision_};
    } else {
        objects.erase(name);
    }
    changes_.push_back({revision_, kind, name, std::move(spec)});
    changed_.notify_all();
}

void Store::serve(const std::shared_ptr<Channel> &channel)
{
    while (const auto request = channel->request()) {
        const auto [status, body] = answer(*request);
        if (!channel->write(responseText(status, body, "Content-Type: application/json\r\nStore-Era: 1\r\n"))) {
            return;
        }
    }
}

json::object Store::toJson(const std::string &name, const Object &object)
{
    return {{"Metadata", json::object{{"Name", name}, {"Revision", object.revision}}}, {"Spec", object.spec}};
}

std::string Store::watch(const std::string &kind, std::uint64_t since, std::int64_t waitMs)
{
    std::unique_lock lock(mutex_);
    const auto hasEvent = [&]() {
        return std::any_of(changes_.rbegin(), changes_.rend(), [&](const Change &change) { return change.revision > since && change.kind == kind; });
    };
    changed_.wait_for(lock, Ms(waitMs), hasEvent);
    json::array events;
    for (const Change &change : changes_) {
        if (change.revision > since && change.kind == kind) {
            events.push_back(json::object{{"Object", toJson(change.name, {change.spec.value_or(json::object{}), change.revision})}, {"Deleted", !change.spec}});
        }
    }
    return json::serialize(json::object{{"events", events}, {"At", revision_}});
}

std::pair<int, std::string> Store::answer(const Message &request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    constexpr std::string_view Prefix = "/objects/";
    if (!path.starts_with(Prefix)) {
        return {404, ""};
    }
    const std::string rest = path.substr(Prefix.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : "";
    if (const std::int64_t since = queryNumber(target, "Watch"); since >= 0) {
        return {200, watch(kind, static_cast<std::uint64_t>(since), std::max<std::int64_t>(0, queryNumber(target, "WaitMs")))};
    }
    const std::lock_guard lock(mutex_);
    auto &objects = objects_[kind];
    if (request.method() == "GET") {
        if (!name.empty()) {
            const auto found = objects.find(name);
            return found == objects.end() ? std::pair(404, std::string()) : std::pair(200, json::serialize(toJson(name, found->second)));
        }
        json::array entries;
        for (const auto &[objectName, object] : objects) {
            entries.push_back(toJson(objectName, object));
        }
        return {200, json::serialize(json::object{{"Entries", entries}, {"HasMore", false}, {"At", revision_}})};
    }
    if (request.method() == "DELETE") {
        const bool exists = objects.contains(name);
        change(kind, name, std::nullopt);
        return {exists ? 200 : 404, ""};
    }
    boost::system::error_code error;
    const json::value document = json::parse(request.body, error);
    if (error || !document.is_object()) {
        return {400, ""};
    }
    const json::object &object = document.get_object();
    const json::object metadata = object.contains("Metadata") ? object.at("Metadata").as_object() : json::object{};
    const bool isPost = request.method() == "POST";
    name = isPost ? std::string(metadata.at("Name").as_string()) : name;
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    const bool hasRevision = metadata.contains("Revision");
    if (isPost ? exists : !exists || (hasRevision && metadata.at("Revision").to_number<std::uint64_t>() != found->second.revision)) {
        return {409, exists ? json::serialize(toJson(name, found->second)) : ""};
    }
    change(kind, name, object.at("Spec").as_object());
    return {isPost ? 201 : 200, json::serialize(toJson(name, objects[name]))};
}

void Runs::add(const std::string &requestId, const std::string &runner)
{
    const std::lock_guard lock(mutex_);
    runs_[requestId].push_back(runner);
    record("run of " + requestId + " begins at " + runner + ", run " + std::to_string(runs_[requestId].size()));
}

std::size_t Runs::count(const std::string &requestId)
{
    const std::lock_guard lock(mutex_);
    return runs_[requestId].size();
}

std::size_t Runs::total()
{
    const std::lock_guard lock(mutex_);
    std::size_t sum = 0;
    for (const auto &[id, runners] : runs_) {
        sum += runners.size();
    }
    return sum;
}

std::vector<std::string> Runs::ranMoreThanOnce()
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> ids;
    for (const auto &[id, runners] : runs_) {
        if (runners.size() > 1) {
            ids.push_back(id);
        }
    }
    return ids;
}

namespace {

constexpr std::int64_t BeatMs = 1200;
constexpr std::int64_t LoadMs = 200;

} // namespace

Runner::Runner(Store &store, Runs &runs, Options options)
    : store_(store)
    , runs_(runs)
    , options_(std::move(options))
    , born_(unixMs())
    , listener_(std::make_unique<Listener>(options_.host, [this](const std::shared_ptr<Channel> &channel) { serve(channel); }))
{
    publish();
    beats_thread_ = std::thread([this]() { beat(); });
}

Runner::~Runner()
{
    {
        const std::lock_guard lock(mutex_);
        ended_ = true;
    }
    beats_thread_.join();
}

bool Runner::isDark(std::uint64_t life)
{
    const std::lock_guard lock(mutex_);
    return dark_ || life != life_;
}

void Runner::goDark()
{
    const std::lock_guard lock(mutex_);
    dark_ = true;
    record(options_.id + " goes dark");
}

bool Runner::crash(std::uint64_t life)
{
    {
        const std::lock_guard lock(mutex_);
        if (down_ || dark_ || life != life_) {
            return false;
        }
        down_ = true;
        ++life_;
        for (const auto &channel : hung_) {
            channel->shut();
        }
        hung_.clear();
        record(options_.id + " crashes");
    }
    listener_->stop();
    return true;
}

void Runner::startAgain()
{
    {
        const std::lock_guard lock(mutex_);
        if (down_) {
            listener_->resume();
        }
        ++life_;
        dark_ = down_ = false;
        born_ = unixMs();
        beats_ = orders_ = fence_ = 0;
        from_ = to_ = loadFrom_ = loadTo_ = 0;
        loadedAt_ = 0;
    }
    record(options_.id + " starts again, born " + std::to_string(born_));
    publish();
}

bool Runner::isReady()
{
    const std::lock_guard lock(mutex_);
    return !dark_ && !down_ && (!options_.isEngine || to_ > from_);
}

void Runner::publish()
{
    json::object spec;
    {
        const std::lock_guard lock(mutex_);
        if (dark_ || down_) {
            return;
        }
        spec = {{"Service", options_.service},
                {"Address", address()},
                {"Zone", "zone-a"},
                {"Version", "v1"},
                {"Slots", 64},
                {"State", "ready"},
                {"ColdLeftMs", 0},
                {"SeqNo", ++beats_},
                {"born", born_}};
        if (options_.isEngine) {
            spec["Kind"] = "gpu";
            spec["Layers"] = json::object{{"From", from_}, {"To", to_}, {"Version", 1}};
        }
        lastBeat_ = sinceStart();
        isListed_ = true;
    }
    store_.put("servers", options_.id, spec);
}

void Runner::beat()
{
    while (true) {
        sleepMs(50);
        bool beats = false;
        bool lapses = false;
        {
            const std::lock_guard lock(mutex_);
            if (ended_) {
                return;
            }
            if (loadedAt_ != 0 && sinceStart() >= loadedAt_) {
                from_ = loadFrom_;
                to_ = loadTo_;
                loadedAt_ = 0;
                beats = true;
                record(options_.id + " holds layers " + std::to_string(from_) + "-" + std::to_string(to_));
            }
            beats = !dark_ && !down_ && (beats || sinceStart() >= lastBeat_ + BeatMs);
            lapses = (dark_ || down_) && isListed_ && sinceStart() >= lastBeat_ + 3 * BeatMs;
            isListed_ = isListed_ && !lapses;
        }
        if (beats) {
            publish();
        }
        if (lapses) {
            record("the entry of " + options_.id + " lapses");
            store_.put("servers", options_.id, std::nullopt);
        }
    }
}

void Runner::serve(const std::shared_ptr<Channel> &channel)
{
    std::uint64_t life = 0;
    {
        const std::lock_guard lock(mutex_);
        if (down_) {
            channel->shut();
            return;
        }
        hung_.push_back(channel);
        life = life_;
    }
    while (const auto request = channel->request()) {
        if (isDark(life)) {
            break;
        }
        serveOne(*channel, *request, life);
        if (isDark(life)) {
            break;
        }
        if (request->header("connection") == "close") {
            break;
        }
    }
    const std::lock_guard lock(mutex_);
    // What hangs stays open to the end.
    if (!dark_ && life == life_) {
        channel->shut();
        std::erase(hung_, channel);
    }
}

void Runner::serveOne(Channel &channel, const Message &request, std::uint64_t life)
{
    const std::string requestId = request.header("x-request-id");
    const std::string echo = requestId.empty() ? "" : "X-Request-Id: " + requestId + "\r\n";
    const std::string expected = request.header("x-expect-instance");
    if (!expected.empty() && expected != options_.id) {
        channel.write(responseText(421, "", "X-Instance-Id: " + options_.id + "\r\n" + echo));
        return;
    }
    if (request.target() == "/health") {
        channel.write(responseText(200, "", "X-Instance-Id: " + options_.id + "\r\n"));
        return;
    }
    if (request.target() == "/report") {
        json::object report;
        {
            const std::lock_guard lock(mutex_);
            report = {{"Stage", "prefill_decode"},
                      {"Busy", loadedAt_ != 0},
                      {"SeqNo", orders_},
                      {"Queued", 0},
                      {"Active", openStreams_.load()},
                      {"KvUsed", 0},
                      {"KvTotal", 1000000},
                      {"Handles", 0},
                      {"pace", 1.0},
                      {"Kind", "gpu"},
                      {"born", born_},
                      {"Layers", json::object{{"From", from_}, {"To", to_}, {"Version", 1}}},
                      {"Stalled", json::array{}}};
        }
        channel.write(responseText(200, json::serialize(report), "Content-Type: application/json\r\n"));
        return;
    }
    if (request.target() == "/order") {
        const json::object order = json::parse(request.body).as_object();
        int status = 404;
        if (order.at("Op").as_string() == "place") {
            const std::lock_guard lock(mutex_);
            const auto from = order.at("From").to_number<std::uint32_t>();
            const auto to = order.at("To").to_number<std::uint32_t>();
            const std::uint64_t fence = order.contains("Fence") ? order.at("Fence").to_number<std::uint64_t>() : 0;
            if (fence < fence_) {
                status = 412;
            } else if (loadedAt_ != 0 || (order.contains("Precondition") && order.at("Precondition").to_number<std::uint64_t>() != orders_)) {
                status = 409;
            } else if (from == from_ && to == to_) {
                status = 200;
            } else {
                fence_ = fence;
                ++orders_;
                loadFrom_ = from;
                loadTo_ = to;
                from_ = to_ = 0;
                loadedAt_ = sinceStart() + LoadMs;
                status = 202;
            }
        }
        record(options_.id + " answers an order with " + std::to_string(status) + ": " + request.body);
        channel.write(responseText(status, ""));
        return;
    }
    if (requestId.empty()) {
        channel.write(responseText(400, "", "X-Not-Executed: 1\r\n"));
        return;
    }
    if (answerInstead && answerInstead(channel, request)) {
        return;
    }
    if (options_.isEngine) {
        stream(channel, request, life);
        return;
    }
    runs_.add(requestId, options_.id);
    sleepMs(options_.workMs);
    if (!isDark(life)) {
        const std::string body = "answer to " + requestId;
        channel.write(responseText(200, body, echo + "X-Response-Seal: seal-" + requestId + "\r\n"));
    }
}

void Runner::stream(Channel &channel, const Message &request, std::uint64_t life)
{
    const std::string requestId = request.header("x-request-id");
    const std::string echo = "X-Request-Id: " + requestId + "\r\n";
    const std::string path = request.header("x-hop-count");
    {
        const std::lock_guard lock(mutex_);
        // The stand-in's engines hold the whole model each, so that a path has one part.
        const bool isWhole = from_ == 0 && to_ >= 80 && path.find(',') == std::string::npos;
        if (!isWhole) {
            channel.write(responseText(421, "", echo + "X-Not-Executed: 1\r\nAt-Server: " + address() + "\r\n"));
            return;
        }
    }
    ++openStreams_;
    const int last = std::atoi(request.header("last-event-id").c_str());
    sleepMs(options_.eventMs);
    if (isDark(life)) {
        --openStreams_;
        return;
    }
    if (crashesIt && crashesIt(request)) {
        --openStreams_;
        if (crash(life)) {
            runs_.add(requestId, options_.id);
            std::thread([this]() {
                sleepMs(backMs);
                startAgain();
            }).detach();
        }
        return;
    }
    runs_.add(requestId, options_.id + (last > 0 ? " after event " + std::to_string(last) : ""));
    const std::uint64_t answer = ++answers_;
    bool goesOn = !isDark(life)
        && channel.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + echo + "X-Response-Seal: seal-" + requestId
                         + "\r\n\r\n");
    for (int event = last + 1; goesOn && event <= options_.events; ++event) {
        std::string text = "id: " + std::to_string(event) + "\ndata: " + requestId + " piece " + std::to_string(event) + "\n\n";
        text = spoil ? spoil(answer, requestId, event, text) : text;
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        goesOn = !isDark(life) && channel.write(size + text + "\r\n");
        sleepMs(options_.eventMs);
    }
    if (goesOn && !isDark(life)) {
        channel.write("0\r\n\r\n");
    }
    --openStreams_;
}

Daemon::Daemon(Options options)
    : options_(std::move(options))
    , front_(freePort(options_.host))
    , ready_(freePort(options_.host))
    , mesh_(freePort(options_.host, 4))
    , settingsPath_(options_.folder + "/" + options_.name + ".yaml")
{
    std::ofstream(settingsPath_) << "Node: \"" << options_.name << "\"\nRole: \"router\"\nMachineClass: \"front\"\nServes:\n  - \"front\"\nIp: \""
                                 << options_.host << "\"\nZone: \"" << options_.zone << "\"\nRegion: \"r\"\nListen:\n  Front: \"" << options_.host << ":"
                                 << front_ << "\"\n  Ready: \"" << options_.host << ":" << ready_ << "\"\nInternalPorts:\n  - " << mesh_ << "\n  - "
                                 << mesh_ + 3 << "\nBootstrap: true\nLimits:\n  CpuShare: 0.25\n  Cores: 1\n  MemoryMb: " << options_.memoryMb
                                 << "\n  MaxFds: 4100\n  LinkMbps: 1000.0\n  DiskMb: 0\nHeartbeatMs: 1200\nBounds:\n  SeedLagS: 3\n  AddrReuseS: 2\n"
                                 << "  StableWindowMs: 3000\n  AckMs: 4000\n  CatchUpS: 4\n  DrainMs: 2000\n  GraceS: 8\n  LossSlackMs: 200\n"
                                 << "  ConfigApplyMs: 2000\n  RollbackSlackMs: 250\n  OuterMs: 5000\n  StrictRevocation: true\n  RevokeMs: 5000\n"
                                 << "  RetryBudgetRatio: 0.2\n  BudgetWindowS: 10\n  RetryBudgetExtra: 200\n  RecoverS: 12\n  PassMs: 120\n  RetryAfterS: 0\n"
                                 << "  stall_ms: 3000\n  RequireFencing: true\nProvider:\n  Address: \"" << options_.store
                                 << "\"\n  form: \"objects\"\n  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n  ValueBytes: 1048576\n  TtlMinMs: 1000\n";
}

Daemon::~Daemon()
{
    kill();
}

void Daemon::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
}

void Daemon::start()
{
    const int log = ::open((options_.folder + "/" + options_.name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("TREFOILPORT_NODE_FILE", settingsPath_.c_str(), 1);
        ::execl(options_.program.c_str(), options_.program.c_str(), nullptr);
        ::_exit(127);
    }
    ::close(log);
    record(options_.name + " started, process " + std::to_string(pid_));
}

void Daemon::signal(int number)
{
    record(options_.name + " gets signal " + std::to_string(number));
    ::kill(pid_, number);
}

std::string Daemon::ended()
{
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) {
        return "";
    }
    pid_ = 0;
    return WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status)) : "signal " + std::to_string(WTERMSIG(status));
}

bool Daemon::isReady()
{
    const auto channel = Channel::connect(options_.host, ready_);
    if (!channel || !channel->write("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const auto head = channel->head(Clock::now() + Ms(1000));
    return head && head->status() == 200;
}

Answer ask(const std::string &host, std::uint16_t port, const Request &request)
{
    Answer answer;
    answer.sentAt = sinceStart();
    const auto until = Clock::now() + Ms(request.deadlineMs);
    const auto end = [&](int status) {
        answer.status = answer.status == 0 ? status : answer.status;
        answer.endedAt = sinceStart();
        record("client: " + request.id + " sent at " + std::to_string(answer.sentAt) + ", status " + std::to_string(answer.status) + ", "
               + std::to_string(answer.events.size()) + " events, " + (answer.isWhole ? "whole" : "not whole") + ", after "
               + std::to_string(answer.endedAt - answer.sentAt) + " ms");
        return answer;
    };
    const auto channel = Channel::connect(host, port);
    if (!channel) {
        return end(0);
    }
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: " + request.id
        + "\r\nX-Deadline-Ms: " + std::to_string(request.deadlineMs) + "\r\n";
    for (const std::string &header : request.headers) {
        text += header + "\r\n";
    }
    if (request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    } else {
        text += "\r\n";
    }
    channel->write(text);
    const auto head = channel->head(std::min(until, Clock::now() + Ms(request.patienceMs)));
    if (!head) {
        return end(Clock::now() >= until ? -1 : 0);
    }
    answer.status = head->status();
    answer.headers = head->headers;
    const bool isStream = head->header("content-type").starts_with("text/event-stream");
    if (head->headers.contains("content-length")) {
        const auto body = channel->bytes(static_cast<std::size_t>(std::atoll(head->header("content-length").c_str())), until);
        answer.isWhole = body.has_value();
        answer.body = body.value_or("");
        return end(0);
    }
    std::int64_t lastAt = sinceStart();
    while (true) {
        const auto size = channel->line(std::min(until, Clock::now() + Ms(request.patienceMs)));
        if (!size) {
            return end(0);
        }
        const auto count = static_cast<std::size_t>(std::strtoull(size->c_str(), nullptr, 16));
        const auto chunk = channel->bytes(count + 2, until);
        if (!chunk) {
            return end(0);
        }
        if (count == 0) {
            answer.isWhole = true;
            return end(0);
        }
        answer.body += chunk->substr(0, count);
        answer.longestPause = std::max(answer.longestPause, sinceStart() - lastAt);
        lastAt = sinceStart();
        if (isStream) {
            std::istringstream lines(chunk->substr(0, count));
            for (std::string each; std::getline(lines, each);) {
                if (each.starts_with("id: ")) {
                    answer.events.push_back(std::strtoull(each.c_str() + 4, nullptr, 10));
                    if (request.onEvent) {
                        request.onEvent(answer.events.back());
                    }
                }
            }
        }
    }
}

void finish(int code, const std::vector<Daemon *> &daemons)
{
    for (Daemon *daemon : daemons) {
        daemon->kill();
    }
    record("exit " + std::to_string(code));
    // Threads may still use what destructors would free.
    std::_Exit(code);
}

int runScript(int argc, char **argv, const std::function<void(const std::string &, const std::string &)> &script)
{
    if (argc != 4) {
        std::cerr << "usage: " << argv[0] << " FOLDER TEMPORARY PROGRAM\n";
        return 2;
    }
    ::alarm(110);
    openRecord(argv[1]);
    record(hasTrouble() ? "with the disruption" : "without the disruption");
    try {
        script(argv[2], argv[3]);
    } catch (const std::exception &error) {
        record(std::string("the script failed: ") + error.what());
    }
    std::_Exit(2);
}

json::object route(const std::string &prefix, const std::string &kind, const std::string &service, std::int64_t timeoutMs, const json::object &more)
{
    json::object route{{"Name", "r" + prefix},
                       {"Host", "api.example"},
                       {"PathPrefix", prefix},
                       {"Kind", kind},
                       {"TimeoutMs", timeoutMs},
                       {"TargetLatencyMs", 500},
                       {"Priority", 1},
                       {"Service", service},
                       {"MaxAttempts", 1},
                       {"Public", true},
                       {"Sticky", false},
                       {"Resumable", false}};
    for (const auto &[name, value] : more) {
        route[name] = value;
    }
    return route;
}

json::object manifest(std::uint64_t version, json::array routes)
{
    const json::object engine{{"Slots", 64},
                              {"KvCapacityTokens", 1000000},
                              {"KvTokenBytes", 80000},
                              {"LinkMbps", 400000.0},
                              {"Stride", 1},
                              {"Models", json::array{json::object{{"Name", "m"}, {"pace", 1.0}, {"LoadS", 0.2}, {"WarmS", 0.1}}}},
                              {"step_ms", 1.0},
                              {"per_seq_ms", 0.007},
                              {"context_per_k", 0.0096},
                              {"read_per_s", 105000.0},
                              {"pairs_per_m", 0.3},
                              {"chunk", 512},
                              {"report_lag_ms", 200.0},
                              {"loads_at_once", 5},
                              {"usual", json::object{{"prompt", 200}, {"answer", 100}}},
                              {"Layers", 80},
                              {"LayerMb", 100},
                              {"ActivationBytes", 1000},
                              {"PipeMbps", 26000.0},
                              {"Kinds", json::array{json::object{{"Name", "gpu"}, {"Mb", 72000}, {"pace", 1.0}, {"ReadX", 1.0}}}}};
    return {{"Version", version},
            {"Routes", std::move(routes)},
            {"Services",
             json::array{json::object{{"Name", "model"}, {"HealthPath", "/health"}, {"MaxConns", 900}, {"Engine", engine}},
                         json::object{{"Name", "desk"}, {"HealthPath", "/health"}, {"MaxConns", 900}}}},
            {"Limits", json::object{{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 1048576}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}};
}

} // namespace stand
