#include "CutOffBed.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace relay;

/// A request that is answered as a whole and is open at one endpoint, which is sound and answers late. Only the connection of the request itself, its caller
/// and its time limit may end it: what others say of its endpoint decides only what is tried beside it.
TEST_GROUP(AWholeRequestThatIsOpen)
{
    static constexpr std::uint64_t Fingerprint = 4711;

    struct Disturbance {
        const char *name;
        std::function<void(CutOffBed &, const std::string &endpoint)> happens;
    };

    /// Changes the list's entry of an endpoint, and shows it.
    static Disturbance listed(const char *name, const std::function<void(EndpointEntry &)> &change)
    {
        return {name, [change](CutOffBed &bed, const std::string &endpoint) {
                    for (EndpointEntry &entry : bed.entries) {
                        if (entry.id == endpoint) {
                            change(entry);
                        }
                    }
                    bed.advance(Ms(100));
                }};
    }

    /// Lets another request at the same endpoint fail.
    static Disturbance otherFails(const char *name, AttemptFailure failure)
    {
        return {name, [failure](CutOffBed &bed, const std::string &endpoint) {
                    for (int i = 0; i < 20; ++i) {
                        bed.call("/book/other");
                        const AttemptId other = bed.lastAttempt();
                        if (bed.driver.sent.back().endpoint == endpoint) {
                            bed.kernel.onFailure(bed.now, other, failure);
                        } else {
                            bed.kernel.onAnswer(bed.now, other, {200, false, true, ""});
                        }
                    }
                }};
    }

    /// Shows a changed copy of the configuration.
    static Disturbance configured(const char *name, const std::function<void(FleetConfig &)> &change)
    {
        return {name, [change](CutOffBed &bed, const std::string &) {
                    auto config = std::make_shared<FleetConfig>(*RelayTestBed::config(2));
                    change(*config);
                    bed.kernel.onConfig(bed.now, bed.now, config);
                }};
    }

    static Disturbance reported(const char *name, const std::function<void(wire::RelayDigest &, const std::string &endpoint)> &fill)
    {
        return {name, [fill](CutOffBed &bed, const std::string &endpoint) {
                    wire::RelayDigest digest;
                    digest.instance = "two";
                    fill(digest, endpoint);
                    bed.kernel.onPeerMessage(bed.now, digest);
                }};
    }

    static Disturbance checked(const char *name, CheckOutcome outcome)
    {
        return {name, [outcome](CutOffBed &bed, const std::string &endpoint) {
                    for (int i = 0; i < 5; ++i) {
                        bed.kernel.onCheck(bed.now, endpoint, outcome);
                        bed.advance(Ms(50));
                    }
                }};
    }

    static std::vector<Disturbance> inTheList()
    {
        return {
            {"its endpoint is no longer listed",
             [](CutOffBed &bed, const std::string &endpoint) {
                 std::erase_if(bed.entries, [&](const EndpointEntry &entry) { return entry.id == endpoint; });
             }},
            {"nothing is listed",
             [](CutOffBed &bed, const std::string &) {
                 bed.entries.clear();
             }},
            {"its endpoint's address is another one's",
             [](CutOffBed &bed, const std::string &endpoint) {
                 std::erase_if(bed.entries, [&](const EndpointEntry &entry) { return entry.id == endpoint; });
                 EndpointEntry reused = RelayTestBed::deskEntry("desk-new", "zone-a");
                 reused.address = endpoint + ":1";
                 bed.entries.push_back(reused);
             }},
            listed("its endpoint drains", [](EndpointEntry &entry) { entry.draining = true; }),
            listed("its endpoint is listed as restarted", [](EndpointEntry &entry) { ++entry.incarnation; }),
            listed("its endpoint moves to another address", [](EndpointEntry &entry) { entry.address = "elsewhere:1"; }),
            listed("its endpoint moves to another service", [](EndpointEntry &entry) { entry.service = "model"; }),
            listed("its endpoint has no slots any more", [](EndpointEntry &entry) { entry.slots = 0; }),
        };
    }

    static std::vector<Disturbance> saidByOthers()
    {
        return {
            reported("another instance finds its endpoint silent",
                     [](wire::RelayDigest &digest, const std::string &endpoint) {
                         digest.silent.push_back({wire::endpointHash(endpoint), 1});
                     }),
            reported("another instance says that its endpoint leaves",
                     [](wire::RelayDigest &digest, const std::string &endpoint) {
                         digest.leavingEndpoints.push_back({wire::endpointHash(endpoint), 1});
                     }),
            reported("requests like it are quarantined",
                     [](wire::RelayDigest &digest, const std::string &) {
                         digest.crashReports = {{Fingerprint, 1}, {Fingerprint, 2}, {Fingerprint, 3}};
                     }),
            otherFails("its endpoint can't be reached by others", AttemptFailure::NotSent),
            otherFails("its endpoint breaks off others", AttemptFailure::Broken),
            otherFails("its endpoint answers others too late", AttemptFailure::TimedOut),
            otherFails("its endpoint sends others what is no answer", AttemptFailure::Malformed),
            checked("its endpoint's address refuses a check", CheckOutcome::Unreachable),
            checked("its endpoint doesn't answer a check", CheckOutcome::NoAnswer),
            checked("another endpoint answers a check at its address", CheckOutcome::Replaced),
        };
    }

    static std::vector<Disturbance> bySettings()
    {
        return {
            configured("everything is dropped",
                       [](FleetConfig &config) {
                           config.routes.clear();
                           config.services.clear();
                           config.teamOfKey.clear();
                       }),
            configured("its route's limits are lowered",
                       [](FleetConfig &config) {
                           for (Route &route : config.routes) {
                               route.timeout = Ms(1);
                               route.targetLatency = Ms(1);
                               route.maxAttempts = 1;
                           }
                       }),
            configured("its route leads to another service",
                       [](FleetConfig &config) {
                           for (Route &route : config.routes) {
                               route.services = {{"model", 1}};
                               route.kind = RequestKind::Stream;
                           }
                       }),
            {"no retry is permitted any longer",
             [](CutOffBed &bed, const std::string &) {
                 RelaySettings settings = RelayTestBed::settings();
                 settings.retryRatio = 0;
                 settings.retryReserve = 0;
                 bed.kernel.onSettings(settings);
             }},
            {"its instance stops",
             [](CutOffBed &bed, const std::string &) {
                 bed.kernel.onStop(bed.now);
             }},
        };
    }

    /// Opens a request, lets something happen, and requires that the request is then answered by its endpoint.
    static void mustOutlive(const Disturbance &disturbance, const char *path)
    {
        const std::string text = std::string(path) + ": " + disturbance.name;
        CutOffBed bed;
        const CallId call = bed.call(path, "key-a", Ms(20000), Fingerprint);
        const AttemptId attempt = bed.lastAttempt();
        const std::string endpoint = bed.driver.sent.back().endpoint;
        disturbance.happens(bed, endpoint);
        bed.advance(Ms(600));
        CHECK_TEXT(!bed.driver.wasCancelled(attempt), text.c_str());
        for (const FakeDriver::Rejected &rejected : bed.driver.rejected) {
            CHECK_TEXT(rejected.call != call, text.c_str());
        }
        bed.kernel.onAnswer(bed.now, attempt, {200, false, true, ""});
        CHECK_TEXT(std::count(bed.driver.forwarded.begin(), bed.driver.forwarded.end(), call) == 1, text.c_str());
    }

    static void mustOutliveAll(const std::vector<Disturbance> &disturbances)
    {
        for (const Disturbance &disturbance : disturbances) {
            mustOutlive(disturbance, "/book/x");
            mustOutlive(disturbance, "/read/x");
        }
    }
};

