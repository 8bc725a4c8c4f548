#include "FakeDriver.h"
#include "base/Hash.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// An instance in a fleet of thirteen, of which three read the store for all.
TEST_GROUP(AnInstanceThatDoesNotReadTheStore)
{
    RelayBed bed;
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
        hearAll();
        pass(Ms(50), true);
    }

    void hearAll()
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
        digest.endpointsRevision = revision;
        return digest;
    }

    std::string stateOf(const std::string &id) const
    {
        const auto views = bed.kernel.endpoints();
        return std::find_if(views.begin(), views.end(), [&](const EndpointView &view) { return view.id == id; })->state;
    }

    /// The knowledge of a reader that has read at that moment.
    wire::FreshnessReply answerTo(const wire::FreshnessRequest &question, std::uint64_t version, Ms age)
    {
        const auto own = bed.driver.answers;
        bed.kernel.onPeerMessage(bed.now, wire::FreshnessRequest{"peer-1", 1});
        const std::uint64_t hash = bed.driver.answers.back().second.endpointsHash;
        return {question.number, version, static_cast<std::uint64_t>(age.count()), hash, static_cast<std::uint64_t>(age.count())};
    }

    void pass(Ms time, bool answered)
    {
        constexpr Ms Step{50};
        for (Ms done{0}; done < time; done += Step) {
            const std::size_t before = bed.driver.questions.size();
            bed.now += Step;
            hearAll();
            bed.kernel.onTick(bed.now);
            if (answered && bed.driver.questions.size() > before) {
                bed.kernel.onPeerMessage(bed.now, answerTo(bed.driver.questions.back().second, 1, Ms(100)));
            }
        }
    }
};

TEST(AnInstanceThatDoesNotReadTheStore, asksThoseThatDo)
{
    CHECK(std::find(readers.begin(), readers.end(), "10.0.0.1:7000") == readers.end());
    pass(Ms(10000), true);
    CHECK(!bed.driver.follows);
    CHECK(bed.driver.ready);
    CHECK(bed.driver.questions.size() >= 20);
    for (const auto &[address, question] : bed.driver.questions) {
        CHECK(std::find(readers.begin(), readers.end(), address) != readers.end());
    }
    bed.call("/book/seat");
    LONGS_EQUAL(1, bed.driver.sent.size());
}

TEST(AnInstanceThatDoesNotReadTheStore, readsByItselfWhenNobodyAnswers)
{
    pass(Ms(1000), true);
    CHECK(!bed.driver.follows);
    pass(Ms(3000), false);
    CHECK(bed.driver.follows);
}

TEST(AnInstanceThatDoesNotReadTheStore, readsAtOnceWhenAnotherKnowsANewerConfiguration)
{
    bed.kernel.onPeerMessage(bed.now, wire::RelayDigest{"peer-3", false, {}, {}, {}, {}, 2, 0});
    LONGS_EQUAL(1, bed.driver.configRefreshes);
}

/// The pattern: an endpoint is listed as leaving, and every instance must know it within seconds.
TEST(AnInstanceThatDoesNotReadTheStore, asksAtOnceForChangesThatAnotherKnows)
{
    const std::size_t before = bed.driver.questions.size();
    bed.kernel.onPeerMessage(bed.now, digestOf("peer-3", 12345, bed.storeRevision + 5));
    LONGS_EQUAL(before + 1, bed.driver.questions.size());
    STRCMP_EQUAL("10.0.1.3:7000", bed.driver.questions.back().first.c_str());
    LONGS_EQUAL(bed.storeRevision, bed.driver.questions.back().second.endpointsRevision);
    LONGS_EQUAL(0, bed.driver.endpointRefreshes);
}

TEST(AnInstanceThatDoesNotReadTheStore, takesTheChangesThatItIsTold)
{
    bed.kernel.onPeerMessage(bed.now, digestOf("peer-3", 12345, bed.storeRevision + 5));
    wire::FreshnessReply answer{bed.driver.questions.back().second.number, 1, 100, 0, 100, bed.storeRevision + 5, wire::EndpointListChanges{}};
    wire::EndpointRecord leaving{"high-a", "model", "high-a:1", "zone-a", 1, true, 100, "gpu", RelayBed::HalfLayers, 80, 0};
    answer.changes->changed.push_back(leaving);
    answer.changes->removed.push_back("low-b");
    bed.kernel.onPeerMessage(bed.now, answer);
    STRCMP_EQUAL("draining", stateOf("high-a").c_str());
    STRCMP_EQUAL("gone", stateOf("low-b").c_str());
    STRCMP_EQUAL("usable", stateOf("high-b").c_str());
}

TEST(AnInstanceThatDoesNotReadTheStore, readsTheStoreWhenChangesAreNotTold)
{
    bed.kernel.onPeerMessage(bed.now, digestOf("peer-3", 12345, bed.storeRevision + 5));
    pass(Ms(400), false);
    LONGS_EQUAL(1, bed.driver.endpointRefreshes);
}

TEST(AnInstanceThatDoesNotReadTheStore, readsTheStoreWhenTheChangesLeadToAnotherList)
{
    bed.kernel.onPeerMessage(bed.now, digestOf("peer-3", 12345, bed.storeRevision + 5));
    const std::uint64_t number = bed.driver.questions.back().second.number;
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessReply{number, 1, 100, 12345, 100, bed.storeRevision + 5, wire::EndpointListChanges{}});
    LONGS_EQUAL(1, bed.driver.endpointRefreshes);
}

