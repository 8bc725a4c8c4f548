#include "base/Hash.h"
#include "trefoilport/Kernel.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace trefoilport;

namespace {

const std::string KeySha256 = "hash-of-the-key";

/// A kernel of one instance with a configuration in force that has one team and one model.
class SingleKernel
{
public:
    SingleKernel()
        : kernel_(settings())
    {
        receive(HeadReceived{now_.mono, 1, head()});
    }

    static KernelSettings settings()
    {
        KernelSettings settings;
        settings.id = "one";
        return settings;
    }

    static ParsedHead head()
    {
        settings::RoutingConfig config;
        config.models["tutor"] = {};
        config.teams["red"].keySha256 = KeySha256;
        ParsedHead head;
        head.epoch = 1;
        head.accepted.document.revision = 1;
        head.accepted.parsed = std::make_shared<const settings::RoutingConfig>(config);
        head.members = {"one:1"};
        return head;
    }

    /// Passes an event to the kernel; returns the actions that follow.
    Actions receive(const Event &event)
    {
        Actions actions;
        kernel_.handle(event, now_, actions);
        return actions;
    }

    /// Returns whether a completion with this prompt is rejected as one that crashes endpoints.
    bool isQuarantined(const std::string &prompt)
    {
        CompletionArrived arrived;
        arrived.call = ++lastCall_;
        arrived.keySha256 = KeySha256;
        arrived.request.model = "tutor";
        arrived.request.prompt = prompt;
        arrived.request.maxTokens = 1;
        const Actions actions = receive(arrived);
        return std::any_of(actions.begin(), actions.end(), [](const Action &action) {
            const auto *failure = std::get_if<AnswerFailure>(&action);
            return failure != nullptr && failure->error.kind == base::ErrorKind::Quarantined;
        });
    }

    const Counters &counters() const
    {
        return kernel_.counters();
    }

    base::Now now() const
    {
        return now_;
    }

    void advance(std::chrono::milliseconds duration)
    {
        now_.mono += duration;
    }

private:
    base::Now now_{std::chrono::seconds(100), 1000000};
    Kernel kernel_;
    CallId lastCall_ = 0;
};

/// Returns the events of that kind among the actions.
std::vector<Record> recordsOf(const Actions &actions, TimelineKind kind)
{
    std::vector<Record> records;
    for (const Action &action : actions) {
        const auto *record = std::get_if<Record>(&action);
        if (record != nullptr && record->kind == kind) {
            records.push_back(*record);
        }
    }
    return records;
}

} // namespace

TEST_GROUP(ACrashNoticeOfAPeer)
{
    static constexpr std::uint32_t QuarantineMs = 60000;
    SingleKernel kernel;

    /// Passes what a peer says about the request with the prompt "x", in a message that it sent at that time.
    void receive(std::uint32_t crashCount, std::uint64_t incarnation, std::uint64_t sentAt)
    {
        const std::uint64_t fingerprint = base::hashOf(std::string("x"), base::hashOf(std::string("tutor"), base::hashOf(std::string("red"))));
        wire::Gossip gossip;
        gossip.crashNotices.push_back({fingerprint, "two", crashCount, QuarantineMs});
        kernel.receive(PeerMessageArrived{{"two", incarnation, gossip, sentAt}, std::nullopt});
    }
};

/// Guards against a message that was overtaken by a later one bringing back a quarantine that the peer has ended.
TEST(ACrashNoticeOfAPeer, replacesNoNewerOneIfItArrivesLate)
{
    receive(3, 1, 10);
    CHECK(kernel.isQuarantined("x"));
    receive(0, 1, 30);
    CHECK(!kernel.isQuarantined("x"));
    receive(3, 1, 20);
    CHECK(!kernel.isQuarantined("x"));
}

/// Guards against a restarted peer whose clock was set back being ignored.
TEST(ACrashNoticeOfAPeer, replacesThoseFromBeforeTheRestartOfThePeer)
{
    receive(3, 1, 30);
    receive(0, 2, 10);
    CHECK(!kernel.isQuarantined("x"));
    receive(3, 1, 40);
    CHECK(!kernel.isQuarantined("x"));
}

TEST_GROUP(AConfigurationThatIsPutInForce)
{
    SingleKernel kernel;
};

