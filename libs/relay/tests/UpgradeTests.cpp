#include "InstanceFleet.h"
#include "VirtualFleet.h"
#include "base/Hash.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace relay;

namespace {

/// Time in which what one instance has learned must be in use at all others.
constexpr Ms SpreadTime{3000};
/// Requests with a fatal part that may still be sent after that time.
constexpr std::size_t MaxLateRequests = 3;
/// Parts of sound requests, a few of which are under way at any time.
constexpr std::uint64_t SoundParts = 20;

/// The last landings that today's instances may run beside.
const OlderSchema &withoutHandOvers()
{
    static const OlderSchema landing("a22e5d1");
    return landing;
}

/// Returns the sizes of fleets that a test tries: those that take long only if TREFOIL_LARGE_FLEETS is set.
std::vector<std::size_t> fleetSizes()
{
    return std::getenv("TREFOIL_LARGE_FLEETS") == nullptr ? std::vector<std::size_t>{3} : std::vector<std::size_t>{3, 69, 195};
}

} // namespace

/// Half of the instances say and understand only what an earlier landing does, and instances are replaced by the other build one after the other, forward and
/// back. All limits are those of the tests of fleets of one build. TREFOIL_LARGE_FLEETS=1 tries fleets of 69 and 195 instances as well.
TEST_GROUP(AFleetOfTwoBuilds)
{
    std::uint64_t step = 0;
    std::size_t nextReplaced = 0;

    /// Every second instance is of the earlier landing, the first one too if `isFirst`.
    static InstanceFleet::LandingOf half(bool isFirst)
    {
        return [isFirst](std::size_t instance) {
            return (instance % 2 == 0) == isFirst ? &withoutHandOvers() : nullptr;
        };
    }

    /// Replaces the next instance by the other build.
    void replaceNext(InstanceFleet & fleet)
    {
        const std::size_t instance = nextReplaced++ % fleet.instances.size();
        fleet.replace(instance, fleet.instances[instance]->landing == nullptr ? &withoutHandOvers() : nullptr);
    }

    /// Sends sound requests through some of the instances in turn.
    void sendSound(InstanceFleet & fleet, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            ++step;
            fleet.request(step % fleet.instances.size(), 100 + step % SoundParts);
        }
    }

    static std::size_t soundBegunSince(const InstanceFleet &fleet, Instant since)
    {
        std::size_t begun = 0;
        for (std::uint64_t part = 100; part < 100 + SoundParts; ++part) {
            begun += fleet.begunSince(part, since);
        }
        return begun;
    }
};

/// Guards against evidence of crashes getting lost between two builds, or being counted twice: what crashes endpoints is rejected by both, the rest by none.
TEST(AFleetOfTwoBuilds, rejectsWhatCrashesEndpointsEverywhere)
{
    for (const std::size_t instances : fleetSizes()) {
        for (const bool isFirst : {true, false}) {
            InstanceFleet fleet(instances, half(isFirst));
            std::uint64_t steps = 0;
            fleet.advance(Ms(20000), [&]() {
                sendSound(fleet, 1);
                if (++steps % 16 == 0) {
                    fleet.request((steps / 16) % instances, InstanceFleet::FatalPart);
                }
            });
            CHECK(fleet.fatalCrash(1).has_value());
            if (const auto fifth = fleet.fatalCrash(5)) {
                CHECK(fleet.sentSince(InstanceFleet::FatalPart, *fifth + SpreadTime) <= MaxLateRequests);
            }
            CHECK(soundBegunSince(fleet, fleet.now - Ms(5000)) >= static_cast<std::size_t>(Ms(5000) / InstanceFleet::Step) * 9 / 10);
        }
    }
}

/// Guards against a quarantine that is forgotten while one instance after the other is replaced, forward and back.
TEST(AFleetOfTwoBuilds, keepsAQuarantineWhileItIsReplaced)
{
    for (const std::size_t instances : fleetSizes()) {
        InstanceFleet fleet(instances, half(true));
        std::uint64_t steps = 0;
        const auto send = [&]() {
            sendSound(fleet, 1);
            if (++steps % 16 == 0) {
                fleet.request((steps / 16) % instances, InstanceFleet::FatalPart);
            }
        };
        fleet.advance(Ms(15000), send);
        const Instant since = fleet.now;
        for (std::size_t replaced = 0; replaced < std::min<std::size_t>(instances, 8) * 2; ++replaced) {
            replaceNext(fleet);
            fleet.advance(Ms(2000), send);
        }
        CHECK(fleet.fatalCrash(3).has_value());
        // Probes are part of a quarantine; each may be sent by an instance that has just been replaced.
        CHECK(fleet.sentSince(InstanceFleet::FatalPart, since) <= 2 * MaxLateRequests);
    }
}

