#include "details/PeerLoads.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>

using namespace relay;

namespace {

constexpr Ms Step{50};
constexpr std::size_t EndpointCount = 190;
constexpr std::size_t ZoneCount = 5;

/// An instance of the fleet: what it knows of the others, and which messages it has exchanged lately.
struct FleetMember {
    std::string id;
    std::string zone;
    EndpointRegistry endpoints;
    std::optional<PeerLoads> loads;
    bool isFrozen = false;
    bool isGone = false;
    std::set<std::string> sentTo;
    std::size_t sent = 0;
    std::size_t received = 0;
};

} // namespace

/// The digests of a fleet of 195 instances in five zones before 190 endpoints. All its traffic passes through one queue, with a delay of one step. Each
/// instance has one open request on the endpoint whose number is its own modulo the number of endpoints.
TEST_GROUP(DigestsInALargeFleet)
{
    static constexpr std::size_t InstanceCount = 195;

    Instant now{std::chrono::seconds(100)};
    std::vector<std::unique_ptr<FleetMember>> members;
    std::vector<EndpointEntry> entries;
    std::vector<std::pair<std::string, wire::RelayDigest>> underWay;

    void setup() override
    {
        for (std::size_t i = 0; i < EndpointCount; ++i) {
            EndpointEntry entry;
            entry.id = "endpoint-" + std::to_string(i);
            entry.service = "model";
            entry.zone = zoneOf(i);
            entry.incarnation = 1;
            entries.push_back(entry);
        }
        addMembers(InstanceCount);
    }

    static std::string zoneOf(std::size_t number)
    {
        return "zone-" + std::to_string(number % ZoneCount);
    }

    /// Starts further instances. Only they read the list of instances: the others learn of them from their digests.
    void addMembers(std::size_t count)
    {
        const std::size_t first = members.size();
        for (std::size_t i = first; i < first + count; ++i) {
            auto member = std::make_unique<FleetMember>();
            member->id = "instance-" + std::to_string(i);
            member->zone = zoneOf(i);
            member->endpoints.onList(now, entries, 0, false);
            EndpointState &state = member->endpoints.at(static_cast<EndpointIndex>(i % EndpointCount));
            state.openRequests = 1;
            state.contextTokens = 1024;
            members.push_back(std::move(member));
        }
        for (std::size_t i = first; i < members.size(); ++i) {
            restart(*members[i]);
        }
    }

    /// Starts the process of an instance, which knows nothing but its settings and the list of instances.
    void restart(FleetMember & member)
    {
        RelaySettings settings;
        settings.node = member.id;
        settings.zone = member.zone;
        settings.meshAddress = member.id + ":7000";
        std::vector<InstanceEntry> list;
        for (const auto &other : members) {
            list.push_back({other->id, other->id + ":7000", other->zone});
        }
        member.loads.emplace(member.endpoints);
        member.loads->configure(settings);
        member.loads->onInstances(list);
        member.isGone = false;
    }

    void advance(Ms duration)
    {
        for (Ms elapsed{0}; elapsed < duration; elapsed += Step) {
            now += Step;
            deliver();
            for (const auto &member : members) {
                if (!member->isFrozen && !member->isGone) {
                    send(*member);
                }
            }
        }
    }

    void deliver()
    {
        std::map<std::string, FleetMember *> byAddress;
        for (const auto &member : members) {
            byAddress[member->id + ":7000"] = member.get();
        }
        std::vector<std::pair<std::string, wire::RelayDigest>> arriving;
        arriving.swap(underWay);
        for (const auto &[address, digest] : arriving) {
            FleetMember &receiver = *byAddress.at(address);
            if (!receiver.isFrozen && !receiver.isGone) {
                ++receiver.received;
                receiver.loads->onDigest(digest, now);
            }
        }
    }

    void send(FleetMember & member)
    {
        for (const DueDigest &due : member.loads->dueDigests(now, false)) {
            for (const std::string &address : due.addresses) {
                member.sentTo.insert(address);
                ++member.sent;
                underWay.emplace_back(address, due.digest);
            }
        }
    }

    void resetCounts()
    {
        for (const auto &member : members) {
            member->sentTo.clear();
            member->sent = 0;
            member->received = 0;
        }
    }

    std::vector<FleetMember *> aggregators() const
    {
        std::vector<FleetMember *> found;
        for (const auto &member : members) {
            if (!member->isGone && member->loads->isAggregator(now)) {
                found.push_back(member.get());
            }
        }
        return found;
    }

    /// Sum of what an instance believes to be open on all endpoints.
    double believedRequests(const FleetMember &member) const
    {
        double sum = 0;
        for (EndpointIndex i = 0; i < member.endpoints.size(); ++i) {
            sum += member.loads->loadOn(i, now).openRequests;
        }
        return sum;
    }

    /// Number of running instances that know the load of the fleet to a tenth.
    std::size_t informedMembers(double expectedRequests) const
    {
        return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const auto &member) {
            const double believed = believedRequests(*member);
            return !member->isGone && believed > 0.9 * expectedRequests && believed < 1.1 * expectedRequests;
        }));
    }
};

TEST(DigestsInALargeFleet, tellEveryInstanceTheLoadOfAll)
{
    advance(Ms(4000));
    LONGS_EQUAL(InstanceCount, informedMembers(InstanceCount));
    advance(Ms(4000));
    for (const auto &member : members) {
        LONGS_EQUAL(InstanceCount, member->loads->instances(now).value_or(0));
        // The own request counts once, although the sum of the fleet contains it too.
        DOUBLES_EQUAL(InstanceCount, believedRequests(*member), 0.5);
    }
}

