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

    /// The knowledge of a reader that has read at that moment.
    wire::FreshnessAnswer answerTo(const wire::FreshnessQuestion &question, std::uint64_t version, Ms age)
    {
        const auto own = bed.driver.answers;
        bed.kernel.onPeerMessage(bed.now, wire::FreshnessQuestion{"peer-1", 1});
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
    bed.kernel.onPeerMessage(bed.now, wire::RelayDigest{"peer-3", false, {}, {}, {}, {}, 1, 12345});
    LONGS_EQUAL(1, bed.driver.endpointRefreshes);
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
    bed.kernel.onPeerMessage(bed.now, wire::FreshnessAnswer{999, 1, 0, 0, 0});
    bed.call("/book/seat");
    CHECK(bed.driver.sent.empty());
}
