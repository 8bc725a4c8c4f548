#include "Fleet.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand {

namespace {

constexpr double HeartbeatMs = 1200;
constexpr int Layers = 80;

std::int64_t wallMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

Record::Record(const std::string &path)
    : file_(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (file_ != nullptr) {
        std::fclose(file_);
    }
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
        std::fprintf(file_, "%9.3f %s\n", nowMs() / 1000, text.c_str());
        std::fflush(file_);
    }
}

Store::Store(const std::string &host)
    : host_(host)
    , server_(host, 0, [this](Channel &channel) { serve(channel); })
{
}

void Store::put(const std::string &kind, const std::string &name, const json::object &spec)
{
    const std::lock_guard lock(mutex_);
    change(kind, name, json::value(spec));
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    if (objects_[kind].contains(name)) {
        change(kind, name, std::nullopt);
    }
}

void Store::putOdd(const std::string &name, const std::string &objectText)
{
    const std::lock_guard lock(mutex_);
    Object &object = objects_["servers"][name];
    object = {json::object{}, ++revision_, objectText};
    changes_.push_back({revision_, "servers", name, object});
}

std::string Store::toText(const std::string &name, const Object &object)
{
    return object.oddText.empty() ? json::serialize(toJson(name, object)) : object.oddText;
}

std::string Store::page(const std::string &kind, const std::string &after)
{
    constexpr std::size_t MaxEntries = 500;
    constexpr std::size_t MaxBytes = 1024UL * 1024;
    const auto &objects = objects_[kind];
    std::string entries;
    std::size_t count = 0;
    auto object = objects.upper_bound(after);
    for (; object != objects.end(); ++object) {
        const std::string text = toText(object->first, object->second);
        if (count > 0 && (count == MaxEntries || entries.size() + text.size() > MaxBytes)) {
            break;
        }
        entries += (count++ > 0 ? "," : "") + text;
    }
    return R"({"Entries":[)" + entries + R"(],"HasMore":)" + (object == objects.end() ? "false" : "true") + R"(,"At":)" + std::to_string(revision_) + "}";
}

void Store::copy()
{
    const std::lock_guard lock(mutex_);
    copied_ = objects_;
    copiedRevision_ = revision_;
}

void Store::restore()
{
    const std::lock_guard lock(mutex_);
    objects_ = copied_;
    revision_ = copiedRevision_;
    historyStart_ = revision_;
    changes_.clear();
    ++era_;
}

Address Store::addView(const std::map<std::string, std::string> &shown)
{
    views_.push_back(std::make_unique<Server>(host_, 0, [this, shown](Channel &channel) {
        while (const auto request = readRequest(channel)) {
            Response response = answer(*request);
            for (const auto &[from, to] : shown) {
                const std::string quoted = "\"" + from + "\"";
                for (std::size_t at = 0; (at = response.body.find(quoted, at)) != std::string::npos;) {
                    response.body.replace(at, quoted.size(), "\"" + to + "\"");
                }
            }
            if (!channel.send(responseText(response))) {
                return;
            }
        }
    }));
    return views_.back()->address();
}

void Store::change(const std::string &kind, const std::string &name, std::optional<json::value> spec)
{
    if (!spec) {
        objects_[kind].erase(name);
        changes_.push_back({++revision_, kind, name, std::nullopt});
        return;
    }
    Object &object = objects_[kind][name];
    if (object.revision != 0 && object.spec == *spec) {
        return;
    }
    object = {std::move(*spec), ++revision_};
    changes_.push_back({revision_, kind, name, object});
}

json::object Store::toJson(const std::string &name, const Object &object)
{
    const json::object metadata{
        {"Name", name}, {"Revision", object.revision}, {"Created", object.revision}, {"Finalizers", json::array{}}, {"Deleting", false}};
    return {{"Metadata", metadata}, {"Spec", object.spec}, {"Status", nullptr}};
}

void Store::serve(Channel &channel)
{
    while (const auto request = readRequest(channel)) {
        if (!channel.send(responseText(answer(*request)))) {
            return;
        }
    }
}

