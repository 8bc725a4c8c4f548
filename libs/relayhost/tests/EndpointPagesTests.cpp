#include "relayhost/EndpointPages.h"

#include <CppUTest/TestHarness.h>

using namespace relayhost;

/// The list of endpoints of a store that sends whatever pages a test chooses.
TEST_GROUP(AListOfEndpointsInPages)
{
    static constexpr std::size_t StoreBytes = 1000;

    net::EventLoop loop;
    net::HeldBytes held{loop, limits()};
    /// Returns the page of that number, counted from 1; none if it can't be read.
    std::function<std::optional<EndpointPage>(int number)> pageOf;
    /// The name after which each page was asked for.
    std::vector<std::string> readAfter;
    EndpointPages pages{held, [this](const std::string &after, const EndpointPages::PageDone &done) {
                            readAfter.push_back(after);
                            loop.post([this, done, number = static_cast<int>(readAfter.size())]() { done(pageOf(number)); });
                        }};

    static net::HeldLimits limits()
    {
        net::HeldLimits limits;
        limits.of(net::PeerKind::Store) = StoreBytes;
        return limits;
    }

    /// Returns a page with one endpoint, after which the list goes on unless `nextAfter` is empty.
    static EndpointPage page(const std::string &id, const std::string &nextAfter, wire::StoreVersion version = {1, 7}, std::size_t bytes = 10)
    {
        EndpointPage page;
        page.entries.emplace_back().id = id;
        page.nextAfter = nextAfter;
        page.version = version;
        page.bytes = bytes;
        return page;
    }

    /// Reads the list once.
    std::optional<EndpointListing> read()
    {
        std::optional<EndpointListing> listing;
        pages.read([&](std::optional<EndpointListing> got) {
            listing = std::move(got);
            loop.stop();
        });
        loop.run();
        return listing;
    }
};

/// Guards against changes that are missed since they came between two pages: the watch begins where the oldest page was read.
TEST(AListOfEndpointsInPages, hasAllEntriesAndTheLowestVersion)
{
    pageOf = [](int number) {
        const std::vector<EndpointPage> all = {page("a", "a", {1, 8}), page("b", "b", {1, 6}), page("c", "", {1, 9})};
        return std::optional(all[static_cast<std::size_t>(number) - 1]);
    };
    const auto listing = read();
    CHECK(listing.has_value());
    LONGS_EQUAL(3, listing->entries.size());
    CHECK((listing->version == wire::StoreVersion{1, 6}));
    CHECK((readAfter == std::vector<std::string>{"", "a", "b"}));
    LONGS_EQUAL(0, held.bytes());
}

/// Guards against a list of two stores in one: what was read before a restore may not exist any more.
TEST(AListOfEndpointsInPages, isReadAgainIfTheStoreIsRestoredMeanwhile)
{
    pageOf = [](int number) {
        const std::vector<EndpointPage> all = {page("lost", "lost", {1, 8}), page("b", "b", {2, 5}), page("a", "a", {2, 5}), page("b", "", {2, 5})};
        return std::optional(all[static_cast<std::size_t>(number) - 1]);
    };
    const auto listing = read();
    CHECK(listing.has_value());
    LONGS_EQUAL(2, listing->entries.size());
    STRCMP_EQUAL("a", listing->entries.front().id.c_str());
    CHECK((readAfter == std::vector<std::string>{"", "lost", "", "a"}));
}

/// Guards against endpoints that are taken for removed, since the page that names them didn't come.
TEST(AListOfEndpointsInPages, isNoneIfAPageCannotBeRead)
{
    pageOf = [](int number) {
        return number == 1 ? std::optional(page("a", "a")) : std::nullopt;
    };
    CHECK(!read());
    LONGS_EQUAL(2, readAfter.size());
}

/// Guards against a list that is read for ever since a page names itself as the next.
TEST(AListOfEndpointsInPages, isGivenUpIfAPageLeadsNowhere)
{
    pageOf = [](int) {
        return std::optional(page("a", "a"));
    };
    CHECK(!read());
    LONGS_EQUAL(2, readAfter.size());
}

/// Guards against a list that is read for ever since its pages go round in a circle.
TEST(AListOfEndpointsInPages, isGivenUpIfItHasMorePagesThanAnyFleet)
{
    pageOf = [](int number) {
        const std::string id = number % 2 == 0 ? "a" : "b";
        return std::optional(page(id, id, {1, 7}, 0));
    };
    CHECK(!read());
    LONGS_EQUAL(256, readAfter.size());
}

/// Guards against a process that runs out of memory by a list, each page of which is small.
TEST(AListOfEndpointsInPages, isGivenUpIfItsPagesTakeTooMuchMemory)
{
    pageOf = [](int number) {
        const std::string id = std::to_string(number);
        return std::optional(page(id, id, {1, 7}, StoreBytes / 4));
    };
    CHECK(!read());
    LONGS_EQUAL(5, readAfter.size());
    LONGS_EQUAL(0, held.bytes());
    LONGS_EQUAL(1, held.ended(net::PeerKind::Store));
}
