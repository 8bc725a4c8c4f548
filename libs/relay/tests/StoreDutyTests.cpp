#include "FakeDriver.h"
#include "base/Hash.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// An instance in a fleet of 13, of which 3 others read the store for all. They are those whose ids have the lowest hashes.
TEST_GROUP(AnInstanceThatDoesNotReadTheStore)
{
    RelayTestBed bed;
    /// Mesh addresses of the instances that read the store.
    std::vector<std::string> readers;

    void setup() override
    {
        std::vector<InstanceEntry> instances = {{"one", "10.0.0.1:7000"}};
        for (int i = 0; i < 12; ++i) {
            instances.push_back({"peer-" + std::to_string(i), "10.0.1." + std::to_string(i) + ":7000"});
        }
        bed.kernel.onInstances(bed.now, instances);
        std::sort(instances.begin(), instances.end(), [](const auto &a, const auto &b) {
            return base::mixBits(base::hashOf(a.id)) < base::mixBits(base::hashOf(b.id));
        });
        for (int i = 0; i < 3; ++i) {
            readers.push_back(instances[i].meshAddress);
        }
        receiveDigestsOfAll();
        advance(Ms(50), true);
    }

    /// Delivers a digest from every other instance, so that all of them count as running.
    void receiveDigestsOfAll()
    {
        for (int i = 0; i < 12; ++i) {
            bed.kernel.onPeerMessage(bed.now, wire::RelayDigest{"peer-" + std::to_string(i), false, {}, {}, {}, {}, 0, 0});
        }
    }

    static wire::RelayDigest digestOf(const std::string &instance, std::uint64_t endpointsHash, std::uint64_t revision)
    {
        wire::RelayDigest digest;
        digest.instance = instance;
        digest.endpointsHash = endpointsHash;
        digest.endpointsVersion = {0, revision};
        return digest;
    }

    /// State of the endpoint as this instance sees it.
    std::string stateOf(const std::string &id) const
    {
        const auto views = bed.kernel.endpoints();
        return std::find_if(views.begin(), views.end(), [&](const EndpointView &view) { return view.id == id; })->state;
    }

    /// Reply of a reader that has the given configuration version and the same endpoint list as this instance, both of that age.
    wire::FreshnessReply replyTo(const wire::FreshnessRequest &request, std::uint64_t version, Ms age)
    {
        const auto own = bed.driver.freshnessReplies;
        bed.kernel.onPeerMessage(bed.now, wire::FreshnessRequest{"peer-1", 1});
        const std::uint64_t hash = bed.driver.freshnessReplies.back().second.endpointsHash;
        return {request.number, version, static_cast<std::uint64_t>(age.count()), hash, static_cast<std::uint64_t>(age.count())};
    }

    /// Advances the time in steps of 50 ms in which all other instances are seen; if `readersReply`, freshness requests get a reply of age 100 ms.
    void advance(Ms duration, bool readersReply)
    {
        constexpr Ms Step{50};
        for (Ms elapsed{0}; elapsed < duration; elapsed += Step) {
            const std::size_t before = bed.driver.freshnessRequests.size();
            bed.now += Step;
            receiveDigestsOfAll();
            bed.kernel.onTick(bed.now);
            if (readersReply && bed.driver.freshnessRequests.size() > before) {
                bed.kernel.onPeerMessage(bed.now, replyTo(bed.driver.freshnessRequests.back().second, 1, Ms(100)));
            }
        }
    }
};

TEST(AnInstanceThatDoesNotReadTheStore, sendsFreshnessRequestsToThoseThatDo)
{
    CHECK(std::find(readers.begin(), readers.end(), "10.0.0.1:7000") == readers.end());
    advance(Ms(10000), true);
    CHECK(!bed.driver.followsStore);
    CHECK(bed.driver.ready);
    CHECK(bed.driver.freshnessRequests.size() >= 20);
    for (const auto &[address, request] : bed.driver.freshnessRequests) {
        CHECK(std::find(readers.begin(), readers.end(), address) != readers.end());
    }
    bed.call("/book/seat");
    LONGS_EQUAL(1, bed.driver.sent.size());
}

