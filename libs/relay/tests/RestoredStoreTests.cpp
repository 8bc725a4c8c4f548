#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// An instance that knows the list of epoch 1 up to a high revision, when the store is restored from a copy and becomes one of epoch 2.
TEST_GROUP(AnInstanceWhoseStoreIsRestored)
{
    static constexpr std::uint64_t LastRevision = 900;
    static constexpr std::uint64_t RestoredRevision = 700;

    RelayTestBed bed;

    void setup() override
    {
        bed.storeEpoch = 1;
        bed.storeRevision = LastRevision - 1;
        bed.advance(Ms(50));
    }

    /// Restores the store. Its list is the one of `bed.entries`.
    void restore()
    {
        bed.storeEpoch = 2;
        bed.storeRevision = RestoredRevision;
    }

    std::string stateOf(const std::string &id) const
    {
        const auto views = bed.kernel.endpoints();
        return std::find_if(views.begin(), views.end(), [&](const EndpointView &view) { return view.id == id; })->state;
    }

    static wire::RelayDigest digestOf(wire::StoreVersion version)
    {
        wire::RelayDigest digest;
        digest.instance = "two";
        digest.endpointsHash = 12345;
        digest.endpointsVersion = version;
        return digest;
    }

    /// Number of the last freshness request; 0 if there was none.
    std::uint64_t lastRequest() const
    {
        return bed.driver.freshnessRequests.empty() ? 0 : bed.driver.freshnessRequests.back().second.number;
    }

    /// Reply of another instance that lists `bed.entries` as a whole, without the one of that id.
    wire::FreshnessReply wholeListWithout(const std::string &id, wire::StoreVersion version) const
    {
        wire::FreshnessReply reply{lastRequest(), 1, 0, 0, 0, version, wire::EndpointListChanges{}};
        reply.changes->isComplete = true;
        for (const EndpointEntry &entry : bed.entries) {
            if (entry.id != id) {
                reply.changes->changed.push_back({entry.id,
                                                  entry.service,
                                                  entry.address,
                                                  entry.zone,
                                                  entry.incarnation,
                                                  entry.draining,
                                                  entry.slots,
                                                  entry.accelerator,
                                                  entry.layers.first,
                                                  entry.layers.end,
                                                  entry.modelVersion});
            }
        }
        return reply;
    }
};

/// An endpoint that begins to leave after the restore gets requests until the revisions have caught up.
TEST(AnInstanceWhoseStoreIsRestored, takesItsListAlthoughTheRevisionsHaveGoneBack)
{
    restore();
    bed.entries.front().draining = true;
    bed.advance(Ms(50));
    STRCMP_EQUAL("draining", stateOf("low-a").c_str());
}

/// Reads overlap: the answer of before the restore arrives last and brings back an endpoint that was removed since.
TEST(AnInstanceWhoseStoreIsRestored, ignoresALateListOfTheEpochBefore)
{
    const std::vector<EndpointEntry> before = bed.entries;
    restore();
    bed.entries.pop_back();
    bed.advance(Ms(2500));
    STRCMP_EQUAL("gone", stateOf("desk-c").c_str());
    bed.kernel.onEndpoints(bed.now, before, {1, LastRevision + 50});
    STRCMP_EQUAL("gone", stateOf("desk-c").c_str());
}

/// An instance that doesn't read the store learns of the restore by a digest alone, whose revision is lower than its own.
TEST(AnInstanceWhoseStoreIsRestored, requestsTheListThatADigestOfTheNewEpochNames)
{
    const std::size_t before = bed.driver.freshnessRequests.size();
    bed.kernel.onPeerMessage(bed.now, digestOf({2, RestoredRevision}));
    LONGS_EQUAL(before + 1, bed.driver.freshnessRequests.size());
    bed.kernel.onPeerMessage(bed.now, wholeListWithout("desk-c", {2, RestoredRevision}));
    bed.advance(Ms(2500), false);
    bed.kernel.onEndpoints(bed.now, {}, {1, LastRevision + 1});
    bed.kernel.onPeerMessage(bed.now, digestOf({2, RestoredRevision + 1}));
    bed.kernel.onPeerMessage(bed.now, wholeListWithout("desk-c", {2, RestoredRevision + 1}));
    STRCMP_EQUAL("gone", stateOf("desk-c").c_str());
    STRCMP_EQUAL("usable", stateOf("desk-b").c_str());
}

/// Instances that don't know of the restore go on naming high revisions; each would cost a request, and a read of the store after it.
TEST(AnInstanceWhoseStoreIsRestored, requestsNothingThatADigestOfTheEpochBeforeNames)
{
    restore();
    bed.advance(Ms(50));
    const std::size_t before = bed.driver.freshnessRequests.size();
    bed.kernel.onPeerMessage(bed.now, digestOf({1, LastRevision + 50}));
    LONGS_EQUAL(before, bed.driver.freshnessRequests.size());
}

/// Changes since a revision that both epochs have given out leave out what the copy lacks.
TEST(AnInstanceWhoseStoreIsRestored, sendsTheWholeListToAnInstanceThatKnowsTheEpochBefore)
{
    restore();
    bed.advance(Ms(50));
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessRequest{"two", 1, {1, RestoredRevision + 1}});
    const auto changes = bed.driver.freshnessReplies.back().second.changes;
    CHECK(changes.has_value() && changes->isComplete);
    LONGS_EQUAL(bed.entries.size(), changes->changed.size());
}

/// Changes that begin in an epoch that this instance doesn't know yet would be applied to the wrong list.
TEST(AnInstanceWhoseStoreIsRestored, appliesNoChangesOfAnotherEpochToItsList)
{
    bed.kernel.onPeerMessage(bed.now, digestOf({2, LastRevision + 5}));
    wire::FreshnessReply reply = wholeListWithout("desk-c", {2, LastRevision + 5});
    reply.changes->isComplete = false;
    reply.changes->changed.front().draining = true;
    bed.kernel.onPeerMessage(bed.now, reply);
    STRCMP_EQUAL("usable", stateOf("low-a").c_str());
    LONGS_EQUAL(1, bed.driver.endpointRefreshes);
}

/// A reader that is cut off from the restored store says that its old list was current a moment ago.
TEST(AnInstanceWhoseStoreIsRestored, doesNotCountAnAgeOfTheEpochBeforeAsItsOwn)
{
    restore();
    bed.advance(Ms(50));
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessRequest{"two", 1});
    const std::uint64_t hash = bed.driver.freshnessReplies.back().second.endpointsHash;
    bed.advance(Ms(5000), false);
    CHECK(bed.driver.followsStore);
    bed.kernel.onPeerMessage(bed.now, digestOf({2, RestoredRevision + 9}));
    const std::uint64_t number = lastRequest();
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessReply{number, 1, 0, hash, 0, {1, LastRevision}});
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessRequest{"two", 2});
    CHECK(bed.driver.freshnessReplies.back().second.endpointsAgeMs >= 5000);
}

/// Guards against reads of the store without end for a list that one instance has named once and that does not exist.
TEST(AnInstanceWhoseStoreIsRestored, readsAFewTimesForAListThatNobodyNamesAnyLonger)
{
    constexpr int MaxReads = 12;
    bed.kernel.onPeerMessage(bed.now, digestOf({4000000, 5}));
    const auto before = bed.driver.endpointRefreshes;
    bed.advance(Ms(60000));
    CHECK(bed.driver.endpointRefreshes - before <= MaxReads);
}