/// Guards against an open request being given up since the list of endpoints changes: its connection may live on.
TEST(AWholeRequestThatIsOpen, outlivesWhatTheListSaysOfItsEndpoint)
{
    mustOutliveAll(inTheList());
}

/// Guards against an open request being given up for what other requests, checks and instances have met at its endpoint.
TEST(AWholeRequestThatIsOpen, outlivesWhatOthersSayOfItsEndpoint)
{
    mustOutliveAll(saidByOthers());
}

/// Guards against an open request being given up since its route, service, key or limits change, or since its instance stops.
TEST(AWholeRequestThatIsOpen, outlivesChangesOfConfigurationAndSettings)
{
    mustOutliveAll(bySettings());
}

/// Guards against an open request being given up since its instance reaches no endpoint, and since nobody takes what it hands over.
TEST(AWholeRequestThatIsOpen, outlivesACutAndEveryRefusalOfOtherInstances)
{
    for (const base::ErrorAnswer &row : base::errorAnswers()) {
        mustOutlive({row.name.data(),
                     [&](CutOffBed &bed, const std::string &) {
                         bed.listTakers();
                         bed.loseEndpoints();
                         bed.advance(Ms(400));
                         AnswerHead head;
                         head.peerError = row.kind;
                         for (std::size_t i = 0; i < bed.driver.handOvers.size(); ++i) {
                             const AttemptId handOver = bed.driver.handOvers[i].attempt;
                             bed.kernel.onAnswer(bed.now, handOver, head);
                         }
                     }},
                    "/read/x");
    }
}

