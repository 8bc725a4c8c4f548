#include "PlatformDuty.h"
#include "ServerThread.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>

TEST_GROUP(AHeadThatCannotBeDecoded)
{
    static constexpr std::int64_t ListPollMs = 50;
    static constexpr int ListPolls = 20;
};

/// Guards against a watch that is restarted without a pause, since the version that it knows never becomes the stored one.
TEST(AHeadThatCannotBeDecoded, isWatchedNoMoreOftenThanTheListIsPolled)
{
    std::atomic<int> watches{0};
    std::atomic<int> lists{0};
    // It answers every watch at once, and the list of instances with an empty one.
    ServerThread store([&](ServerThread &thread, net::ExchangeId id, const net::HttpRequest &request) {
        const bool isWatch = request.target.starts_with("/watch/");
        ++(isWatch ? watches : lists);
        thread.server().respond(id, {200, {{"X-Version", "7"}}, isWatch ? "no head \xff\xff" : "[]"});
    });
    settings::DaemonSettings settings;
    settings.platform = store.address();
    settings.listPollMs = ListPollMs;
    DaemonRings rings(4096);
    PlatformDuty duty(settings, rings);
    std::thread thread([&]() { duty.run(); });
    while (lists < ListPolls) {
        std::this_thread::yield();
    }
    duty.stop();
    thread.join();
    CHECK(watches > 0);
    CHECK(watches <= ListPolls);
}