/// The pattern: some instances are cut off from the store and go on naming an older list.
TEST(AnInstanceThatDoesNotReadTheStore, doesNotAskForAnOlderList)
{
    const std::size_t before = bed.driver.questions.size();
    bed.kernel.onPeerMessage(bed.now, digestOf("peer-3", 12345, bed.storeRevision - 1));
    LONGS_EQUAL(before, bed.driver.questions.size());
    pass(Ms(400), true);
    LONGS_EQUAL(0, bed.driver.endpointRefreshes);
}

/// The pattern: the answer to an earlier reading of the list arrives after a later one.
TEST(AnInstanceThatDoesNotReadTheStore, doesNotGoBackToAnOlderList)
{
    const std::vector<EndpointEntry> before = bed.entries;
    bed.entries.front().draining = true;
    bed.kernel.onEndpoints(bed.now, bed.entries, ++bed.storeRevision);
    bed.kernel.onEndpoints(bed.now, before, bed.storeRevision - 1);
    STRCMP_EQUAL("draining", stateOf("low-a").c_str());
}

TEST(AnInstanceThatDoesNotReadTheStore, tellsOthersWhatChangedSinceTheirRevision)
{
    const std::uint64_t theirs = bed.storeRevision;
    bed.entries.front().draining = true;
    bed.entries.pop_back();
    bed.kernel.onEndpoints(bed.now, bed.entries, ++bed.storeRevision);
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessRequest{"peer-1", 1, theirs});
    const auto changes = bed.driver.answers.back().second.changes;
    CHECK(changes.has_value());
    LONGS_EQUAL(1, changes->changed.size());
    STRCMP_EQUAL("low-a", changes->changed.front().id.c_str());
    LONGS_EQUAL(1, changes->removed.size());
    STRCMP_EQUAL("desk-c", changes->removed.front().c_str());
}

TEST(AnInstanceThatDoesNotReadTheStore, tellsNoChangesSinceBeforeItsOwnFirstList)
{
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessRequest{"peer-1", 1, 0});
    CHECK(!bed.driver.answers.back().second.changes.has_value());
}

/// The pattern: the instances that read for all are cut off from the store, but not from the others.
TEST(AnInstanceThatDoesNotReadTheStore, readsAndPlansInPlaceOfThoseThatAreCutOff)
{
    pass(Ms(1000), true);
    CHECK(!bed.driver.follows);
    for (int i = 0; i < 12; ++i) {
        wire::RelayDigest digest = digestOf("peer-" + std::to_string(i), 0, 0);
        digest.isStale = std::find(readers.begin(), readers.end(), "10.0.1." + std::to_string(i) + ":7000") != readers.end();
        bed.kernel.onPeerMessage(bed.now, digest);
    }
    const std::size_t before = bed.driver.questions.size();
    bed.now += Ms(400);
    bed.kernel.onTick(bed.now);
    const bool asksAnother =
        bed.driver.questions.size() > before && std::find(readers.begin(), readers.end(), bed.driver.questions.back().first) == readers.end();
    CHECK(bed.driver.follows || asksAnother);
}

/// The pattern: the answer hangs in a link, or the asking instance is suspended, and the knowledge looks young when it arrives.
TEST(AnInstanceThatDoesNotReadTheStore, countsAnAnswerFromItsQuestion)
{
    const std::size_t before = bed.driver.questions.size();
    while (bed.driver.questions.size() == before) {
        pass(Ms(50), false);
    }
    const auto question = bed.driver.questions.back().second;
    const Instant asked = bed.now;
    bed.now += Ms(4000);
    bed.kernel.onPeerMessage(bed.now, answerTo(question, 1, Ms(0)));
    bed.now = asked + Ms(4400);
    bed.call("/book/seat");
    LONGS_EQUAL(1, bed.driver.sent.size());
    bed.now = asked + Ms(4700);
    bed.call("/book/seat");
    LONGS_EQUAL(1, bed.driver.sent.size());
}

/// The pattern: a key was taken away; others know it, this instance can't read the new configuration.
TEST(AnInstanceThatDoesNotReadTheStore, isNotKeptYoungByAConfigurationThatItLacks)
{
    for (int i = 0; i < 100; ++i) {
        const std::size_t before = bed.driver.questions.size();
        bed.now += Ms(50);
        hearAll();
        bed.kernel.onTick(bed.now);
        if (bed.driver.questions.size() > before) {
            bed.kernel.onPeerMessage(bed.now, answerTo(bed.driver.questions.back().second, 2, Ms(0)));
        }
    }
    bed.call("/book/seat");
    CHECK(bed.driver.sent.empty());
    CHECK(bed.driver.configRefreshes > 0);
}

TEST(AnInstanceThatDoesNotReadTheStore, ignoresAnswersToNoQuestionOfItsOwn)
{
    pass(Ms(50), true);
    bed.now += Ms(4700);
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessReply{999, 1, 0, 0, 0});
    bed.call("/book/seat");
    CHECK(bed.driver.sent.empty());
}