Response Store::answer(const Request &request)
{
    const std::string prefix = "/objects/";
    const std::string path = request.path();
    Response response{404, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}}, "{}"};
    if (isAway_) {
        response.status = 503;
        return response;
    }
    if (path.rfind(prefix, 0) != 0) {
        return response;
    }
    const std::string rest = path.substr(prefix.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name = kind.size() < rest.size() ? rest.substr(kind.size() + 1) : "";
    if (request.method != "GET") {
        Response written = write(request, kind, name);
        response.status = written.status;
        response.body = written.body;
        return response;
    }
    if (const std::string since = request.query("Watch"); !since.empty()) {
        const std::uint64_t revision = std::strtoull(since.c_str(), nullptr, 10);
        const double until = nowMs() + std::atof(request.query("WaitMs").c_str());
        for (;;) {
            std::unique_lock lock(mutex_);
            if (isAway_) {
                response.status = 503; // A watch that is waiting may be cut off.
                return response;
            }
            if (revision < historyStart_ || revision > revision_) {
                response.status = 410;
                return response;
            }
            std::string events;
            for (const Change &change : changes_) {
                if (change.revision > revision && change.kind == kind) {
                    const std::string text = toText(change.name, change.object.value_or(Object{json::object{}, change.revision}));
                    events += std::string(events.empty() ? "" : ",") + R"({"Deleted":)" + (change.object ? "false" : "true") + R"(,"Object":)" + text + "}";
                }
            }
            if (!events.empty() || nowMs() >= until) {
                response.status = 200;
                response.body = R"({"events":[)" + events + R"(],"At":)" + std::to_string(revision_) + "}";
                return response;
            }
            lock.unlock();
            sleepMs(5);
        }
    }
    const std::lock_guard lock(mutex_);
    const auto &objects = objects_[kind];
    if (!name.empty()) {
        if (const auto found = objects.find(name); found != objects.end()) {
            response.status = 200;
            response.body = json::serialize(toJson(name, found->second));
        }
        return response;
    }
    response.status = 200;
    response.body = page(kind, request.query("After"));
    return response;
}

Response Store::write(const Request &request, const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    if (request.method == "DELETE") {
        const bool exists = objects_[kind].contains(name);
        if (exists) {
            change(kind, name, std::nullopt);
        }
        return {exists ? 200 : 404, {}, "{}"};
    }
    boost::system::error_code error;
    const json::value document = json::parse(request.body, error);
    const json::object *object = error ? nullptr : document.if_object();
    const json::object *metadata = object != nullptr && object->contains("Metadata") ? object->at("Metadata").if_object() : nullptr;
    if (metadata == nullptr) {
        return {400, {}, "{}"};
    }
    const json::value *stated = metadata->if_contains("Name");
    const std::string target = request.method == "POST" && stated != nullptr ? std::string(stated->as_string()) : name;
    const auto found = objects_[kind].find(target);
    const bool exists = found != objects_[kind].end();
    const json::value *expected = metadata->if_contains("Revision");
    const bool isOther = exists && expected != nullptr && expected->to_number<std::uint64_t>() != found->second.revision;
    if (request.method == "POST" ? exists : isOther) {
        return {409, {}, json::serialize(toJson(target, found->second))};
    }
    if (request.method != "POST" && !exists) {
        return {404, {}, "{}"};
    }
    change(kind, target, object->contains("Spec") ? object->at("Spec") : json::value(json::object{}));
    return {request.method == "POST" ? 201 : 200, {}, json::serialize(toJson(target, objects_[kind][target]))};
}

Runner::Runner(Store &store, const std::string &host, const std::string &name, Kind kind, Run run)
    : store_(store)
    , name_(name)
    , kind_(std::move(kind))
    , run_(std::move(run))
    , id_("i-" + name + "-1")
    , born_(wallMs())
    , lives_(1)
    , server_(std::make_unique<Server>(host, 0, [this](Channel &channel) { serve(channel); }))
{
    store_.put("servers", id_, entry());
    beatThread_ = std::thread([this]() { beat(); });
}

Runner::~Runner()
{
    ends_ = true;
    beatThread_.join();
    server_->stop();
}

std::string Runner::id() const
{
    const std::lock_guard lock(mutex_);
    return id_;
}

json::object Runner::entry() const
{
    json::object spec{{"Service", kind_.service},
                      {"Address", server_->address().text()},
                      {"Zone", kind_.zone},
                      {"Version", "v1"},
                      {"Slots", kind_.slots},
                      {"State", isDraining_ ? "draining" : "ready"},
                      {"ColdLeftMs", 0},
                      {"SeqNo", beats_},
                      {"born", born_}};
    if (!kind_.accelerator.empty()) {
        spec["Kind"] = kind_.accelerator;
        spec["Stage"] = "prefill_decode";
        spec["Models"] = json::array{json::object{{"Name", "daka510000"}, {"Version", 1}, {"Adapters", json::array{}}}};
        const bool isLoaded = nowMs() >= loadedAt_;
        spec["Layers"] = json::object{{"From", isLoaded ? from_ : 0}, {"To", isLoaded ? to_ : 0}, {"Version", 1}};
    }
    return spec;
}

