#include "EndpointsDuty.h"
#include "net/HttpServer.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <thread>

using namespace trefoilport;

namespace {

/// What the fake endpoint sends, and how it ends.
struct Script {
    int status = 200;
    net::Headers headers;
    std::string body;
    enum class End {
        Whole,
        Cut,
        Silent,
    } end = End::Whole;
};

/// A fake endpoint that plays one script to every request.
class FakeEndpoint
{
public:
    explicit FakeEndpoint(Script script)
        : script_(std::move(script))
    {
        net::HttpServer::Handlers handlers;
        handlers.onRequest = [this](net::ExchangeId id, const net::HttpRequest &) {
            play(id);
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

    ~FakeEndpoint()
    {
        loop_.stop();
        thread_.join();
    }

    std::string address;

private:
    void play(net::ExchangeId id)
    {
        if (script_.end == Script::End::Silent) {
            return;
        }
        server_->beginStream(id, script_.status, script_.headers);
        server_->writeChunk(id, script_.body);
        if (script_.end == Script::End::Whole) {
            server_->endStream(id);
            return;
        }
        // What was written so far gets its time to arrive before the connection breaks.
        loop_.after(std::chrono::milliseconds(20), [this, id]() { server_->abort(id); });
    }

    Script script_;
    net::EventLoop loop_;
    std::optional<net::HttpServer> server_;
    std::thread thread_;
};

/// The endpoints' duty with its rings, driven as the kernel does.
class Duty
{
public:
    Duty()
        : rings_(64)
        , duty_(rings_)
        , thread_([this]() { duty_.run(); })
    {
    }

    ~Duty()
    {
        duty_.stop();
        thread_.join();
    }

    /// Sends one action and returns the events up to the attempt's end.
    std::vector<Event> run(Action action)
    {
        rings_.toEndpoints.push(std::move(action));
        rings_.toEndpoints.commit();
        std::vector<Event> events;
        Event event;
        while (events.empty() || std::holds_alternative<TokenArrived>(events.back())) {
            if (rings_.fromEndpoints.pop(event)) {
                events.push_back(event);
            } else {
                rings_.kernelWakeup.waitFor(std::chrono::milliseconds(10));
            }
        }
        return events;
    }

private:
    DaemonRings rings_;
    EndpointsDuty duty_;
    std::thread thread_;
};

const base::Instant Soon = std::chrono::hours(1000000);

StartPipeline pipelineTo(const std::string &address, base::Instant sendDeadline = Soon)
{
    StartPipeline start;
    start.attempt = 7;
    start.order.model = "tutor";
    start.order.plan = {{"front", address, 3, 0, 12}};
    start.order.maxTokens = 1;
    start.sendDeadline = sendDeadline;
    return start;
}

StartService serviceTo(const std::string &address)
{
    return {7, "booking-1", address, {"POST", "/booking", "", "key", "seat"}, 300, true, Soon};
}

void checkFailure(const char *name, const std::vector<Event> &events, AttemptFailure expected, const std::string &endpoint = {})
{
    const auto *failed = std::get_if<AttemptFailed>(&events.back());
    CHECK_TEXT(failed != nullptr, name);
    CHECK_TEXT(failed->failure == expected, name);
    CHECK_TEXT(failed->endpoint == endpoint, name);
}

const std::string Token = "{\"p\":0,\"t\":\" snow\",\"s\":[[\"front\",3,0,12]]}\n";

struct EngineCase {
    const char *name;
    Script script;
    AttemptFailure failure;
    const char *endpoint;
};

} // namespace

TEST_GROUP(AnEnginesContract)
{
    Duty duty;
};

TEST(AnEnginesContract, bringsTokensWithTheirStagesAndTheEnd)
{
    const FakeEndpoint engine({200, {}, Token + "{\"end\":1}\n", Script::End::Whole});
    const std::vector<Event> events = duty.run(pipelineTo(engine.address));
    LONGS_EQUAL(2, events.size());
    const auto &token = std::get<TokenArrived>(events[0]);
    STRCMP_EQUAL(" snow", token.text.c_str());
    LONGS_EQUAL(3, token.stages.at(0).incarnation);
    LONGS_EQUAL(1, std::get<AttemptEnded>(events[1]).tokens);
}

TEST(AnEnginesContract, isKeptInEveryFaultCase)
{
    const EngineCase table[] = {
        {"refuses", {503, {{"X-Not-Run", "yes"}}, "", Script::End::Whole}, AttemptFailure::Refused, ""},
        {"is leaving", {503, {{"X-Not-Run", "yes"}, {"X-Leaving", "yes"}}, "", Script::End::Whole}, AttemptFailure::RefusedLeaving, ""},
        {"fails without saying that it did not run", {500, {}, "", Script::End::Whole}, AttemptFailure::Inconsistent, ""},
        {"a later stage broke", {200, {}, Token + "{\"failed\":\"back\",\"how\":\"broken\"}\n", Script::End::Whole}, AttemptFailure::StageBroken, "back"},
        {"a later stage refused", {200, {}, "{\"failed\":\"back\",\"how\":\"refused\"}\n", Script::End::Whole}, AttemptFailure::StageRefused, "back"},
        {"breaks in the middle", {200, {}, Token, Script::End::Cut}, AttemptFailure::Broken, ""},
        {"ends without its end marker", {200, {}, Token, Script::End::Whole}, AttemptFailure::Inconsistent, ""},
        {"sends no JSON", {200, {}, "snow\n", Script::End::Whole}, AttemptFailure::Inconsistent, ""},
        {"sends a number for a text", {200, {}, "{\"p\":0,\"t\":5,\"s\":[]}\n", Script::End::Whole}, AttemptFailure::Inconsistent, ""},
        {"sends a negative position", {200, {}, "{\"p\":-1,\"t\":\"x\",\"s\":[]}\n", Script::End::Whole}, AttemptFailure::Inconsistent, ""},
        {"sends a line without end", {200, {}, std::string(300 * 1024, 'x'), Script::End::Whole}, AttemptFailure::Inconsistent, ""},
    };
    for (const EngineCase &row : table) {
        const FakeEndpoint engine(row.script);
        checkFailure(row.name, duty.run(pipelineTo(engine.address)), row.failure, row.endpoint);
    }
}

TEST(AnEnginesContract, isNotBegunAfterTheOrdersTimeOrWhenNobodyListens)
{
    const FakeEndpoint engine({200, {}, Token, Script::End::Whole});
    checkFailure("late", duty.run(pipelineTo(engine.address, base::Instant{0})), AttemptFailure::NotSent);
    checkFailure("nobody", duty.run(pipelineTo("127.0.0.1:1")), AttemptFailure::NotSent);
}

TEST_GROUP(AServicesContract)
{
    Duty duty;
};

TEST(AServicesContract, passesEveryAnswerOnThatDoesNotSayNotRun)
{
    for (const int status : {200, 404, 500, 503}) {
        const FakeEndpoint service({status, {{"Content-Type", "text/plain"}, {"ETag", "v1"}, {"Keep-Alive", "x"}}, "answer", Script::End::Whole});
        const std::vector<Event> events = duty.run(serviceTo(service.address));
        const auto *answered = std::get_if<ServiceAnswered>(&events.back());
        CHECK(answered != nullptr);
        LONGS_EQUAL(status, answered->answer.status);
        STRCMP_EQUAL("answer", answered->answer.body.c_str());
        STRCMP_EQUAL("v1", std::string(net::headerIn(answered->answer.headers, "etag")).c_str());
        CHECK(net::headerIn(answered->answer.headers, "Keep-Alive").empty());
    }
}

TEST(AServicesContract, isKeptInEveryFaultCase)
{
    const EngineCase table[] = {
        {"refuses", {503, {{"X-Not-Run", "yes"}}, "", Script::End::Whole}, AttemptFailure::Refused, ""},
        {"is leaving", {503, {{"X-Not-Run", "yes"}, {"X-Leaving", "yes"}}, "", Script::End::Whole}, AttemptFailure::RefusedLeaving, ""},
        {"breaks", {200, {}, "half", Script::End::Cut}, AttemptFailure::Broken, ""},
        {"is silent", {200, {}, "", Script::End::Silent}, AttemptFailure::TimedOut, ""},
    };
    for (const EngineCase &row : table) {
        const FakeEndpoint service(row.script);
        checkFailure(row.name, duty.run(serviceTo(service.address)), row.failure, row.endpoint);
    }
    checkFailure("nobody listens", duty.run(serviceTo("127.0.0.1:1")), AttemptFailure::NotSent);
}
