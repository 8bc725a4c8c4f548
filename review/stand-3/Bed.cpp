#include "Bed.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <unistd.h>

namespace stand {

namespace {

constexpr int Tutors = 3;
constexpr int Desks = 3;
const char *const Zones[] = {"ikeja", "lekki", "yaba"};
constexpr double ReadyTimeoutMs = 20000;
constexpr double ServeTimeoutMs = 20000;

} // namespace

Bed::Bed(Record &theRecord, int frontCount)
    : record(theRecord)
    , store(hostOf(200))
{
    std::string name = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    folder = ::mkdtemp(name.data());
    for (int i = 0; i < Tutors; ++i) {
        tutors.push_back(std::make_unique<Runner>(
            store, hostOf(100 + i), "tutor" + std::to_string(i), Runner::Kind{"tutor", "h200", Zones[i % 3], 192}, streamWork(record, 20, 20, 30)));
    }
    for (int i = 0; i < Desks; ++i) {
        desks.push_back(
            std::make_unique<Runner>(store, hostOf(120 + i), "desk" + std::to_string(i), Runner::Kind{"desk", "", Zones[i % 3], 6}, plainWork(record, 30)));
    }
    store.put("config", "main", manifest(7));
    for (int i = 0; i < frontCount; ++i) {
        fronts.push_back(nullptr);
    }
}

Bed::~Bed()
{
    fronts.clear();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder, ignored);
    } else {
        std::printf("logs in %s\n", folder.c_str());
    }
}

bool Bed::start(bool hasStreams)
{
    for (std::size_t i = 0; i < fronts.size(); ++i) {
        const Address address = i < storeViews.size() ? storeViews[i] : store.address();
        fronts[i] = std::make_unique<Front>(folder, hostOf(1 + static_cast<int>(i)), static_cast<int>(i) + 1, Zones[i % 3], address);
        fronts[i]->start();
    }
    if (!waitReady(fronts, ReadyTimeoutMs)) {
        record.line("the instances don't become ready");
        return false;
    }
    const double until = nowMs() + ServeTimeoutMs;
    for (const auto &front : fronts) {
        bool isServed = false;
        while (!isServed && nowMs() < until) {
            const Outcome read = call(front->callers(), requestOf("GET", "/desk/read/start", 2500), 2500);
            isServed = read.response.status == 200;
            if (hasStreams) {
                const Outcome stream = call(front->callers(), streamRequest("/tutor/start", "aa:40,bb:60", 100, 60), 5000);
                isServed = isServed && stream.response.status == 200 && stream.isWhole;
            }
            if (!isServed) {
                sleepMs(200);
            }
        }
        if (!isServed) {
            record.line(front->name() + " serves nothing");
            return false;
        }
    }
    record.line("all instances serve");
    return true;
}

bool isTroubleOff()
{
    const char *const trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string(trouble) == "0";
}

Traffic::Traffic(Bed &bed, Make make, double perSecond, double timeoutMs)
    : bed_(bed)
    , make_(std::move(make))
    , timeoutMs_(timeoutMs)
{
    thread_ = std::thread([this, perSecond]() {
        const double startedAt = nowMs();
        for (int sent = 0; !stops_; ++sent) {
            sleepMs(startedAt + sent * 1000 / perSecond - nowMs());
            ++open_;
            std::thread([this, sent]() {
                send(make_(), sent);
                --open_;
            }).detach();
        }
    });
}

Traffic::~Traffic()
{
    stop();
}

void Traffic::stop()
{
    stops_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
    while (open_ > 0) {
        sleepMs(5);
    }
}

void Traffic::send(const Request &request, int front)
{
    const std::string id = request.header("X-Request-Id");
    Front &receiver = bed_.front(front);
    bed_.record.line("client sends " + id + " " + request.method + " " + request.target + " to " + receiver.name());
    Sent sent{id, front % static_cast<int>(bed_.fronts.size()), call(receiver.callers(), request, timeoutMs_)};
    char after[32];
    std::snprintf(after, sizeof after, "%.0f ms", sent.outcome.endedAt - sent.outcome.sentAt);
    bed_.record.line("client got for " + id + ": " + sent.outcome.text() + " after " + after
                     + (sent.outcome.response.status >= 400 ? " " + sent.outcome.response.body.substr(0, 160) : ""));
    const std::lock_guard lock(mutex_);
    results_.push_back(std::move(sent));
}

std::vector<Sent> Traffic::results()
{
    const std::lock_guard lock(mutex_);
    return results_;
}

} // namespace stand
