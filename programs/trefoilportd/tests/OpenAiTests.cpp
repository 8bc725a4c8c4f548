#include "OpenAi.h"
#include "base/Hash.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(TheCallersContract){};

TEST(TheCallersContract, readsCompletionsAndChats)
{
    const auto completion = openai::parseRequest(R"({"model":"m","prompt":"p","max_tokens":5,"stream":true,"service_tier":"batch"})", false);
    CHECK(base::isOk(completion));
    LONGS_EQUAL(5, base::valueOf(completion).maxTokens);
    CHECK(base::valueOf(completion).stream);
    CHECK(base::valueOf(completion).callClass == settings::CallClass::Batch);
    const auto chat = openai::parseRequest(R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]})", true);
    CHECK(base::isOk(chat));
    STRCMP_EQUAL("user: hi\n", base::valueOf(chat).prompt.c_str());
}

TEST(TheCallersContract, rejectsMalformedBodies)
{
    for (const char *bad : {"",
                            "[]",
                            "{}",
                            R"({"model":1,"prompt":"p"})",
                            R"({"model":"m","prompt":["p"]})",
                            R"({"model":"m","prompt":"p","max_tokens":-1})",
                            R"({"model":"m","prompt":"p","max_tokens":1.5})",
                            R"({"model":"m","prompt":"p","max_tokens":99999999999})"}) {
        const auto parsed = openai::parseRequest(bad, false);
        CHECK_TEXT(!base::isOk(parsed), bad);
        CHECK_TEXT(base::errorOf(parsed).kind == base::ErrorKind::BadRequest, bad);
    }
}

/// Replaces three random bytes of a valid body in each round; the results are not checked.
TEST(TheCallersContract, doesNotCrashOnRandomlyDamagedBodies)
{
    const std::string good = R"({"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5,"stream":true})";
    base::Random random(3);
    for (int round = 0; round < 20000; ++round) {
        std::string bad = good;
        for (int i = 0; i < 3; ++i) {
            bad[random.nextBelow(bad.size())] = static_cast<char>(random.next());
        }
        (void)openai::parseRequest(bad, round % 2 == 0);
    }
}

TEST(TheCallersContract, answersEveryKindOfErrorFromTheTable)
{
    for (const base::ErrorAnswer &row : base::errorAnswers()) {
        const net::HttpResponse response = openai::problemResponse({row.kind, "detail"});
        LONGS_EQUAL(row.status, response.status);
        CHECK(response.body.find("\"ran\":\"" + std::string(base::nameOf(row.ran)) + "\"") != std::string::npos);
        CHECK_EQUAL(row.retriable, !net::headerIn(response.headers, "Retry-After").empty());
    }
}

TEST(TheCallersContract, givesNoEndMarkerAfterAnErrorInTheStream)
{
    const std::string event = openai::errorEvent({base::ErrorKind::AnswerIncomplete, "detail"});
    CHECK(event.find("answer_incomplete") != std::string::npos);
    CHECK(event.find("[DONE]") == std::string::npos);
}
