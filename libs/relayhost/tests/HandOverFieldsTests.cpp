#include "relayhost/HandOverFields.h"

#include <CppUTest/TestHarness.h>

using namespace relayhost;

/// What instances add to a request that one hands over to the other, and to its answer.
TEST_GROUP(TheFieldsOfAHandOver)
{
    net::HttpRequest request{"GET", "/read/x", {{"Host", "api.example"}}, ""};
    relay::CallArrival arrival;
    net::HttpResponse response{503, {}, ""};
    relay::AnswerHead head;
};

/// Guards against a receiver that can't tell that it knows an older configuration, and against a caller that passes itself off as an instance.
TEST(TheFieldsOfAHandOver, carryTheRunsAndTheVersionOfTheSenderOnly)
{
    request.headers.emplace_back(std::string(handover::Runs), "9");
    request.headers.emplace_back(std::string(handover::ConfigVersion), "9");
    relay::HandOver order;
    order.runs = 2;
    order.configVersion = 7'000'000'000;
    markHandOver(request, order);
    takeHandOver(request, arrival);
    CHECK(arrival.isHandedOver);
    LONGS_EQUAL(2, arrival.priorRuns);
    CHECK(arrival.configVersion == 7'000'000'000);
    LONGS_EQUAL(1, request.headers.size());
}

TEST(TheFieldsOfAHandOver, carryTheErrorAndTheVersionOfTheReceiver)
{
    markRejection(response, {base::ErrorKind::UnknownRoute, "no route", relay::Ms(0), 12});
    readRejection(response.headers, head);
    CHECK(head.peerError == base::ErrorKind::UnknownRoute);
    LONGS_EQUAL(12, head.peerConfigVersion);
}

/// Guards against a request or an answer of an earlier version being misread, since it names no configuration.
TEST(TheFieldsOfAHandOver, nameNoVersionWhereAnEarlierBuildSendsThem)
{
    request.headers.emplace_back(std::string(handover::Runs), "1");
    takeHandOver(request, arrival);
    CHECK(arrival.isHandedOver);
    LONGS_EQUAL(0, arrival.configVersion);
    response.headers.emplace_back(std::string(handover::Error), "unknown_route");
    readRejection(response.headers, head);
    CHECK(head.peerError == base::ErrorKind::UnknownRoute);
    LONGS_EQUAL(0, head.peerConfigVersion);
}
