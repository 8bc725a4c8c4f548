#include "timeline/RequestHistory.h"

#include <CppUTest/TestHarness.h>

namespace {

timeline::LogLine line(const char *time, const char *instance, const char *event, const char *request, const char *subject, const char *detail)
{
    return {std::string("2026-08-25 07:55:") + time, instance, event, request, subject, detail, 0};
}

bool mentions(const timeline::RequestHistory &history, const char *event)
{
    return timeline::toText(history).find(event) != std::string::npos;
}

} // namespace

TEST_GROUP(ARequestHistory){};

TEST(ARequestHistory, parsesALogLineThatFollowsACollectorsPrefix)
{
    const auto parsed = timeline::parseLogLine(
        R"(  15.38 front-1 { "timestamp": "2026-08-25 07:55:32,386", "level": "INFO", "message": "stream_broken", "context_map": )"
        R"({ "detail": "refused", "instance": "front-1", "request": "5da0", "subject": "overloaded", "left_out": "12", "zone": "z" } })");
    CHECK(parsed.has_value());
    STRCMP_EQUAL("2026-08-25 07:55:32,386", parsed->time.c_str());
    STRCMP_EQUAL("stream_broken", parsed->event.c_str());
    STRCMP_EQUAL("5da0", parsed->request.c_str());
    STRCMP_EQUAL("overloaded", parsed->subject.c_str());
    LONGS_EQUAL(12, parsed->droppedLines);
}

TEST(ARequestHistory, skipsTextThatIsNotALogLine)
{
    CHECK(!timeline::parseLogLine("").has_value());
    CHECK(!timeline::parseLogLine("built in 0.0 s").has_value());
    CHECK(!timeline::parseLogLine("{ \"timestamp\": \"2026\"").has_value());
    CHECK(!timeline::parseLogLine("{ \"message\": \"no fields\" }").has_value());
    CHECK(!timeline::parseLogLine("[1, 2]").has_value());
}

TEST(ARequestHistory, namesTheSilentStageThatBrokeAStream)
{
    const auto history = timeline::explainRequest(
        {
            line("32,363", "front-1", "stream_moved", "r1", "b", "a stage of its path is silent"),
            line("30,000", "front-1", "sent", "r1", "a", "attempt 1, configuration 7, path a=0-20 b=20-80, predicted 41 ms to the first token"),
            line("32,300", "front-2", "endpoint_silent", "", "b", "requests stall on it, says a"),
            line("32,301", "front-2", "endpoint_silent", "", "elsewhere", "no answer to a question for its state"),
            line("32,400", "front-1", "stream_broken", "r1", "overloaded", "no attempt is left"),
            line("31,000", "front-1", "sent", "r2", "a", "attempt 1, configuration 7, path a=0-80, predicted 41 ms to the first token"),
        },
        "r1");
    CHECK(history.outcome == timeline::RequestOutcome::StreamBroken);
    LONGS_EQUAL(4, history.lines.size());
    STRCMP_EQUAL("sent", history.lines.front().event.c_str());
    STRCMP_CONTAINS("broken off as overloaded: no attempt is left", history.cause.c_str());
    STRCMP_CONTAINS("endpoint_silent at 07:55:32,300 b (requests stall on it, says a)", history.cause.c_str());
    CHECK(!mentions(history, "elsewhere"));
}

TEST(ARequestHistory, showsStoreEventsOfTheInstanceThatRejectedIt)
{
    const auto history = timeline::explainRequest(
        {
            line("28,000", "front-1", "store_lost", "", "10.0.0.1:1", ""),
            line("28,500", "front-2", "store_lost", "", "10.0.0.1:1", ""),
            line("31,000", "front-1", "rejected", "r1", "configuration_unconfirmed", "the configuration is too old to check a key"),
            line("31,500", "front-1", "store_reached", "", "10.0.0.1:1", ""),
        },
        "r1");
    CHECK(history.outcome == timeline::RequestOutcome::Rejected);
    LONGS_EQUAL(2, history.lines.size());
    STRCMP_CONTAINS("as configuration_unconfirmed", history.cause.c_str());
    STRCMP_CONTAINS("store_lost at 07:55:28,000", history.cause.c_str());
}

