#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// Facts about one endpoint are ordered by its incarnation; within one incarnation, leaving is final.
TEST_GROUP(AnEndpointThatLeaves)
{
    RelayTestBed bed;

    void setup() override
    {
        bed.storeEpoch = 1;
        bed.storeRevision = 900;
        bed.advance(Ms(50));
    }

    EndpointEntry &entry(const std::string &id)
    {
        return *std::find_if(bed.entries.begin(), bed.entries.end(), [&](const EndpointEntry &listed) { return listed.id == id; });
    }

    void remove(const std::string &id)
    {
        std::erase_if(bed.entries, [&](const EndpointEntry &listed) { return listed.id == id; });
    }

    /// Restores the store from a copy: its epoch rises and its revisions go back.
    void restore()
    {
        ++bed.storeEpoch;
        bed.storeRevision = 700;
    }

    static std::string stateIn(const RelayKernel &kernel, const std::string &id)
    {
        const auto views = kernel.endpoints();
        return std::find_if(views.begin(), views.end(), [&](const EndpointView &view) { return view.id == id; })->state;
    }

    std::string stateOf(const std::string &id) const
    {
        return stateIn(bed.kernel, id);
    }

    /// Makes requests until one is sent to that endpoint; returns its attempt.
    AttemptId sendTo(const std::string &id)
    {
        for (int i = 0; i < 100; ++i) {
            bed.call("/book/seat");
            if (bed.driver.sent.back().endpoint == id) {
                return bed.lastAttempt();
            }
        }
        FAIL("no request was sent to the endpoint");
        return 0;
    }

    static AnswerHead leavingHead()
    {
        AnswerHead head{200, false, true, ""};
        head.leaving = true;
        return head;
    }
};

/// The copy is older than the entry in which the endpoint said that it leaves.
TEST(AnEndpointThatLeaves, isNotUsedAgainWhenARestoredEntryListsItAsReady)
{
    entry("desk-a").draining = true;
    bed.advance(Ms(50));
    restore();
    entry("desk-a").draining = false;
    bed.advance(Ms(6000));
    STRCMP_EQUAL("draining", stateOf("desk-a").c_str());
}

TEST(AnEndpointThatLeaves, isUsedAgainOnceItHasRestarted)
{
    entry("desk-a").draining = true;
    bed.advance(Ms(50));
    entry("desk-a").draining = false;
    entry("desk-a").incarnation = 2;
    bed.advance(Ms(50));
    STRCMP_EQUAL("usable", stateOf("desk-a").c_str());
}

/// The copy has the entry of the process before, which was leaving; the present process would get no requests.
TEST(AnEndpointThatLeaves, doesNotMakeItsNextIncarnationLeave)
{
    entry("desk-a").incarnation = 2;
    bed.advance(Ms(50));
    restore();
    entry("desk-a").incarnation = 1;
    entry("desk-a").draining = true;
    bed.advance(Ms(50));
    STRCMP_EQUAL("usable", stateOf("desk-a").c_str());
}

/// Some endpoints leave by removing their entry alone. The copy still has it, until the endpoint has removed it again.
TEST(AnEndpointThatLeaves, isNotUsedAtOnceWhenItsRemovedEntryIsRestored)
{
    const EndpointEntry removed = entry("desk-a");
    remove("desk-a");
    bed.advance(Ms(50));
    STRCMP_EQUAL("gone", stateOf("desk-a").c_str());
    restore();
    bed.entries.push_back(removed);
    bed.advance(Ms(1500));
    for (int i = 0; i < 60; ++i) {
        bed.call("/book/seat");
        CHECK(bed.driver.sent.back().endpoint != "desk-a");
    }
    // An entry that is still there has not been removed again: the endpoint lives.
    bed.advance(Ms(900));
    sendTo("desk-a");
}

TEST(AnEndpointThatLeaves, isUsedAtOnceWhenItListsItselfAgainWithoutARestore)
{
    const EndpointEntry removed = entry("desk-a");
    remove("desk-a");
    bed.advance(Ms(50));
    bed.entries.push_back(removed);
    bed.advance(Ms(50));
    sendTo("desk-a");
}

/// An endpoint that has started after the copy was made is missing until it has written its entry again.
TEST(AnEndpointThatLeaves, isNotTakenForOneThatTheCopyLacks)
{
    restore();
    const EndpointEntry lacking = entry("desk-a");
    remove("desk-a");
    bed.advance(Ms(2000));
    STRCMP_EQUAL("usable", stateOf("desk-a").c_str());
    bed.entries.push_back(lacking);
    bed.advance(Ms(500));
    STRCMP_EQUAL("usable", stateOf("desk-a").c_str());
    remove("desk-a");
    bed.advance(Ms(50));
    STRCMP_EQUAL("gone", stateOf("desk-a").c_str());
}

/// The list may lack for seconds what the endpoint says itself.
TEST(AnEndpointThatLeaves, getsNoNewRequestsOnceAnAnswerHasSaidSo)
{
    bed.kernel.onHead(bed.now, sendTo("desk-a"), leavingHead());
    STRCMP_EQUAL("draining", stateOf("desk-a").c_str());
    bed.advance(Ms(6000));
    for (int i = 0; i < 60; ++i) {
        bed.call("/book/seat");
        CHECK(bed.driver.sent.back().endpoint != "desk-a");
    }
}

/// The head of a stream arrives long before its end.
TEST(AnEndpointThatLeaves, isBelievedAsSoonAsTheHeadOfAStreamHasArrived)
{
    bed.call("/stream/x");
    const std::string first = bed.driver.sent.back().endpoint;
    bed.kernel.onHead(bed.now, bed.lastAttempt(), leavingHead());
    STRCMP_EQUAL("draining", stateOf(first).c_str());
}