/// Guards against a counter among the metrics that stays 0 whatever happens.
TEST(AConfigurationThatIsPutInForce, isCounted)
{
    LONGS_EQUAL(1, kernel.counters().value(Counter::ConfigActivations));
    kernel.receive(HeadReceived{kernel.now().mono, 1, SingleKernel::head()});
    LONGS_EQUAL(1, kernel.counters().value(Counter::ConfigActivations));
    ParsedHead next = SingleKernel::head();
    next.epoch = 2;
    next.accepted.document.revision = 2;
    kernel.receive(HeadReceived{kernel.now().mono, 2, next});
    LONGS_EQUAL(2, kernel.counters().value(Counter::ConfigActivations));
}

TEST_GROUP(AHeadOfTheStoreThatCannotBeDecoded)
{
    SingleKernel kernel;

    std::size_t reportsOf(std::uint64_t version)
    {
        return recordsOf(kernel.receive(HeadReceived{kernel.now().mono, version, std::nullopt, true}), TimelineKind::HeadDamaged).size();
    }
};

/// Guards against operators who look for an outage of the store, since nothing says what is wrong.
TEST(AHeadOfTheStoreThatCannotBeDecoded, isReportedOnceForEachVersion)
{
    LONGS_EQUAL(1, reportsOf(2));
    LONGS_EQUAL(0, reportsOf(2));
    LONGS_EQUAL(1, reportsOf(3));
}

TEST(AHeadOfTheStoreThatCannotBeDecoded, leavesTheConfigurationInForce)
{
    reportsOf(2);
    kernel.receive(Tick{});
    CompletionArrived unknown;
    unknown.call = 1;
    unknown.keySha256 = KeySha256;
    unknown.request.model = "none";
    const Actions actions = kernel.receive(unknown);
    CHECK(std::any_of(actions.begin(), actions.end(), [](const Action &action) {
        const auto *failure = std::get_if<AnswerFailure>(&action);
        return failure != nullptr && failure->error.kind == base::ErrorKind::UnknownModel;
    }));
}

/// A probe of an engine travels on another connection than the streams that the engine runs, whose answers may be on their way.
TEST_GROUP(AProbeThatIsNotAnswered)
{
    SingleKernel kernel;

    /// Puts limits in force that permit no further pipeline for a call.
    void permitNoRetry(std::int64_t attempts, std::int64_t retryReserve)
    {
        settings::RoutingConfig config = *SingleKernel::head().accepted.parsed;
        config.limits.attempts = attempts;
        config.limits.retryPercent = 0;
        config.limits.retryReserve = retryReserve;
        ParsedHead head = SingleKernel::head();
        head.epoch = 2;
        head.accepted.document.revision = 2;
        head.accepted.parsed = std::make_shared<const settings::RoutingConfig>(config);
        kernel.receive(HeadReceived{kernel.now().mono, 2, head});
    }

    /// Starts a stream on the only engine, and lets a probe of that fail after half of the time without progress after which the stream is given up.
    /// Requires that the stream goes on.
    void mustLeaveTheStreamAlone()
    {
        wire::EndpointInfo engine;
        engine.id = "engine";
        engine.address = "127.0.0.1:1";
        engine.serves = "tutor";
        engine.endLayer = 1;
        kernel.receive(ListReceived{{engine}, {}});
        CompletionArrived arrived;
        arrived.call = 1;
        arrived.keySha256 = KeySha256;
        arrived.request.model = "tutor";
        arrived.request.prompt = "x";
        arrived.request.maxTokens = 2;
        CHECK(holds<StartPipeline>(kernel.receive(arrived)));
        kernel.advance(std::chrono::milliseconds(settings::Limits().stallMs / 2));
        const Actions actions = kernel.receive(ProbeFailed{"engine"});
        CHECK(!holds<CancelAttempt>(actions));
        CHECK(!holds<AnswerFailure>(actions));
    }

    template<typename Kind>
    static bool holds(const Actions &actions)
    {
        return std::any_of(actions.begin(), actions.end(), [](const Action &action) { return std::holds_alternative<Kind>(action); });
    }
};

/// Guards against a stream that is cut at an engine which is silent for a moment, although it may have no further pipeline.
TEST(AProbeThatIsNotAnswered, endsNoStreamWhoseAttemptsAreUsedUp)
{
    permitNoRetry(1, 50);
    mustLeaveTheStreamAlone();
}

/// Guards against a stream that is cut at an engine which is silent for a moment, while the limit on retries is used up.
TEST(AProbeThatIsNotAnswered, endsNoStreamBeyondTheLimitOnRetries)
{
    permitNoRetry(6, 0);
    mustLeaveTheStreamAlone();
}