TEST(ARequestHistory, showsEventsOfAllEndpointsWhenNoneCouldTakeIt)
{
    const auto history = timeline::explainRequest(
        {
            line("29,000", "front-2", "endpoint_silent", "", "a", "no answer to a question for its state"),
            line("30,000", "front-3", "order_place", "", "b", "layers 30-40, fence 1, orders so far 0"),
            line("31,000", "front-1", "rejected", "r1", "no_endpoint", "no path over all layers has room"),
        },
        "r1");
    LONGS_EQUAL(3, history.lines.size());
    STRCMP_CONTAINS("endpoint_silent at 07:55:29,000 a", history.cause.c_str());
}

TEST(ARequestHistory, omitsEventsLongBeforeItsFirstLine)
{
    const auto history = timeline::explainRequest(
        {
            line("10,000", "front-1", "endpoint_silent", "", "a", "no answer to a question for its state"),
            line("31,000", "front-1", "sent", "r1", "a", "attempt 1, configuration 7"),
            line("31,030", "front-1", "answered", "r1", "a", "status 200"),
        },
        "r1");
    CHECK(history.outcome == timeline::RequestOutcome::Answered);
    LONGS_EQUAL(2, history.lines.size());
    STRCMP_EQUAL("answered by a, status 200", history.cause.c_str());
}

TEST(ARequestHistory, reportsWhenItsEndOrAllOfItIsMissing)
{
    auto sent = line("31,000", "front-1", "sent", "r1", "a", "attempt 1, configuration 7");
    auto other = line("31,000", "front-1", "sent", "r2", "a", "attempt 1, configuration 7");
    other.droppedLines = 40;
    const auto withoutEnd = timeline::explainRequest({sent, other}, "r1");
    CHECK(withoutEnd.outcome == timeline::RequestOutcome::Missing);
    LONGS_EQUAL(40, withoutEnd.droppedLines);
    STRCMP_CONTAINS("40 lines about requests were left out", timeline::toText(withoutEnd).c_str());
    CHECK(timeline::explainRequest({sent}, "r9").outcome == timeline::RequestOutcome::Unknown);
    CHECK(timeline::explainRequest({}, "r1").lines.empty());
}

/// The crashes of a quarantined request may be minutes before it, on other instances and by other requests.
TEST(ARequestHistory, showsTheCrashesForWhichARequestWasRejected)
{
    const auto history = timeline::explainRequest(
        {
            line("02,000", "front-2", "crash_strike", "", "77", "crash 5, an endpoint crashed on this request"),
            line("02,100", "front-1", "crash_report_taken", "", "77", "crash 5, from front-2"),
            line("02,100", "front-1", "crash_report_taken", "", "78", "crash 5, from front-2"),
            line("31,000",
                 "front-1",
                 "rejected",
                 "r1",
                 "prompt_part_quarantined",
                 "requests with a part of this prompt have crashed endpoints; signature 77, 3 crashes"),
            line("32,000", "front-1", "crash_refutation_taken", "", "77", "crash 5, from front-2"),
        },
        "r1");
    LONGS_EQUAL(3, history.lines.size());
    STRCMP_CONTAINS("as prompt_part_quarantined: requests with a part of this prompt have crashed endpoints; signature 77, 3 crashes", history.cause.c_str());
    STRCMP_CONTAINS("crash_strike at 07:55:02,000 77", history.cause.c_str());
    CHECK(!mentions(history, "78"));
}

// An event shortly before midnight must count for a request shortly after it, and one of the same time of an earlier day must not.
TEST(ARequestHistory, looksBackOverMidnightButNotOverADay)
{
    const auto at = [](const char *time, const char *event, const char *request, const char *subject) {
        return timeline::LogLine{time, "front-1", event, request, subject, "", 0};
    };
    const auto history = timeline::explainRequest(
        {
            at("2026-08-31 00:00:00,500", "store_lost", "", "a day before"),
            at("2026-08-31 23:59:58,000", "store_lost", "", "seconds before"),
            at("2026-09-01 00:00:01,000", "rejected", "r1", "configuration_unconfirmed"),
        },
        "r1");
    LONGS_EQUAL(2, history.lines.size());
    STRCMP_EQUAL("seconds before", history.lines.front().subject.c_str());
}