void Runner::beat()
{
    double nextAt = nowMs() + HeartbeatMs / 4;
    while (!ends_) {
        sleepMs(20);
        if (nowMs() < nextAt) {
            continue;
        }
        nextAt = nowMs() + HeartbeatMs / 4; // Layers are shown soon; SeqNo rises at each report.
        const std::lock_guard lock(mutex_);
        if (isUp_) {
            ++beats_;
            store_.put("servers", id_, entry());
        }
        std::erase_if(lapsing_, [&](const auto &lapse) {
            if (nowMs() < lapse.second) {
                return false;
            }
            store_.remove("servers", lapse.first);
            return true;
        });
    }
}

void Runner::drain()
{
    const std::lock_guard lock(mutex_);
    isDraining_ = true;
    store_.put("servers", id_, entry());
}

void Runner::crash()
{
    isUp_ = false;
    server_->stop();
    const std::lock_guard lock(mutex_);
    lapsing_.emplace_back(id_, nowMs() + 3 * HeartbeatMs);
}

void Runner::crashTogether(std::vector<std::unique_ptr<Runner>> &runners)
{
    std::atomic<int> waiting{static_cast<int>(runners.size())};
    std::vector<std::thread> threads;
    threads.reserve(runners.size());
    for (auto &runner : runners) {
        threads.emplace_back([&]() {
            --waiting;
            while (waiting > 0) { }
            runner->crash();
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

void Runner::restart(bool isSameId)
{
    {
        const std::lock_guard lock(mutex_);
        ++lives_;
        if (isSameId) {
            std::erase_if(lapsing_, [&](const auto &lapse) { return lapse.first == id_; });
        } else {
            id_ = "i-" + name_ + "-" + std::to_string(lives_);
        }
        born_ = wallMs();
        orders_ = 0;
        beats_ = 0;
        from_ = to_ = 0;
    }
    server_->start();
    const std::lock_guard lock(mutex_);
    isUp_ = true;
    store_.put("servers", id_, entry());
}

Headers Runner::fields(const Work &work) const
{
    Headers headers{{"X-Request-Id", work.id}, {"X-Response-Seal", name_ + "." + work.id}};
    if (!kind_.accelerator.empty()) {
        headers.emplace_back("X-Weight-Versions", "1");
    }
    return headers;
}

Response Runner::report() const
{
    const std::lock_guard lock(mutex_);
    json::object body = entry();
    body["Busy"] = nowMs() < loadedAt_;
    body["SeqNo"] = orders_;
    body["Queued"] = 0;
    body["Active"] = running_.load();
    body["KvUsed"] = 0;
    body["KvTotal"] = 8000000;
    body["Handles"] = 0;
    body["pace"] = 1.0;
    return {200, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

Response Runner::order(const Request &request)
{
    const std::lock_guard lock(mutex_);
    boost::system::error_code error;
    const json::value document = json::parse(request.body, error);
    const json::object *order = error ? nullptr : document.if_object();
    if (order == nullptr || !order->contains("Op")) {
        return {400, {}, "{}"};
    }
    if (order->at("Op").as_string() != "place") {
        return {404, {}, "{}"};
    }
    if (const json::value *expected = order->if_contains("Precondition"); expected != nullptr && expected->to_number<std::uint64_t>() != orders_) {
        return {409, {}, "{}"};
    }
    const int from = order->at("From").to_number<int>();
    const int to = order->at("To").to_number<int>();
    if (from == from_ && to == to_) {
        return {200, {}, "{}"};
    }
    from_ = from;
    to_ = to;
    ++orders_;
    loadedAt_ = nowMs() + 300;
    return {202, {}, "{}"};
}

void Runner::serve(Channel &channel)
{
    while (auto request = readRequest(channel)) {
        Work work{std::move(*request), "", channel};
        work.id = work.request.header("X-Request-Id");
        bool goesOn = true;
        handle(work, goesOn);
        if (!goesOn) {
            return;
        }
    }
}

void Runner::handle(Work &work, bool &goesOn)
{
    const std::string expected = work.request.header("X-Expect-Instance");
    const std::string path = work.request.path();
    Response response;
    if (!expected.empty() && expected != id()) {
        response = {421, {{"X-Instance-Id", id()}, {"X-Request-Id", work.id}}, ""};
    } else if (path == "/health") {
        response = {200, {{"X-Instance-Id", id()}}, ""};
    } else if (path == "/report") {
        response = report();
    } else if (path == "/order") {
        response = order(work.request);
    } else if (work.id.empty()) {
        response = {400, {{"X-Not-Executed", "1"}}, ""};
    } else {
        ++running_;
        goesOn = run_(*this, work);
        --running_;
        return;
    }
    goesOn = work.channel.send(responseText(response));
}

Front::Front(const std::string &folder, const std::string &host, int number, const std::string &zone, const Address &store)
    : folder_(folder)
    , host_(host)
    , name_("front-" + zone + "-" + std::to_string(number))
    , settings_(folder + "/" + name_ + ".yaml")
    , log_(folder + "/" + name_ + ".log")
{
    std::ofstream(settings_) << "Node: \"" << name_ << "\"\nRole: \"router\"\nMachineClass: \"front\"\nServes:\n  - \"front\"\nIp: \"" << host_
                             << "\"\nZone: \"" << zone
                             << "\"\nRegion: \"lagos\"\nZones:\n  ikeja: \"lagos\"\n  lekki: \"lagos\"\n  yaba: \"lagos\"\nListen:\n  Front: \"" << host_
                             << ":8227\"\n  Ready: \"" << host_ << ":8220\"\n  Control: \"" << host_
                             << ":8229\"\nInternalPorts:\n  - 7340\n  - 7355\nBootstrap: true\nLimits:\n  CpuShare: 0.25\n  Cores: 1\n  MemoryMb: 260\n"
                                "  MaxFds: 4100\n  LinkMbps: 1000.0\n  DiskMb: 0\nDataDir: null\nDiscovery: \"platform\"\nEntry: \"vip\"\nHeartbeatMs: 1200\n"
                                "Contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n"
                                "  - \"stream\"\n  - \"tenants\"\n  - \"platform\"\n  - \"layers\"\nBounds:\n  SeedLagS: 3\n  AddrReuseS: 2\n"
                                "  StableWindowMs: 3000\n  AckMs: 4000\n  CatchUpS: 4\n  DrainMs: 2000\n  GraceS: 8\n  LossSlackMs: 200\n"
                                "  ConfigApplyMs: 2000\n  RollbackSlackMs: 250\n  OuterMs: 5000\n  StrictRevocation: true\n  RevokeMs: 5000\n"
                                "  RetryBudgetRatio: 0.2\n  BudgetWindowS: 10\n  RetryBudgetExtra: 202\n  RecoverS: 12\n  PassMs: 120\n  RetryAfterS: 0\n"
                                "  stall_ms: 3000\n  RequireFencing: true\nProvider:\n  Address: \""
                             << store.text()
                             << "\"\n  form: \"objects\"\n  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n  ValueBytes: 1048576\n  TtlMinMs: 1000\n";
}

Front::~Front()
{
    stop();
}

void Front::start()
{
    const char *root = std::getenv("REVIEW_ROOT");
    const std::string folder = root != nullptr ? root : ".";
    const std::string program = "target/programs/trefoilportd/trefoilportd";
    const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const std::string setting = "TREFOILPORT_NODE_FILE=" + settings_;
    const std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin");
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with this process, however that ends.
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        if (::chdir(folder.c_str()) == 0) {
            char *const arguments[] = {const_cast<char *>(program.c_str()), nullptr};
            char *const environment[] = {const_cast<char *>(setting.c_str()), const_cast<char *>(path.c_str()), nullptr};
            ::execve(program.c_str(), arguments, environment);
        }
        ::_exit(127);
    }
    ::close(log);
}

void Front::signal(int number)
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

bool Front::isRunning()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = 0;
    }
    return pid_ > 0;
}

void Front::stop()
{
    if (isRunning()) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
}

bool Front::isReady() const
{
    const Outcome outcome = call({host_, 8220}, {"GET", "/ready", {{"Host", "ready"}}, ""}, 500);
    return outcome.end == End::Answered && outcome.response.status == 200;
}

std::string hostOf(int number)
{
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250) + "." + std::to_string(number);
}

bool waitReady(std::vector<std::unique_ptr<Front>> &fronts, double timeoutMs)
{
    const double until = nowMs() + timeoutMs;
    for (auto &front : fronts) {
        while (!front->isReady()) {
            if (nowMs() >= until || !front->isRunning()) {
                return false;
            }
            sleepMs(50);
        }
    }
    return true;
}

json::object manifest(int version, const std::vector<std::string> &keys)
{
    const auto route = [](const char *name, const char *prefix, const char *kind, const char *service, int timeout, int target, int attempts) {
        return json::object{{"Name", name},
                            {"Host", HostName},
                            {"PathPrefix", prefix},
                            {"Kind", kind},
                            {"TimeoutMs", timeout},
                            {"TargetLatencyMs", target},
                            {"Priority", 1},
                            {"Service", service},
                            {"MaxAttempts", attempts},
                            {"Public", false},
                            {"Sticky", false}};
    };
    json::object stream = route("r-stream", "/tutor/", "streaming", "tutor", 20000, 500, 2);
    stream["Sticky"] = true;
    stream["Resumable"] = true;
    stream["GapTargetMs"] = 200;
    const json::object engine{{"Slots", 192},
                              {"KvCapacityTokens", 100000},
                              {"KvTokenBytes", 918000},
                              {"LinkMbps", 400000.0},
                              {"Stride", 3},
                              {"Models", json::array{json::object{{"Name", "daka510000"}, {"pace", 1.0}, {"LoadS", 3.0}, {"WarmS", 1.0}}}},
                              {"step_ms", 1.02},
                              {"per_seq_ms", 0.00714},
                              {"context_per_k", 0.00956},
                              {"read_per_s", 105000.0},
                              {"pairs_per_m", 0.309},
                              {"chunk", 512},
                              {"report_lag_ms", 200.0},
                              {"LoadsPerS", 0.0},
                              {"loads_at_once", 5},
                              {"usual", json::object{{"prompt", 774}, {"answer", 200}}},
                              {"Layers", Layers},
                              {"LayerMb", 1750.0},
                              {"ActivationBytes", 45900},
                              {"PipeMbps", 26000.0},
                              {"Kinds", json::array{json::object{{"Name", "h200"}, {"Mb", 282000.0}, {"pace", 2.4}, {"ReadX", 3.2}}}}};
    json::array allKeys{Key};
    for (const std::string &key : keys) {
        allKeys.push_back(json::value(key));
    }
    return {{"Version", version},
            {"Routes",
             json::array{stream, route("r-book", "/desk/book/", "unsafe", "desk", 1200, 150, 1), route("r-read", "/desk/read/", "safe", "desk", 1200, 150, 2)}},
            {"Services",
             json::array{json::object{{"Name", "tutor"}, {"HealthPath", "/health"}, {"MaxConns", 1078}, {"Protocol", "h1"}, {"Tls", false}, {"Engine", engine}},
                         json::object{{"Name", "desk"}, {"HealthPath", "/health"}, {"MaxConns", 110}, {"Protocol", "h1"}, {"Tls", false}}}},
            {"Limits", json::object{{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
            {"Tenants", json::array{json::object{{"Name", "hule930"}, {"ApiKeys", allKeys}, {"Priority", 1}}}}};
}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock(mutex);
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

Request requestOf(const std::string &method, const std::string &target, double deadlineMs, const std::string &body)
{
    return {method,
            target,
            {{"Host", HostName}, {"X-Request-Id", newId()}, {"X-Deadline-Ms", std::to_string(static_cast<int>(deadlineMs))}, {"Api-Key", Key}},
            body};
}

Request streamRequest(const std::string &target, const std::string &prefix, int promptTokens, int answerTokens)
{
    Request request = requestOf("POST", target, 20000, "{\"ask\":\"" + newId() + "\"}");
    request.headers.emplace_back("X-Model", "daka510000");
    request.headers.emplace_back("X-Token-Count", std::to_string(promptTokens) + "," + std::to_string(answerTokens));
    request.headers.emplace_back("X-Prompt-Prefix", prefix);
    return request;
}

Runner::Run plainWork(Record &record, double workMs)
{
    return [&record, workMs](Runner &runner, Work &work) {
        record.line(runner.id() + " runs " + work.id + " " + work.request.method + " " + work.request.target);
        sleepMs(workMs);
        return work.channel.send(responseText({200, runner.fields(work), "answer to " + work.id}));
    };
}

Runner::Run streamWork(Record &record, double prefillMs, int events, double gapMs)
{
    return [&record, prefillMs, events, gapMs](Runner &runner, Work &work) {
        const int first = std::atoi(work.request.header("Last-Event-Id").c_str()) + 1;
        record.line(runner.id() + " runs " + work.id + " from event " + std::to_string(first));
        sleepMs(prefillMs);
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        for (const auto &[name, value] : runner.fields(work)) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        if (!work.channel.send(head + "\r\n")) {
            return false;
        }
        for (int event = first; event <= events; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + " of " + work.id + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!work.channel.send(size + text + "\r\n")) {
                return false;
            }
            sleepMs(gapMs);
        }
        return work.channel.send("0\r\n\r\n");
    };
}

} // namespace stand
