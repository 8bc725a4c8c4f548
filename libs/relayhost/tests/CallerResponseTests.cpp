#include "relayhost/CallerResponse.h"

#include <CppUTest/TestHarness.h>

namespace {

/// Records what a response sends, one letter for each part.
struct FakeServer {
    void respond(net::ExchangeId, const net::HttpResponse &)
    {
        sent += "answer ";
    }
    void beginStream(net::ExchangeId, int, const net::Headers &)
    {
        sent += "begin ";
    }
    void writeChunk(net::ExchangeId, const std::string &data)
    {
        sent += data + " ";
    }
    void endStream(net::ExchangeId)
    {
        sent += "end ";
    }
    void abort(net::ExchangeId)
    {
        sent += "cut ";
    }

    std::string sent;
};

} // namespace

TEST_GROUP(AStreamToACaller)
{
    static constexpr relay::AttemptId First = 1;
    static constexpr relay::AttemptId Second = 2;
    FakeServer server;
    relayhost::CallerResponse<FakeServer> response{server, 7};
};

TEST(AStreamToACaller, isWrittenByTheAttemptThatBeganIt)
{
    CHECK(response.begin(First, 200, {}));
    CHECK(response.write(First, "1"));
    CHECK(response.end(First));
    STRCMP_EQUAL("begin 1 end ", server.sent.c_str());
}

/// Guards against the text of an error in the middle of a stream.
TEST(AStreamToACaller, isCutInsteadOfAnsweredOnceItHasBegun)
{
    response.begin(First, 200, {});
    CHECK(!response.answer({503, {}, "error"}));
    STRCMP_EQUAL("begin cut ", server.sent.c_str());
}

/// Guards against events of two attempts in one stream.
TEST(AStreamToACaller, isCutWhenAnotherAttemptWritesToIt)
{
    response.begin(First, 200, {});
    CHECK(!response.write(Second, "1"));
    CHECK(!response.end(First));
    STRCMP_EQUAL("begin cut ", server.sent.c_str());
}

/// Guards against a stream that looks complete though the attempt that ended didn't write it.
TEST(AStreamToACaller, isCutWhenAnotherAttemptEndsIt)
{
    response.begin(First, 200, {});
    CHECK(!response.end(Second));
    STRCMP_EQUAL("begin cut ", server.sent.c_str());
}

TEST(AStreamToACaller, goesOnWithTheAttemptThatResumesIt)
{
    response.begin(First, 200, {});
    response.write(First, "1");
    response.handOver(Second);
    CHECK(response.write(Second, "2"));
    CHECK(!response.write(First, "2"));
    STRCMP_EQUAL("begin 1 2 cut ", server.sent.c_str());
}

TEST(AStreamToACaller, isSilentAfterItsEnd)
{
    CHECK(response.answer({200, {}, "whole"}));
    CHECK(!response.answer({200, {}, "again"}));
    CHECK(!response.cut());
    STRCMP_EQUAL("answer ", server.sent.c_str());
}
