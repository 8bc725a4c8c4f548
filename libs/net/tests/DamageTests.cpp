#include "SmallServer.h"
#include "net/EventFrames.h"

#include <CppUTest/TestHarness.h>

#include <random>

namespace {

/// Damages a text at one to four places: bytes are changed, dropped, doubled or swapped with what HTTP gives a meaning.
std::string damaged(std::string text, std::mt19937_64 &random)
{
    static const std::vector<std::string> meaningful = {"\r\n",
                                                        "\n",
                                                        "\r",
                                                        "\r\n\r\n",
                                                        ":",
                                                        " ",
                                                        "\t",
                                                        "0",
                                                        "-",
                                                        ",",
                                                        ";",
                                                        std::string(1, '\0'),
                                                        "\xff",
                                                        "chunked",
                                                        "Content-Length: 3\r\n",
                                                        "id: 7\n",
                                                        "\n\n"};
    const auto below = [&](std::size_t count) {
        return static_cast<std::size_t>(random() % count);
    };
    for (std::size_t places = 1 + below(4); places > 0 && !text.empty(); --places) {
        const std::size_t at = below(text.size());
        switch (below(5)) {
        case 0:
            text[at] = static_cast<char>(below(256));
            break;
        case 1:
            text.erase(at, 1 + below(8));
            break;
        case 2:
            text.insert(at, text.substr(at, 1 + below(16)));
            break;
        case 3:
            text.resize(at);
            break;
        default:
            text.insert(at, meaningful[below(meaningful.size())]);
        }
    }
    return text;
}

/// Returns whether the bytes are whole answers of SmallServer to /whole, the last of them perhaps a refusal.
bool areWholeAnswers(std::string_view bytes)
{
    constexpr std::string_view LengthField = "Content-Length: ";
    while (!bytes.empty()) {
        const std::size_t headerEnd = bytes.find("\r\n\r\n");
        const std::size_t lengthAt = bytes.find(LengthField);
        if (!bytes.starts_with("HTTP/1.1 ") || headerEnd == std::string_view::npos || lengthAt > headerEnd) {
            return false;
        }
        const std::size_t length = std::stoul(std::string(bytes.substr(lengthAt + LengthField.size(), 10)));
        if (bytes.size() < headerEnd + 4 + length) {
            return false;
        }
        bytes.remove_prefix(headerEnd + 4 + length);
    }
    return true;
}

} // namespace

/// Guards against damage that ends the process, holds a connection, or is answered by something else than whole answers.
TEST_GROUP(ADamagedRequest){};

TEST(ADamagedRequest, getsWholeAnswersOrNone)
{
    constexpr int Requests = 400;
    const std::vector<std::string> sound = {
        "GET /whole HTTP/1.1\r\nHost: a\r\nX-Field: value\r\n\r\n",
        "POST /whole HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
        "POST /whole HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nLate: 1\r\n\r\n"};
    net::ServerLimits limits = smallLimits();
    limits.requestTimeout = std::chrono::milliseconds(20);
    limits.idleTimeout = std::chrono::milliseconds(20);
    SmallServer server(limits);
    for (int seed = 1; seed <= Requests; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        const std::string request = damaged(sound[static_cast<std::size_t>(seed) % sound.size()], random);
        // Other targets of the server have answers of other kinds.
        const std::string bytes = request.find("/whole HTTP/1.1") == std::string::npos ? "GET /whole HTTP/1.1\r\n" + request : request;
        RawClient client(server.address());
        boost::system::error_code ignored;
        client.send(bytes, ignored);
        const std::string answers = client.receiveAll();
        const std::string text = "seed " + std::to_string(seed) + ": " + bytes;
        CHECK_TEXT(areWholeAnswers(answers), text.c_str());
    }
    RawClient client(server.address());
    client.send("GET /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(client.receiveAll().starts_with("HTTP/1.1 200"));
    CHECK(server.waitUntilFinished());
}

/// Guards against damage that is read past its end, or that makes more bytes of a stream than it has.
TEST_GROUP(ADamagedEventStream){};

TEST(ADamagedEventStream, isCutIntoEventsThatFollowEachOther)
{
    constexpr int Streams = 50000;
    const std::string sound = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: comment\n\nid: 18446744073709551615\ndata:\n\n";
    for (int seed = 1; seed <= Streams; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        const std::string stream = damaged(sound, random);
        std::size_t consumed = 0;
        while (const auto frame = net::firstEvent(std::string_view(stream).substr(consumed))) {
            const std::string text = "seed " + std::to_string(seed);
            CHECK_TEXT(!frame->bytes.empty() && frame->bytes.data() == stream.data() + consumed, text.c_str());
            CHECK_TEXT(frame->bytes.ends_with("\n\n") || frame->bytes.ends_with("\n\r\n"), text.c_str());
            consumed += frame->bytes.size();
            CHECK_TEXT(consumed <= stream.size(), text.c_str());
        }
    }
}
