#include "base/Hash.h"
#include "net/HttpServer.h"
#include "platform/PlatformClient.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <thread>

namespace {

/// How the fake platform responds to requests.
enum class Behaviour {
    Answer,
    /// Receives the request, then closes the connection without a response.
    BreakConnection,
    /// Never responds.
    Silent,
};

/// A fake platform that gives the same response to every request.
class FakePlatform
{
public:
    FakePlatform()
    {
        net::HttpServer::Handlers handlers;
        handlers.onRequest = [this](net::ExchangeId id, const net::HttpRequest &request) {
            lastRequest = request;
            if (behaviour == Behaviour::Answer) {
                server_->respond(id, response);
            } else if (behaviour == Behaviour::BreakConnection) {
                server_->abort(id);
            }
        };
        handlers.onAbort = [](net::ExchangeId) {
        };
        handlers.refusal = [](net::RefusalKind) {
            return net::HttpResponse{400, {}, ""};
        };
        server_.emplace(loop_, net::Address{"127.0.0.1", 0}, net::ServerLimits{}, handlers);
        address = server_->address();
        thread_ = std::thread([this]() { loop_.run(); });
    }

    ~FakePlatform()
    {
        loop_.stop();
        thread_.join();
    }

    Behaviour behaviour = Behaviour::Answer;
    net::HttpResponse response;
    net::HttpRequest lastRequest;
    net::Address address;

private:
    net::EventLoop loop_;
    std::optional<net::HttpServer> server_;
    std::thread thread_;
};

platform::WriteResult write(const net::Address &address, std::uint64_t expected)
{
    net::EventLoop loop;
    platform::PlatformClient client(loop, address);
    platform::WriteResult result;
    client.write("a/b", "value", expected, [&](const platform::WriteResult &got) {
        result = got;
        loop.stop();
    });
    loop.run();
    return result;
}

platform::ReadResult read(const net::Address &address)
{
    net::EventLoop loop;
    platform::PlatformClient client(loop, address);
    platform::ReadResult result;
    client.read("a/b", [&](platform::ReadResult got) {
        result = std::move(got);
        loop.stop();
    });
    loop.run();
    return result;
}

/// The statuses that write() and read() must report for one behaviour of the platform.
struct ContractCase {
    const char *name;
    Behaviour behaviour;
    int status;
    wire::StoreStatus write;
    wire::StoreStatus read;
};

constexpr ContractCase Contract[] = {
    {"taken", Behaviour::Answer, 200, wire::StoreStatus::Ok, wire::StoreStatus::Ok},
    {"the object has another version", Behaviour::Answer, 412, wire::StoreStatus::Conflict, wire::StoreStatus::Unavailable},
    {"no such object exists", Behaviour::Answer, 404, wire::StoreStatus::Ambiguous, wire::StoreStatus::NotFound},
    {"over the rate limit", Behaviour::Answer, 429, wire::StoreStatus::Unavailable, wire::StoreStatus::Unavailable},
    {"down", Behaviour::Answer, 503, wire::StoreStatus::Unavailable, wire::StoreStatus::Unavailable},
    {"failed inside the platform", Behaviour::Answer, 500, wire::StoreStatus::Ambiguous, wire::StoreStatus::Unavailable},
    {"answer lost", Behaviour::BreakConnection, 0, wire::StoreStatus::Ambiguous, wire::StoreStatus::Unavailable},
    {"no answer", Behaviour::Silent, 0, wire::StoreStatus::Ambiguous, wire::StoreStatus::Unavailable},
};

} // namespace

TEST_GROUP(TheObjectApisContract){};

TEST(TheObjectApisContract, mapsEachResponseToItsStatus)
{
    for (const ContractCase &row : Contract) {
        FakePlatform fake;
        fake.behaviour = row.behaviour;
        fake.response = {row.status, {{"X-Version", "7"}}, "stored"};
        const platform::WriteResult written = write(fake.address, 3);
        CHECK_TEXT(written.status == row.write, row.name);
        const platform::ReadResult got = read(fake.address);
        CHECK_TEXT(got.status == row.read, row.name);
        CHECK_TEXT(got.status != wire::StoreStatus::Ok || (got.version == 7 && got.value == "stored"), row.name);
    }
}

TEST(TheObjectApisContract, sendsTheConditionWithEveryWrite)
{
    FakePlatform fake;
    fake.response = {200, {{"X-Version", "1"}}, ""};
    write(fake.address, 3);
    STRCMP_EQUAL("3", std::string(net::headerIn(fake.lastRequest.headers, "If-Match")).c_str());
    write(fake.address, 0);
    STRCMP_EQUAL("*", std::string(net::headerIn(fake.lastRequest.headers, "If-None-Match")).c_str());
}

TEST(TheObjectApisContract, reportsUnavailableIfNoServerListens)
{
    CHECK(write({"127.0.0.1", 1}, 3).status == wire::StoreStatus::Unavailable);
}

TEST_GROUP(TheInstanceList){};

TEST(TheInstanceList, skipsEntriesThatItCannotParse)
{
    const wire::EndpointInfo engine{"e", wire::EndpointKind::Engine, "127.0.0.1:1", "z", 5, false, "tutor", 2, 4, 300, 9};
    const wire::InstanceInfo instance{"i", "127.0.0.1:2", "z", true, "127.0.0.1:3"};
    const auto listing = platform::parseListing("[" + platform::toJson(engine) + "," + platform::toJson(instance) + ",{\"kind\":\"engine\"},7]");
    CHECK(listing.has_value());
    LONGS_EQUAL(1, listing->endpoints.size());
    LONGS_EQUAL(4, listing->endpoints.front().endLayer);
    LONGS_EQUAL(9, listing->endpoints.front().capacity);
    CHECK(listing->instances.front().leaving);
}

TEST(TheInstanceList, doesNotCrashOnRandomlyDamagedText)
{
    const wire::EndpointInfo engine{"e", wire::EndpointKind::Engine, "127.0.0.1:1", "z", 5, false, "tutor", 2, 4, 300, 9};
    const std::string validText = "[" + platform::toJson(engine) + "]";
    base::Random random(11);
    for (int round = 0; round < 20000; ++round) {
        std::string damagedText = validText;
        damagedText[random.nextBelow(damagedText.size())] = static_cast<char>(32 + random.nextBelow(95));
        damagedText[random.nextBelow(damagedText.size())] = static_cast<char>(32 + random.nextBelow(95));
        (void)platform::parseListing(damagedText);
    }
}