/// Bytes of another process at a reused address, or a late answer to another request, say nothing about this endpoint.
TEST(AnEndpointThatLeaves, isNotBelievedInAnAnswerThatIsNotItsOwn)
{
    AnswerHead head = leavingHead();
    head.verified = false;
    bed.kernel.onHead(bed.now, sendTo("desk-a"), head);
    STRCMP_EQUAL("usable", stateOf("desk-a").c_str());
}

/// The answer of the process before arrives after the list has shown the next one.
TEST(AnEndpointThatLeaves, saysNothingAboutItsNextIncarnation)
{
    const AttemptId attempt = sendTo("desk-a");
    entry("desk-a").incarnation = 2;
    bed.advance(Ms(50));
    bed.kernel.onHead(bed.now, attempt, leavingHead());
    STRCMP_EQUAL("usable", stateOf("desk-a").c_str());
}

TEST(AnEndpointThatLeaves, isBelievedInItsReport)
{
    EndpointReport report;
    report.incarnation = 1;
    report.layers = {0, RelayTestBed::HalfLayers};
    report.leaving = true;
    bed.kernel.onReport(bed.now, "low-a", report);
    STRCMP_EQUAL("draining", stateOf("low-a").c_str());
}

/// An instance that has sent the endpoint no request since goes on sending until the list shows it.
TEST(AnEndpointThatLeaves, isNamedToTheOtherInstances)
{
    bed.kernel.onHead(bed.now, sendTo("desk-a"), leavingHead());
    bed.advance(Ms(150));
    const wire::RelayDigest digest = bed.driver.digests.back();
    LONGS_EQUAL(1, digest.leavingEndpoints.size());
    RelayTestBed other;
    other.kernel.onPeerMessage(other.now, digest);
    STRCMP_EQUAL("draining", stateIn(other.kernel, "desk-a").c_str());
    // The others pass it on, since some instances get its digests only through them.
    other.advance(Ms(150));
    LONGS_EQUAL(1, other.driver.digests.back().leavingEndpoints.size());
    // The list shows it to all: the digests need not repeat it.
    entry("desk-a").draining = true;
    bed.advance(Ms(700));
    LONGS_EQUAL(0, bed.driver.digests.back().leavingEndpoints.size());
}

TEST(AnEndpointThatLeaves, isNotMistakenForItsOtherIncarnationInADigest)
{
    wire::RelayDigest digest;
    digest.instance = "two";
    digest.leavingEndpoints = {{wire::endpointHash("desk-a"), 7}};
    bed.kernel.onPeerMessage(bed.now, digest);
    STRCMP_EQUAL("usable", stateOf("desk-a").c_str());
}

/// Guards against an endpoint that is lost to the fleet for good, since its next process inherits that the one before was leaving.
TEST(AnEndpointThatLeaves, isSoundAgainOnceAReportHasShownItsNextIncarnation)
{
    entry("low-a").draining = true;
    bed.advance(Ms(50));
    STRCMP_EQUAL("draining", stateOf("low-a").c_str());
    EndpointReport report;
    report.incarnation = 2;
    report.layers = {0, RelayTestBed::HalfLayers};
    bed.kernel.onReport(bed.now, "low-a", report);
    entry("low-a").draining = false;
    entry("low-a").incarnation = 2;
    bed.advance(Ms(3000));
    STRCMP_EQUAL("usable", stateOf("low-a").c_str());
    LONGS_EQUAL(0, bed.driver.digests.back().leavingEndpoints.size());
}

/// Guards against an endpoint that is never used again after its host's clock was set back: its later process has the lower incarnation.
TEST(AnEndpointThatLeaves, isSoundAgainOnceTheSameStoreListsALowerIncarnation)
{
    entry("desk-a").incarnation = 5000;
    bed.advance(Ms(50));
    entry("desk-a").draining = true;
    bed.advance(Ms(50));
    entry("desk-a").incarnation = 4000;
    entry("desk-a").draining = false;
    bed.advance(Ms(3000));
    STRCMP_EQUAL("usable", stateOf("desk-a").c_str());
}

/// Guards against new requests to an endpoint whose report says that it leaves and states no incarnation.
TEST(AnEndpointThatLeaves, isBelievedInAReportWithoutIncarnation)
{
    EndpointReport report;
    report.layers = {0, RelayTestBed::HalfLayers};
    report.leaving = true;
    bed.kernel.onReport(bed.now, "low-a", report);
    STRCMP_EQUAL("draining", stateOf("low-a").c_str());
}

/// Guards against a sound endpoint that is lost because another one at an address in use again says that it leaves itself.
TEST(AnEndpointThatLeaves, isNotTheOneThatTheRequestNamed)
{
    AnswerHead head{421, true, false, ""};
    head.leaving = true;
    bed.kernel.onHead(bed.now, sendTo("desk-a"), head);
    STRCMP_EQUAL("usable", stateOf("desk-a").c_str());
}

/// Guards against requests to an endpoint that is gone, on instances that get no further list because the list doesn't change.
TEST(AnEndpointThatLeaves, isGoneAfterItsGracePeriodAlsoWithoutAnotherList)
{
    restore();
    remove("desk-a");
    bed.advance(Ms(50));
    STRCMP_EQUAL("usable", stateOf("desk-a").c_str());
    bed.advance(Ms(5000), false);
    STRCMP_EQUAL("gone", stateOf("desk-a").c_str());
}
