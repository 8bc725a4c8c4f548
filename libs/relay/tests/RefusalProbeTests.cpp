#include "FakeDriver.h"

#include "base/Hash.h"
#include "details/RefusalPause.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace relay;

namespace {

constexpr Ms RunTime{5};
constexpr Ms RefusalTime{1};
/// Pause of a caller after a rejection.
constexpr Ms CallerPause{100};

/// What the three endpoints of "desk" are sent, and what they take.
struct Load {
    std::size_t instances = 1;
    std::size_t callers = 24;
    Ms duration{10000};
    /// They refuse everything until this time has passed.
    Ms fullFor{0};
    /// They refuse that part of 100 of all requests at random.
    std::uint64_t refusedOf100 = 0;
    /// They refuse what comes while that many requests run.
    int places = 1000;
};

/// Plays a load in virtual time, and counts what callers got and endpoints were sent.
class Play
{
public:
    explicit Play(const Load &load)
        : load_(load)
        , callers_(load.callers)
        , instances_(load.instances)
    {
        std::vector<InstanceEntry> peers;
        for (std::size_t i = 0; i < load.instances; ++i) {
            peers.push_back({"instance-" + std::to_string(i), "10.0.0." + std::to_string(i) + ":7000"});
        }
        for (Instance &instance : instances_) {
            instance.bed.kernel.onInstances(instance.bed.now, peers);
        }
        for (std::size_t i = 0; i < callers_.size(); ++i) {
            callers_[i].idleUntil = start_ + Ms(i % 24);
        }
        while (now_ < start_ + load.duration) {
            step();
        }
    }

    std::size_t answered() const
    {
        return answered_;
    }
    /// The most requests that one endpoint was sent while all refused everything.
    std::size_t sentWhileFull() const
    {
        std::size_t most = 0;
        for (const auto &[endpoint, count] : sentWhileFull_) {
            most = std::max(most, count);
        }
        return most;
    }
    std::size_t requests() const
    {
        return callerOf_.size();
    }
    std::size_t retries() const
    {
        std::size_t retries = 0;
        for (const Instance &instance : instances_) {
            retries += instance.bed.kernel.counters().retries;
        }
        return retries;
    }

private:
    struct Instance {
        RelayTestBed bed;
        std::size_t handledSends = 0;
        std::size_t handledForwards = 0;
        std::size_t handledRejections = 0;
    };
    /// A caller's request that waits for its answer, or the pause after a rejection.
    struct Caller {
        CallId call = 0;
        Instant idleUntil{0};
    };
    struct Running {
        Instant endsAt{0};
        Instance *instance = nullptr;
        AttemptId attempt = 0;
        std::string endpoint;
        bool isRefused = false;
    };

    void step()
    {
        sendRequests();
        for (Instance &instance : instances_) {
            receive(instance);
        }
        now_ += Ms(1);
        for (Instance &instance : instances_) {
            instance.bed.now = now_;
        }
        answer();
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            if ((now_ - start_).count() % Instant(TickPeriod).count() == 0) {
                RelayTestBed &bed = instances_[i].bed;
                bed.kernel.onConfig(now_, now_, nullptr);
                bed.kernel.onEndpoints(now_, bed.entries, {bed.storeEpoch, ++bed.storeRevision});
                bed.kernel.onTick(now_);
            }
            collect(i);
        }
    }

    /// Each caller that waits for nothing sends a request to its instance.
    void sendRequests()
    {
        for (std::size_t i = 0; i < callers_.size(); ++i) {
            const std::size_t number = i % instances_.size();
            RelayTestBed &bed = instances_[number].bed;
            if (callers_[i].call == 0 && now_ >= callers_[i].idleUntil) {
                callers_[i].call = bed.lastCall + 1;
                callerOf_[{number, bed.lastCall + 1}] = i;
                bed.call(i % 3 == 0 ? "/book/x" : "/read/x");
            }
        }
    }