/// A whole request that was handed over since its instance reached no endpoint, and is refused there once the instance reaches them again.
TEST_GROUP(AWholeRequestThatIsRefusedElsewhere)
{
    /// Hands a request over, ends the cut, and lets the other instance refuse the request.
    struct Refused : CutOffBed {
        Refused(const char *path, base::ErrorKind kind)
        {
            listTakers();
            cutOff();
            request = call(path);
            unreachable.clear();
            advance(Ms(800));
            AnswerHead head;
            head.peerError = kind;
            kernel.onAnswer(now, lastHandOver().attempt, head);
        }

        /// Returns why the request was rejected; none if it wasn't.
        std::optional<base::ErrorKind> rejection() const
        {
            const auto found =
                std::find_if(driver.rejected.begin(), driver.rejected.end(), [&](const FakeDriver::Rejected &each) { return each.call == request; });
            return found == driver.rejected.end() ? std::nullopt : std::optional(found->rejection.kind);
        }

        CallId request = 0;
    };
};

/// Guards against a request that has not run being rejected although the endpoints are within reach again, since another instance is cut off, stops or lacks
/// the configuration.
TEST(AWholeRequestThatIsRefusedElsewhere, isServedHereIfTheCutIsOver)
{
    for (const base::ErrorKind kind : {base::ErrorKind::NoEndpoint, base::ErrorKind::Stopping, base::ErrorKind::Unconfirmed}) {
        for (const char *path : {"/book/x", "/read/x"}) {
            Refused bed(path, kind);
            CHECK(bed.kernel.reachesEndpoints());
            CHECK(!bed.rejection());
            LONGS_EQUAL(1, bed.driver.sent.size());
            bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {200, false, true, ""});
            LONGS_EQUAL(bed.request, bed.driver.forwarded.back());
        }
    }
}

/// Guards against the same for a stream that has not begun.
TEST(AWholeRequestThatIsRefusedElsewhere, isServedHereIfItIsAStreamToo)
{
    Refused bed("/stream/x", base::ErrorKind::NoEndpoint);
    CHECK(!bed.rejection());
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 1));
}

/// Guards against a request that must not run twice being sent to an endpoint after another instance may have run it.
TEST(AWholeRequestThatIsRefusedElsewhere, isNotSentAgainIfItMayHaveRunThere)
{
    const Refused bed("/book/x", base::ErrorKind::UpstreamBroken);
    LONGS_EQUAL(0, bed.driver.sent.size());
    CHECK(bed.rejection() == base::ErrorKind::UpstreamBroken);
}

/// Guards against a request that is rejected for its own sake being sent on.
TEST(AWholeRequestThatIsRefusedElsewhere, isNotSentAgainIfTheReasonIsItsOwn)
{
    const Refused bed("/book/x", base::ErrorKind::Quarantined);
    LONGS_EQUAL(0, bed.driver.sent.size());
    CHECK(bed.rejection() == base::ErrorKind::Quarantined);
}

/// A stream that has begun, and that one instance after the other refuses to go on with.
TEST_GROUP(AStreamThatManyInstancesRefuse)
{
    CutOffBed bed;

    void refuse()
    {
        AnswerHead head;
        head.peerError = base::ErrorKind::NoEndpoint;
        bed.kernel.onAnswer(bed.now, bed.lastHandOver().attempt, head);
    }
};

/// Guards against a stream that is broken off when the cut is over, since hand-overs that nobody has run have used up its attempts: it may go on here.
TEST(AStreamThatManyInstancesRefuse, goesOnHereIfTheCutIsOver)
{
    std::vector<InstanceEntry> instances{{"one", "one:1", "zone-a", "one:2"}};
    for (int i = 0; i < 12; ++i) {
        const std::string name = "other-" + std::to_string(i);
        instances.push_back({name, name + ":1", "zone-a", name + ":2"});
    }
    bed.kernel.onInstances(bed.now, instances);
    // So many that the limit on retries is no reason.
    for (int i = 0; i < 100; ++i) {
        bed.startStream(1);
        bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    }
    bed.startStream(2);
    const AttemptId own = bed.lastAttempt();
    bed.loseEndpoints();
    bed.advance(Ms(600));
    bed.kernel.onFailure(bed.now, own, AttemptFailure::Broken);
    std::size_t refused = bed.driver.handOvers.size() - 1;
    for (; bed.driver.handOvers.size() > refused; ++refused) {
        refuse();
    }
    CHECK(refused >= 6);
    LONGS_EQUAL(0, bed.driver.brokenStreams.size());
    bed.advance(Ms(100));
    CHECK(bed.driver.handOvers.size() > refused);
    bed.unreachable.clear();
    bed.advance(Ms(800));
    CHECK(bed.kernel.reachesEndpoints());
    const std::size_t sent = bed.driver.sent.size();
    refuse();
    bed.advance(Ms(200));
    LONGS_EQUAL(0, bed.driver.brokenStreams.size());
    LONGS_EQUAL(sent + 1, bed.driver.sent.size());
}
