#include "timeline/EventLog.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(TheTimeLine){};

TEST(TheTimeLine, stampsAReceiptLaterThanItsSendingWhateverTheSkew)
{
    timeline::HybridClock sender;
    timeline::HybridClock receiver;
    const timeline::Stamp aheadOfReceiver = receiver.now() + (std::uint64_t{5'000'000} << 16U);
    sender.receive(aheadOfReceiver);
    const timeline::Stamp sent = sender.now();
    receiver.receive(sent);
    CHECK(sent > aheadOfReceiver);
    CHECK(receiver.now() > sent);
}

TEST(TheTimeLine, ignoresAStampFromABrokenClock)
{
    timeline::HybridClock clock;
    const timeline::Stamp farAhead = clock.now() + (std::uint64_t{3600'000'000} << 16U);
    clock.receive(farAhead);
    CHECK(clock.now() < farAhead);
}

TEST(TheTimeLine, keepsTheLatestEventsAndTheirFields)
{
    timeline::EventLog log(2);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        log.add({i, "a", "z", "call_arrived", i, "team", "\"quoted\""});
    }
    const auto back = timeline::fromJson(timeline::toJson(log.eventsSince(0)));
    CHECK(back.has_value());
    LONGS_EQUAL(2, back->size());
    LONGS_EQUAL(2, back->front().stamp);
    STRCMP_EQUAL("\"quoted\"", back->front().detail.c_str());
}

TEST(TheTimeLine, refusesMalformedText)
{
    CHECK(!timeline::fromJson("[{").has_value());
    CHECK(!timeline::fromJson("[{\"stamp\": \"x\"}]").has_value());
}