/// Guards against sound requests being rejected by one build for what the other says: endpoints are killed one after the other.
TEST(AFleetOfTwoBuilds, servesSoundRequestsWhileEndpointsAreKilled)
{
    for (const std::size_t instances : fleetSizes()) {
        InstanceFleet fleet(instances, half(true));
        fleet.advance(Ms(2000), [&]() { sendSound(fleet, 1); });
        const Instant since = fleet.now;
        for (std::size_t killed = 0; killed < 8; ++killed) {
            fleet.crash(killed);
            fleet.advance(Ms(2500), [&]() { sendSound(fleet, 1); });
        }
        for (std::size_t i = 0; i < instances; ++i) {
            LONGS_EQUAL(0, fleet.quarantinedSince(i, since));
        }
    }
}

/// Guards against two builds that together send more retries than are allowed, also while they are replaced.
TEST(AFleetOfTwoBuilds, keepsTheLimitOnRetries)
{
    const RelaySettings settings = RelayTestBed::settings();
    for (const std::size_t instances : fleetSizes()) {
        InstanceFleet fleet(instances, half(false));
        fleet.advance(Ms(10100));
        for (InstanceFleet::Endpoint &endpoint : fleet.endpoints) {
            endpoint.fails = true;
        }
        const double replacedPerStep = 2.0 * static_cast<double>(instances * InstanceFleet::Step.count()) / static_cast<double>(settings.retryWindow.count());
        double due = 0;
        fleet.advance(settings.retryWindow, [&]() {
            sendSound(fleet, 4);
            for (due += replacedPerStep; due >= 1; due -= 1) {
                replaceNext(fleet);
            }
        });
        CHECK(fleet.maxRetriesBeyond(settings.retryRatio, settings.retryWindow) <= settings.retryReserve);
    }
}

/// Guards against an endpoint getting more requests than it has said that it takes, since each build counts only its own kind.
TEST(AFleetOfTwoBuilds, keepsToTheRequestLimitsOfEndpoints)
{
    constexpr Ms CountedSpan{4000};
    constexpr double Limit = 10;
    constexpr std::size_t MaxInSpan = 65; // One and a half times what it takes, and five.
    for (const std::size_t instances : fleetSizes()) {
        InstanceFleet fleet(instances, half(true));
        fleet.endpoints[0].requestLimit = Limit;
        fleet.endpoints[2].requestLimit = Limit;
        fleet.advance(Ms(4000), [&]() { sendSound(fleet, 1); });
        const Instant since = fleet.now;
        fleet.advance(Ms(16000), [&]() { sendSound(fleet, 2); });
        for (const std::size_t endpoint : {std::size_t{0}, std::size_t{2}}) {
            CHECK(fleet.maxSentTo(endpoint, since, CountedSpan) <= MaxInSpan);
        }
    }
}