TEST(AnInstanceThatDoesNotReadTheStore, readsTheStoreItselfWhenNobodyReplies)
{
    advance(Ms(1000), true);
    CHECK(!bed.driver.followsStore);
    advance(Ms(3000), false);
    CHECK(bed.driver.followsStore);
}

TEST(AnInstanceThatDoesNotReadTheStore, readsTheConfigurationAtOnceWhenAnotherKnowsANewerOne)
{
    bed.kernel.onPeerMessage(bed.now, wire::RelayDigest{"peer-3", false, {}, {}, {}, {}, 2, 0});
    LONGS_EQUAL(1, bed.driver.configRefreshes);
}

/// An endpoint is listed as draining; every instance must learn it within seconds, without waiting for its next periodic freshness request.
TEST(AnInstanceThatDoesNotReadTheStore, requestsAtOnceTheChangesThatAnotherKnows)
{
    const std::size_t before = bed.driver.freshnessRequests.size();
    bed.kernel.onPeerMessage(bed.now, digestOf("peer-3", 12345, bed.storeRevision + 5));
    LONGS_EQUAL(before + 1, bed.driver.freshnessRequests.size());
    STRCMP_EQUAL("10.0.1.3:7000", bed.driver.freshnessRequests.back().first.c_str());
    LONGS_EQUAL(bed.storeRevision, bed.driver.freshnessRequests.back().second.endpointsVersion.revision);
    LONGS_EQUAL(0, bed.driver.endpointRefreshes);
}

TEST(AnInstanceThatDoesNotReadTheStore, appliesTheChangesOfAFreshnessReply)
{
    bed.kernel.onPeerMessage(bed.now, digestOf("peer-3", 12345, bed.storeRevision + 5));
    wire::FreshnessReply reply{bed.driver.freshnessRequests.back().second.number, 1, 100, 0, 100, {0, bed.storeRevision + 5}, wire::EndpointListChanges{}};
    wire::EndpointRecord leaving{"high-a", "model", "high-a:1", "zone-a", 1, true, 100, "gpu", RelayTestBed::HalfLayers, 80, 0};
    reply.changes->changed.push_back(leaving);
    reply.changes->removed.push_back("low-b");
    bed.kernel.onPeerMessage(bed.now, reply);
    STRCMP_EQUAL("draining", stateOf("high-a").c_str());
    STRCMP_EQUAL("gone", stateOf("low-b").c_str());
    STRCMP_EQUAL("usable", stateOf("high-b").c_str());
}

TEST(AnInstanceThatDoesNotReadTheStore, readsTheStoreWhenNoChangesArrive)
{
    bed.kernel.onPeerMessage(bed.now, digestOf("peer-3", 12345, bed.storeRevision + 5));
    advance(Ms(400), false);
    LONGS_EQUAL(1, bed.driver.endpointRefreshes);
}

TEST(AnInstanceThatDoesNotReadTheStore, readsTheStoreWhenTheChangesResultInADifferentList)
{
    bed.kernel.onPeerMessage(bed.now, digestOf("peer-3", 12345, bed.storeRevision + 5));
    const std::uint64_t number = bed.driver.freshnessRequests.back().second.number;
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessReply{number, 1, 100, 12345, 100, {0, bed.storeRevision + 5}, wire::EndpointListChanges{}});
    LONGS_EQUAL(1, bed.driver.endpointRefreshes);
}

/// Instances that are cut off from the store go on sending digests of an older list.
TEST(AnInstanceThatDoesNotReadTheStore, doesNotRequestAnOlderList)
{
    const std::size_t before = bed.driver.freshnessRequests.size();
    bed.kernel.onPeerMessage(bed.now, digestOf("peer-3", 12345, bed.storeRevision - 1));
    LONGS_EQUAL(before, bed.driver.freshnessRequests.size());
    advance(Ms(400), true);
    LONGS_EQUAL(0, bed.driver.endpointRefreshes);
}

/// Reads of the list may overlap, so that an older list arrives after a newer one.
TEST(AnInstanceThatDoesNotReadTheStore, doesNotGoBackToAnOlderList)
{
    const std::vector<EndpointEntry> before = bed.entries;
    bed.entries.front().draining = true;
    bed.entries.pop_back();
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    bed.kernel.onEndpoints(bed.now, before, {0, bed.storeRevision - 1});
    STRCMP_EQUAL("draining", stateOf("low-a").c_str());
    STRCMP_EQUAL("gone", stateOf("desk-c").c_str());
}