    /// Endpoints take or refuse what an instance has sent.
    void receive(Instance &instance)
    {
        const bool isFull = now_ < start_ + load_.fullFor;
        for (; instance.handledSends < instance.bed.driver.sent.size(); ++instance.handledSends) {
            const Dispatch &sent = instance.bed.driver.sent[instance.handledSends];
            const bool isRefused = isFull || open_[sent.endpoint] >= load_.places || base::mixBits(++draws_) % 100 < load_.refusedOf100;
            open_[sent.endpoint] += isRefused ? 0 : 1;
            sentWhileFull_[sent.endpoint] += isFull ? 1 : 0;
            running_.push_back({now_ + (isRefused ? RefusalTime : RunTime), &instance, sent.attempt, sent.endpoint, isRefused});
        }
    }

    void answer()
    {
        std::vector<Running> due;
        std::erase_if(running_, [&](const Running &item) {
            if (item.endsAt <= now_) {
                due.push_back(item);
            }
            return item.endsAt <= now_;
        });
        for (const Running &item : due) {
            open_[item.endpoint] -= item.isRefused ? 0 : 1;
            item.instance->bed.kernel.onAnswer(now_, item.attempt, item.isRefused ? AnswerHead{503, true, false, ""} : AnswerHead{200, false, true, ""});
        }
    }

    void collect(std::size_t number)
    {
        Instance &instance = instances_[number];
        const FakeDriver &driver = instance.bed.driver;
        for (; instance.handledForwards < driver.forwarded.size(); ++instance.handledForwards) {
            callers_[callerOf_.at({number, driver.forwarded[instance.handledForwards]})].call = 0;
            ++answered_;
        }
        for (; instance.handledRejections < driver.rejected.size(); ++instance.handledRejections) {
            callers_[callerOf_.at({number, driver.rejected[instance.handledRejections].call})] = {0, now_ + CallerPause};
        }
    }

    static constexpr Ms TickPeriod{50};

    Load load_;
    std::vector<Caller> callers_;
    std::vector<Instance> instances_;
    std::vector<Running> running_;
    /// Callers by instance and call.
    std::map<std::pair<std::size_t, CallId>, std::size_t> callerOf_;
    std::map<std::string, int> open_;
    std::map<std::string, std::size_t> sentWhileFull_;
    std::size_t answered_ = 0;
    std::uint64_t draws_ = 0;
    const Instant start_ = RelayTestBed().now;
    Instant now_ = start_;
};

/// Returns a load of that many callers before endpoints that refuse a part of 100 at random.
Load randomRefusals(std::size_t callers, std::uint64_t refusedOf100)
{
    Load load;
    load.callers = callers;
    load.refusedOf100 = refusedOf100;
    return load;
}

} // namespace

/// Three endpoints that refuse what comes while their few places are taken, before more callers than places.
TEST_GROUP(EndpointsWithFewPlaces){};

/// Guards against pauses of all endpoints, during which their places stay empty, and bursts of requests between them.
TEST(EndpointsWithFewPlaces, areKeptBusy)
{
    Load load;
    load.places = 4;
    const auto possible = static_cast<double>(3 * load.places * (load.duration / RunTime));
    CHECK(static_cast<double>(Play(load).answered()) >= 0.75 * possible);
}

/// Guards against a return of all callers at once to endpoints that have had no place for any of them.
TEST(EndpointsWithFewPlaces, areKeptBusyAlsoAfterATimeWithoutPlaces)
{
    Load load;
    load.places = 4;
    load.fullFor = Ms(1000);
    load.duration = Ms(7000);
    const auto possible = static_cast<double>(3 * load.places * ((load.duration - load.fullFor) / RunTime));
    CHECK(static_cast<double>(Play(load).answered()) >= 0.5 * possible);
}

/// Guards against windows that let retries through, in a fleet of any size, beyond what the limit on retries allows.
TEST(EndpointsWithFewPlaces, getNoMoreRetriesThanTheLimitAllows)
{
    const RelaySettings settings = RelayTestBed::settings();
    for (const std::size_t instances : {3U, 69U, 195U}) {
        Load load;
        load.instances = instances;
        load.callers = 200;
        load.places = 4;
        load.duration = Ms(3000);
        const Play play(load);
        CHECK(static_cast<double>(play.retries()) <= settings.retryRatio * static_cast<double>(play.requests()) + settings.retryReserve);
        CHECK(play.answered() > 0);
    }
}