/// Guards against callers of an instance that reaches no endpoint being rejected, since half of the others take no requests; and against requests for those.
TEST(AFleetOfTwoBuilds, servesTheCallersOfInstancesThatAreCutOff)
{
    constexpr double MinServed = 0.98;
    constexpr std::uint64_t Period = 8;
    for (const std::size_t size : fleetSizes()) {
        const std::size_t instances = std::max<std::size_t>(size, 5); // Two of today's at least besides those that are cut off.
        for (const auto cut : {InstanceFleet::EndpointCut::Silent, InstanceFleet::EndpointCut::Reset}) {
            InstanceFleet fleet(instances, half(false));
            const std::size_t cutInstances = instances / 3;
            const auto setCut = [&](InstanceFleet::EndpointCut state) {
                for (std::size_t i = 0; i < cutInstances; ++i) {
                    fleet.instances[i]->endpointCut = state;
                }
            };
            const auto send = [&]() {
                for (std::size_t i = ++step % Period; i < instances; i += Period) {
                    fleet.request(i, 100 + step % SoundParts);
                }
            };
            fleet.advance(Ms(2000), send);
            setCut(cut);
            fleet.advance(SpreadTime, send);
            const Instant since = fleet.now;
            fleet.advance(Ms(6000), send);
            const Instant until = fleet.now - Ms(1000);
            setCut(InstanceFleet::EndpointCut::None);
            fleet.advance(Ms(1000), send);
            double asked = 0;
            double begun = 0;
            for (std::size_t i = 0; i < cutInstances; i += 2) {
                const auto counts = fleet.begunOf(i, since, until);
                asked += static_cast<double>(counts.first);
                begun += static_cast<double>(counts.second);
            }
            CHECK(begun >= MinServed * asked);
            LONGS_EQUAL(0, fleet.misdirectedHandOvers);
            for (std::size_t i = 0; i < instances; ++i) {
                LONGS_EQUAL(0, fleet.quarantinedSince(i, since));
            }
        }
    }
}

/// Guards against sound requests being rejected somewhere in the fleet for what an instance of an earlier landing infers while it reaches no endpoint: it tells
/// some instances again and again, and they tell the others.
TEST(AFleetOfTwoBuilds, rejectsNothingForWhatACutOffInstanceInfers)
{
    constexpr std::uint64_t Fingerprint = 777;
    constexpr Ms RepeatPeriod{2400};
    for (const std::size_t instances : fleetSizes()) {
        InstanceFleet fleet(instances);
        const auto send = [&]() {
            sendSound(fleet, 1);
            if (step % 4 == 0) {
                fleet.request((step / 4) % instances, 100, Fingerprint);
            }
        };
        fleet.advance(Ms(2000), send);
        const Instant since = fleet.now;
        for (int repeated = 0; repeated < 4; ++repeated) {
            wire::RelayDigest digest;
            digest.instance = "instance-" + std::to_string(instances - 1);
            for (std::size_t i = 0; i < 4; ++i) {
                const relay::EndpointEntry &entry = fleet.endpoints[i].entry;
                digest.crashReports.push_back({Fingerprint, base::mixBits(base::hashOf(entry.id) ^ entry.incarnation), repeated * RepeatPeriod});
            }
            const std::string bytes = withoutHandOvers().known(wire::encode(digest));
            for (std::size_t i = 0; i < std::min<std::size_t>(instances - 1, 3); ++i) {
                fleet.instances[i]->kernel->onPeerMessage(fleet.now, base::valueOf(wire::decodeRelayMessage(bytes)));
            }
            fleet.advance(RepeatPeriod, send);
        }
        for (std::size_t i = 0; i < instances; ++i) {
            LONGS_EQUAL(0, fleet.quarantinedSince(i, since));
        }
    }
}

/// Guards against callers of an instance that reaches no endpoint being rejected while half of the others have been rolled back: the list of instances still
/// names their addresses, where nothing listens.
TEST(AFleetOfTwoBuilds, servesTheCallersOfInstancesThatAreCutOffAfterARollBack)
{
    constexpr double MinServed = 0.98;
    constexpr std::uint64_t Period = 8;
    for (const std::size_t size : fleetSizes()) {
        const std::size_t instances = std::max<std::size_t>(size, 5);
        InstanceFleet fleet(instances);
        const auto send = [&]() {
            for (std::size_t i = ++step % Period; i < instances; i += Period) {
                fleet.request(i, 100 + step % SoundParts);
            }
        };
        fleet.advance(Ms(2000), send);
        for (std::size_t i = 1; i < instances; i += 2) {
            fleet.replace(i, &withoutHandOvers());
            fleet.advance(InstanceFleet::Step, send);
        }
        fleet.advance(SpreadTime, send);
        fleet.instances[0]->endpointCut = InstanceFleet::EndpointCut::Reset;
        fleet.advance(SpreadTime, send);
        const Instant since = fleet.now;
        fleet.advance(Ms(6000), send);
        const Instant until = fleet.now - Ms(1000);
        fleet.instances[0]->endpointCut = InstanceFleet::EndpointCut::None;
        fleet.advance(Ms(1000), send);
        const auto [asked, begun] = fleet.begunOf(0, since, until);
        CHECK(asked > 0);
        const std::string figures = std::to_string(begun) + " of " + std::to_string(asked) + " served at " + std::to_string(instances) + " instances";
        CHECK_TEXT(static_cast<double>(begun) >= MinServed * static_cast<double>(asked), figures.c_str());
    }
}