TEST(AnInstanceThatDoesNotReadTheStore, sendsOthersTheChangesSinceTheirRevision)
{
    const std::uint64_t peerRevision = bed.storeRevision;
    bed.entries.front().draining = true;
    bed.entries.pop_back();
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessRequest{"peer-1", 1, {0, peerRevision}});
    const auto changes = bed.driver.freshnessReplies.back().second.changes;
    CHECK(changes.has_value());
    LONGS_EQUAL(1, changes->changed.size());
    STRCMP_EQUAL("low-a", changes->changed.front().id.c_str());
    LONGS_EQUAL(1, changes->removed.size());
    STRCMP_EQUAL("desk-c", changes->removed.front().c_str());
}

/// Changes since a revision that the history doesn't reach would leave some out.
TEST(AnInstanceThatDoesNotReadTheStore, sendsTheWholeListToAnInstanceWhoseListIsOlderThanItsOwnFirst)
{
    constexpr std::uint64_t FirstRevision = 40;
    FakeDriver driver;
    RelayKernel kernel(RelayTestBed::settings(), driver);
    kernel.onConfig(bed.now, bed.now, RelayTestBed::config(1));
    kernel.onEndpoints(bed.now, bed.entries, {0, FirstRevision});
    kernel.onPeerMessage(bed.now, wire::FreshnessRequest{"peer-1", 1, {0, FirstRevision - 1}, "10.0.1.1:7000"});
    const auto changes = driver.freshnessReplies.back().second.changes;
    CHECK(changes.has_value() && changes->isComplete);
    LONGS_EQUAL(bed.entries.size(), changes->changed.size());
}

/// An instance that has just started knows no list: it needs all entries, not the changes since a revision.
TEST(AnInstanceThatDoesNotReadTheStore, sendsTheWholeListToAnInstanceThatHasNone)
{
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessRequest{"peer-1", 1, {}});
    const auto changes = bed.driver.freshnessReplies.back().second.changes;
    CHECK(changes.has_value());
    LONGS_EQUAL(bed.entries.size(), changes->changed.size());
}

/// An instance that starts in a running fleet, as all do when they have been restarted.
TEST_GROUP(AnInstanceThatStarts)
{
    static constexpr int PeerCount = 12;

    RelayTestBed peer;
    FakeDriver driver;
    RelayKernel kernel{settingsOfNewInstance(), driver};
    Instant now = peer.now;

    static RelaySettings settingsOfNewInstance()
    {
        RelaySettings settings = RelayTestBed::settings();
        settings.node = "new";
        settings.meshAddress = "10.0.0.9:7000";
        return settings;
    }

    void setup() override
    {
        kernel.onConfig(now, now, RelayTestBed::config(1));
        kernel.onTick(now);
        std::vector<InstanceEntry> instances = {{"new", "10.0.0.9:7000"}};
        for (int i = 0; i < PeerCount; ++i) {
            instances.push_back({"peer-" + std::to_string(i), "10.0.1." + std::to_string(i) + ":7000"});
        }
        kernel.onInstances(now, instances);
    }
};

TEST(AnInstanceThatStarts, getsTheListOfEndpointsFromAnotherInstance)
{
    CHECK(!driver.followsStore);
    LONGS_EQUAL(1, driver.freshnessRequests.size());
    peer.kernel.onPeerMessage(now, driver.freshnessRequests.back().second);
    kernel.onPeerMessage(now, peer.driver.freshnessReplies.back().second);
    kernel.onTick(now + Ms(50));
    CHECK(driver.ready);
    LONGS_EQUAL(0, driver.endpointRefreshes);
}

