#include "PlatformDuty.h"
#include "net/HttpServer.h"
#include "wire/Codec.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <optional>
#include <thread>

namespace {

/// A store whose head object has a content that the test chooses, and an empty list of instances. It answers every watch at once.
class FakeStore
{
public:
    explicit FakeStore(std::string headText)
        : headText_(std::move(headText))
    {
        net::HttpServer::Handlers handlers;
        handlers.onRequest = [this](net::ExchangeId id, const net::HttpRequest &request) {
            const bool isWatch = request.target.starts_with("/watch/");
            ++(isWatch ? watches : lists);
            server_->respond(id, {200, {{"X-Version", "7"}}, isWatch ? headText_ : "[]"});
        };
        handlers.onAbort = [](net::ExchangeId) {
        };
        handlers.refusal = [](net::RefusalKind) {
            return net::HttpResponse{400, {}, ""};
        };
        server_.emplace(loop_, net::Address{"127.0.0.1", 0}, net::ServerLimits{}, handlers);
        address = net::toString(server_->address());
        thread_ = std::thread([this]() { loop_.run(); });
    }

    ~FakeStore()
    {
        loop_.stop();
        thread_.join();
    }

    std::string address;
    std::atomic<int> watches{0};
    std::atomic<int> lists{0};

private:
    std::string headText_;
    net::EventLoop loop_;
    std::optional<net::HttpServer> server_;
    std::thread thread_;
};

} // namespace

TEST_GROUP(AHeadThatCannotBeDecoded)
{
    static constexpr std::int64_t ListPollMs = 50;
    static constexpr int ListPolls = 20;
};

/// Guards against a watch that is restarted without a pause, since the version that it knows never becomes the stored one.
TEST(AHeadThatCannotBeDecoded, isWatchedNoMoreOftenThanTheListIsPolled)
{
    FakeStore store("no head \xff\xff");
    settings::DaemonSettings settings;
    settings.platform = store.address;
    settings.listPollMs = ListPollMs;
    DaemonRings rings(4096);
    PlatformDuty duty(settings, rings);
    std::thread thread([&]() { duty.run(); });
    while (store.lists < ListPolls) {
        std::this_thread::yield();
    }
    duty.stop();
    thread.join();
    CHECK(store.watches > 0);
    CHECK(store.watches <= ListPolls);
}
