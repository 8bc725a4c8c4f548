#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// A store that was restored from a copy shows an older configuration until the operator has written the newest one again.
TEST_GROUP(AnInstanceThatIsShownAnOlderConfiguration)
{
    RelayTestBed bed;

    void setup() override
    {
        bed.kernel.onConfig(bed.now, bed.now, RelayTestBed::config(5));
    }

    /// Lets time pass while each read shows that version.
    void advanceWithReadsOf(RelayKernel & kernel, std::uint64_t version, Ms duration)
    {
        for (Ms elapsed{0}; elapsed < duration; elapsed += Ms(100)) {
            bed.now += Ms(100);
            kernel.onConfig(bed.now, bed.now, RelayTestBed::config(version));
            kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
            kernel.onTick(bed.now);
        }
    }

    /// Delivers a digest of an instance that holds that version.
    void nameVersion(RelayKernel & kernel, std::uint64_t version)
    {
        wire::RelayDigest digest;
        digest.instance = "two";
        digest.configVersion = version;
        kernel.onPeerMessage(bed.now, digest);
    }
};

/// A revoked key is accepted for longer than the bound: a newer configuration may have been acknowledged that the copy lacks as well.
TEST(AnInstanceThatIsShownAnOlderConfiguration, doesNotTakeItAsAConfirmationOfItsOwn)
{
    advanceWithReadsOf(bed.kernel, 4, Ms(4700));
    bed.call("/book/seat");
    CHECK(bed.driver.sent.empty());
    CHECK(!bed.driver.ready);
    LONGS_EQUAL(5, bed.kernel.configVersion());
}

TEST(AnInstanceThatIsShownAnOlderConfiguration, servesOnceTheStoreShowsItsOwnAgain)
{
    advanceWithReadsOf(bed.kernel, 4, Ms(4700));
    advanceWithReadsOf(bed.kernel, 5, Ms(100));
    bed.call("/book/seat");
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(bed.driver.ready);
}

/// A process that starts during the restore takes the older configuration for the newest: it denies routes and keys that were added.
TEST(AnInstanceThatIsShownAnOlderConfiguration, doesNotStartToServeByItWhileOthersHoldANewerOne)
{
    FakeDriver driver;
    RelayKernel kernel(RelayTestBed::settings(), driver);
    nameVersion(kernel, 5);
    advanceWithReadsOf(kernel, 4, Ms(300));
    CHECK(!driver.ready);
    for (const char *path : {"/book/seat", "/added/x"}) {
        CallArrival arrival;
        arrival.call = ++bed.lastCall;
        arrival.host = "api.example";
        arrival.path = path;
        arrival.keySha256 = "key-a";
        kernel.onCall(bed.now, arrival);
        CHECK(!driver.rejected.empty() && driver.rejected.back().rejection.kind == base::ErrorKind::Unconfirmed);
    }
    advanceWithReadsOf(kernel, 5, Ms(100));
    CHECK(driver.ready);
}

/// While the newer configuration that others hold is being read, what the own one lacks may have been added by it.
TEST(AnInstanceThatIsShownAnOlderConfiguration, deniesNothingThatANewerOneMayAllow)
{
    nameVersion(bed.kernel, 6);
    bed.call("/added/x");
    CHECK(bed.driver.rejected.back().rejection.kind == base::ErrorKind::Unconfirmed);
    bed.call("/book/seat", "key-new");
    CHECK(bed.driver.rejected.back().rejection.kind == base::ErrorKind::Unconfirmed);
}

/// A version that no running instance holds any more must not keep the others from serving for good.
TEST(AnInstanceThatIsShownAnOlderConfiguration, servesAgainIfNobodyNamesTheNewerOneAnyLonger)
{
    nameVersion(bed.kernel, 6);
    advanceWithReadsOf(bed.kernel, 5, Ms(5000));
    bed.call("/book/seat");
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(bed.driver.ready);
}

/// Guards against a key that is accepted for longer than the bound: the store has lost its revocation before any instance could read it.
TEST(AnInstanceThatIsShownAnOlderConfiguration, acceptsNoKeyWhoseRevocationTheStoreHasLost)
{
    // The key is revoked now. The store goes away before the next read and comes back without the revocation; one read of it is all that gets through.
    bed.now += Ms(2000);
    ++bed.storeEpoch;
    bed.kernel.onEndpoints(bed.now, bed.entries, {bed.storeEpoch, ++bed.storeRevision});
    bed.kernel.onConfig(bed.now, bed.now, RelayTestBed::config(5));
    bed.advance(Ms(3100), false);
    bed.call("/book/seat");
    CHECK(bed.driver.sent.empty());
}