/// The earlier process of the instance had requested the changes since a revision. They are not the whole list, and their age counts from another time.
TEST(AnInstanceThatStarts, ignoresAReplyToItsEarlierProcess)
{
    FakeDriver earlierDriver;
    RelaySettings settings = settingsOfNewInstance();
    settings.seed = 8;
    RelayKernel earlier(settings, earlierDriver);
    earlier.onConfig(now, now, RelayTestBed::config(1));
    earlier.onInstances(now, {{"new", "10.0.0.9:7000"}, {"aa", "1:1"}, {"ab", "1:2"}, {"ac", "1:3"}, {"ad", "1:4"}, {"ae", "1:5"}, {"af", "1:6"}});
    CHECK(!earlierDriver.freshnessRequests.empty());
    const std::uint64_t number = earlierDriver.freshnessRequests.back().second.number;
    kernel.onPeerMessage(now, wire::FreshnessReply{number, 1, 0, 0, 0, {0, 40}, wire::EndpointListChanges{}});
    kernel.onTick(now);
    CHECK(!driver.ready);
    LONGS_EQUAL(0, kernel.endpoints().size());
    CHECK(number != driver.freshnessRequests.back().second.number);
}

TEST(AnInstanceThatStarts, readsTheListItselfIfNobodySendsIt)
{
    for (Ms elapsed{0}; elapsed < Ms(1000); elapsed += Ms(50)) {
        CHECK(!driver.followsStore);
        now += Ms(50);
        kernel.onTick(now);
    }
    CHECK(driver.followsStore);
    CHECK(driver.freshnessRequests.size() >= 4);
}

/// The readers are cut off from the store but not from the other instances, so that their replies are stale.
TEST(AnInstanceThatDoesNotReadTheStore, doesNotRelyOnReadersThatAreCutOff)
{
    advance(Ms(1000), true);
    CHECK(!bed.driver.followsStore);
    for (int i = 0; i < 12; ++i) {
        wire::RelayDigest digest = digestOf("peer-" + std::to_string(i), 0, 0);
        digest.isStale = std::find(readers.begin(), readers.end(), "10.0.1." + std::to_string(i) + ":7000") != readers.end();
        bed.kernel.onPeerMessage(bed.now, digest);
    }
    const std::size_t before = bed.driver.freshnessRequests.size();
    bed.now += Ms(400);
    bed.kernel.onTick(bed.now);
    const bool requestsFromOther =
        bed.driver.freshnessRequests.size() > before && std::find(readers.begin(), readers.end(), bed.driver.freshnessRequests.back().first) == readers.end();
    CHECK(bed.driver.followsStore || requestsFromOther);
}

/// A reply is delayed by the network, or its receiver is suspended, and the age that it states is too low when it is processed.
TEST(AnInstanceThatDoesNotReadTheStore, measuresTheAgeOfAReplyFromItsRequest)
{
    const std::size_t before = bed.driver.freshnessRequests.size();
    while (bed.driver.freshnessRequests.size() == before) {
        advance(Ms(50), false);
    }
    const auto request = bed.driver.freshnessRequests.back().second;
    const Instant requestedAt = bed.now;
    bed.now += Ms(4000);
    bed.kernel.onPeerMessage(bed.now, replyTo(request, 1, Ms(0)));
    bed.now = requestedAt + Ms(4400);
    bed.call("/book/seat");
    LONGS_EQUAL(1, bed.driver.sent.size());
    bed.now = requestedAt + Ms(4700);
    bed.call("/book/seat");
    LONGS_EQUAL(1, bed.driver.sent.size());
}

/// A key was revoked. Other instances know the new configuration, but this one can't read it and must not go on accepting the key.
TEST(AnInstanceThatDoesNotReadTheStore, becomesStaleWhileItLacksTheNewestConfiguration)
{
    for (int i = 0; i < 100; ++i) {
        const std::size_t before = bed.driver.freshnessRequests.size();
        bed.now += Ms(50);
        receiveDigestsOfAll();
        bed.kernel.onTick(bed.now);
        if (bed.driver.freshnessRequests.size() > before) {
            bed.kernel.onPeerMessage(bed.now, replyTo(bed.driver.freshnessRequests.back().second, 2, Ms(0)));
        }
    }
    bed.call("/book/seat");
    CHECK(bed.driver.sent.empty());
    CHECK(bed.driver.configRefreshes > 0);
}

TEST(AnInstanceThatDoesNotReadTheStore, ignoresRepliesToRequestsThatItDidNotSend)
{
    advance(Ms(50), true);
    bed.now += Ms(4700);
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessReply{999, 1, 0, 0, 0});
    bed.call("/book/seat");
    CHECK(bed.driver.sent.empty());
}