/// Guards against two planners, streams that lose or repeat events, and requests that run twice, while instances of two builds take each other's place under
/// faults.
TEST(AFleetOfTwoBuilds, keepsItsGuaranteesUnderFaults)
{
    constexpr std::uint64_t Schedules = 20;
    VirtualFleet::Totals sum;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        VirtualFleet fleet(seed);
        fleet.mixWith(withoutHandOvers());
        fleet.runSchedule();
        for (const std::string &violation : fleet.violations()) {
            UtestShell::getCurrent()->print(("seed " + std::to_string(seed) + ", " + violation + "\n").c_str(), __FILE__, __LINE__);
        }
        CHECK(fleet.violations().empty());
        sum.calls += fleet.totals().calls;
        sum.served += fleet.totals().served;
        sum.replacements += fleet.totals().replacements;
        sum.leasesOfOlder += fleet.totals().leasesOfOlder;
        sum.leasesOfToday += fleet.totals().leasesOfToday;
    }
    CHECK(sum.served > sum.calls / 2);
    CHECK(sum.replacements > 10 * static_cast<int>(Schedules));
    CHECK(sum.leasesOfOlder > 0);
    CHECK(sum.leasesOfToday > 0);
}

/// An instance of today gets crash reports from one of an earlier landing, which infers them from what endpoints don't do and doesn't say so.
TEST_GROUP(AnInstanceThatHearsOfCrashesFromAnEarlierLanding)
{
    static constexpr std::uint64_t Fingerprint = 777;
    /// Time in which a restart of an endpoint shows in the list.
    static constexpr Ms ListLag{2700};

    RelayTestBed bed;

    void receiveCrashReports()
    {
        wire::RelayDigest digest;
        digest.instance = "two";
        for (const char *desk : {"desk-a", "desk-b", "desk-c"}) {
            digest.crashReports.push_back({Fingerprint, base::mixBits(base::hashOf(desk) ^ 1), Ms(0)});
        }
        const std::string bytes = withoutHandOvers().known(wire::encode(digest));
        bed.kernel.onPeerMessage(bed.now, base::valueOf(wire::decodeRelayMessage(bytes)));
    }

    std::size_t sentNow()
    {
        const std::size_t before = bed.driver.sent.size();
        bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
        return bed.driver.sent.size() - before;
    }
};

/// Guards against sound requests being rejected everywhere because an instance that has not been upgraded yet has lost its way to the endpoints.
TEST(AnInstanceThatHearsOfCrashesFromAnEarlierLanding, rejectsNoRequestIfTheEndpointsLive)
{
    for (int i = 0; i < 3; ++i) {
        receiveCrashReports();
        bed.advance(Ms(200));
        LONGS_EQUAL(1, sentNow());
        bed.advance(ListLag);
        LONGS_EQUAL(1, sentNow());
    }
}

/// Guards against true evidence being doubted for long: nothing is found at the addresses of the endpoints.
TEST(AnInstanceThatHearsOfCrashesFromAnEarlierLanding, rejectsTheRequestIfNothingIsFoundThere)
{
    bed.unreachable = {"desk-a", "desk-b", "desk-c"};
    receiveCrashReports();
    bed.advance(Ms(200));
    LONGS_EQUAL(0, sentNow());
}

/// Guards against true evidence being refuted by the answers of processes that have taken the place of those that crashed, before the list shows them.
TEST(AnInstanceThatHearsOfCrashesFromAnEarlierLanding, rejectsTheRequestOnceTheListShowsTheRestarts)
{
    receiveCrashReports();
    bed.advance(Ms(1000));
    for (EndpointEntry &entry : bed.entries) {
        entry.incarnation += entry.id.starts_with("desk") ? 1 : 0;
    }
    bed.advance(Ms(500));
    LONGS_EQUAL(0, sentNow());
}