/// Many callers before three endpoints that refuse some requests at random, and at once, while answers take longer.
TEST_GROUP(BurstsOfRequestsSomeOfWhichAreRefused){};

/// Guards against a verdict by the refusals of a burst, which come before its answers.
TEST(BurstsOfRequestsSomeOfWhichAreRefused, areNoStateOfTheEndpoint)
{
    constexpr std::size_t Callers = 200;
    const auto whole = static_cast<double>(Play(randomRefusals(Callers, 0)).answered());
    CHECK(static_cast<double>(Play(randomRefusals(Callers, 5)).answered()) >= 0.9 * whole);
    CHECK(static_cast<double>(Play(randomRefusals(Callers, 16)).answered()) >= 0.75 * whole);
}

/// Guards against the other error: endpoints that refuse everything are sent more than with a pause after most refusals and no window.
TEST(BurstsOfRequestsSomeOfWhichAreRefused, areFewAtEndpointsThatRefuseEverything)
{
    // The most that one endpoint was sent in 10 s before there were windows.
    const std::map<std::size_t, std::size_t> sentWithoutWindows = {{2, 16}, {24, 24}, {200, 40}};
    for (const auto &[callers, most] : sentWithoutWindows) {
        Load load;
        load.callers = callers;
        load.fullFor = load.duration;
        const Play play(load);
        LONGS_EQUAL(0, play.answered());
        CHECK(play.sentWhileFull() <= most);
    }
}

/// What the refusals of one endpoint say of it.
TEST_GROUP(APauseAfterRefusals)
{
    Instant now{std::chrono::seconds(100)};
    RefusalPause pause;

    /// Has a request refused that is sent now, and lets a step of time pass.
    void refuse(Ms minimum = Ms(0))
    {
        pause.onSent(now);
        pause.onRefused(now, now + Ms(1), 0, minimum);
        now += Ms(1);
    }
};

/// Guards against a pause that goes on although the endpoint has taken a request after the refusal, and one that ends by an answer from before it.
TEST(APauseAfterRefusals, endsOnProof)
{
    const Instant before = now;
    refuse();
    CHECK(!pause.isOver(now));
    pause.onAccepted(before, now, 0);
    CHECK(!pause.isOver(now));
    now += Ms(1);
    pause.onAccepted(now, now + Ms(1), 0);
    CHECK(pause.isOver(now + Ms(1)));
}

/// Guards against proof that ends a time for which the endpoint has asked itself.
TEST(APauseAfterRefusals, isAsLongAsTheEndpointHasAsked)
{
    refuse(Ms(2000));
    pause.onAccepted(now + Ms(1), now + Ms(2), 0);
    CHECK(!pause.isOver(now + Ms(1990)));
    CHECK(pause.isOver(now + Ms(2000)));
}

/// Guards against all waiting requests at once after a pause, and against a single one for ever.
TEST(APauseAfterRefusals, isFollowedByRequestsThatGrowWithSuccess)
{
    refuse();
    now += Ms(200);
    CHECK(pause.isOver(now));
    CHECK(pause.hasRoom(now, 0));
    pause.onSent(now);
    CHECK(!pause.hasRoom(now, 1));
    pause.onAccepted(now, now + Ms(5), 0);
    now += Ms(5);
    pause.onSent(now);
    CHECK(pause.hasRoom(now, 1));
    CHECK(!pause.hasRoom(now, 2));
}

/// Guards against an endpoint that gets nothing while the only request that it may have runs for long.
TEST(APauseAfterRefusals, letsOneMoreThroughWhileTheOthersTakeLong)
{
    refuse();
    now += Ms(200);
    pause.onSent(now);
    CHECK(!pause.hasRoom(now + Ms(299), 1));
    CHECK(pause.hasRoom(now + Ms(300), 1));
}

/// Guards against a pause that grows without end.
TEST(APauseAfterRefusals, staysBounded)
{
    for (int i = 0; i < 100; ++i) {
        refuse();
        now += Ms(2400);
        CHECK(pause.isOver(now));
    }
}