/// If every instance sent its digest to all others, each would receive 323 a second.
TEST(DigestsInALargeFleet, costAnInstanceAFewMessagesASecond)
{
    advance(Ms(4000));
    resetCounts();
    constexpr int Seconds = 12;
    advance(Ms(1000 * Seconds));
    const std::vector<FleetMember *> summing = aggregators();
    LONGS_EQUAL(2 * ZoneCount, summing.size());
    for (const auto &member : members) {
        const bool isAggregator = std::find(summing.begin(), summing.end(), member.get()) != summing.end();
        const std::size_t maxPeers = isAggregator ? InstanceCount / ZoneCount + 2 * ZoneCount : 2;
        const std::size_t maxPerSecond = isAggregator ? 100 : 4;
        CHECK(member->sentTo.size() <= maxPeers);
        CHECK(member->sent <= maxPerSecond * Seconds);
        CHECK(member->received <= maxPerSecond * Seconds);
    }
}

TEST(DigestsInALargeFleet, makeAFewInstancesReadTheStore)
{
    advance(Ms(4000));
    std::size_t readersOfStore = 0;
    for (const auto &member : members) {
        const auto readers = member->loads->readers(false, now);
        CHECK(!readers.empty());
        const bool readsItself = std::find(readers.begin(), readers.end(), member->id) != readers.end();
        readersOfStore += readsItself ? 1 : 0;
        CHECK(readsItself == member->loads->isPlannerCandidate(false, now));
        CHECK(!readsItself || member->loads->isAggregator(now));
    }
    LONGS_EQUAL(3, readersOfStore);
}

/// An aggregator freezes. It is replaced, and when it goes on it takes part again.
TEST(DigestsInALargeFleet, goOnWithoutAnAggregatorThatFreezes)
{
    advance(Ms(4000));
    FleetMember *frozen = aggregators().front();
    frozen->isFrozen = true;
    advance(Ms(2500));
    CHECK(informedMembers(InstanceCount) >= InstanceCount - 1);
    frozen->isFrozen = false;
    advance(Ms(3000));
    LONGS_EQUAL(InstanceCount, informedMembers(InstanceCount));
}

/// More than half of the instances lose power at the same moment, most aggregators among them, and start again.
TEST(DigestsInALargeFleet, recoverAfterMostInstancesHaveRestartedTogether)
{
    advance(Ms(4000));
    std::vector<FleetMember *> lost = aggregators();
    for (std::size_t i = 0; i < InstanceCount && lost.size() < InstanceCount * 6 / 10; ++i) {
        if (std::find(lost.begin(), lost.end(), members[i].get()) == lost.end()) {
            lost.push_back(members[i].get());
        }
    }
    for (FleetMember *member : lost) {
        member->isGone = true;
    }
    advance(Ms(2000));
    for (FleetMember *member : lost) {
        restart(*member);
    }
    advance(Ms(4000));
    LONGS_EQUAL(InstanceCount, informedMembers(InstanceCount));
}

/// The aggregators of all zones are lost for good; others take their place although they stay in the list.
TEST(DigestsInALargeFleet, goOnWithoutAggregatorsThatAreLostForGood)
{
    advance(Ms(4000));
    const std::vector<FleetMember *> lost = aggregators();
    for (FleetMember *member : lost) {
        member->isGone = true;
    }
    advance(Ms(12000));
    const std::size_t remaining = InstanceCount - lost.size();
    std::size_t informed = 0;
    // The lost ones are tried again from time to time, which must not interrupt what the others know.
    constexpr int Checks = 20;
    for (int i = 0; i < Checks; ++i) {
        advance(Ms(700));
        informed += informedMembers(static_cast<double>(remaining));
    }
    LONGS_EQUAL(remaining * Checks, informed);
}

/// A zone loses both of its aggregators. Those that take their place have not sent anything to the other zones before.
TEST(DigestsInALargeFleet, goOnWhenAZoneLosesItsAggregators)
{
    advance(Ms(20000));
    std::size_t lost = 0;
    for (FleetMember *member : aggregators()) {
        member->isGone = member->zone == zoneOf(0);
        lost += member->isGone ? 1 : 0;
    }
    LONGS_EQUAL(2, lost);
    advance(Ms(5000));
    const std::size_t remaining = InstanceCount - lost;
    LONGS_EQUAL(remaining, informedMembers(static_cast<double>(remaining)));
    // The sum of that zone itself has arrived, not only a mean in its place.
    for (const FleetMember *member : aggregators()) {
        CHECK(member->loads->loadOn(0, now).openRequests > 1.5);
    }
}

/// The fleet grows by seven tenths in the middle of a day.
TEST(DigestsInALargeFleet, takeInInstancesThatJoinTogether)
{
    advance(Ms(4000));
    const std::vector<FleetMember *> before = aggregators();
    addMembers(InstanceCount * 7 / 10);
    advance(Ms(5000));
    LONGS_EQUAL(members.size(), informedMembers(static_cast<double>(members.size())));
    CHECK(aggregators().size() <= before.size() + 2 * ZoneCount);
}

/// In a fleet of the size of a single site all instances exchange digests directly.
TEST(DigestsInALargeFleet, areSentDirectlyWhileTheFleetIsSmall)
{
    members.resize(9);
    for (const auto &member : members) {
        restart(*member);
    }
    advance(Ms(2000));
    LONGS_EQUAL(9, informedMembers(9));
    for (const auto &member : members) {
        LONGS_EQUAL(8, member->sentTo.size());
        CHECK(!member->loads->isAggregator(now));
    }
}
