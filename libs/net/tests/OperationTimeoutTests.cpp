#include "details/OperationTimeout.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

TEST_GROUP(ATimeoutOfAnOperation)
{
    boost::asio::io_context io;
    std::shared_ptr<net::OperationTimeout> timeout = std::make_shared<net::OperationTimeout>(io.get_executor());
    int actions = 0;

    /// Starts the timeout, lets it expire in the same turn of the event loop, and runs the task in the next turn, before the handler of the timer.
    void expireBefore(const std::function<void()> &task)
    {
        boost::asio::post(io, [this, task]() {
            timeout->start(1ms, timeout, [this]() { ++actions; });
            std::this_thread::sleep_for(5ms);
            boost::asio::post(io, task);
        });
        io.run();
    }
};

TEST(ATimeoutOfAnOperation, actsWhenItIsOver)
{
    expireBefore([]() {});
    LONGS_EQUAL(1, actions);
}

/// Guards against an expired timeout that acts on the operation after its own.
TEST(ATimeoutOfAnOperation, doesNotActOnceItIsStopped)
{
    expireBefore([this]() { timeout->stop(); });
    LONGS_EQUAL(0, actions);
}

TEST(ATimeoutOfAnOperation, actsOnceWhenItIsStartedAgain)
{
    expireBefore([this]() { timeout->start(1ms, timeout, [this]() { actions += 10; }); });
    LONGS_EQUAL(10, actions);
}
