#include "SmallServer.h"

#include <CppUTest/TestHarness.h>

namespace {

/// What the client makes of an answer.
struct Fetched {
    std::optional<net::HttpResponse> response;
    std::optional<net::CallFailure> failure;
};

/// Sends parts of an answer one after the other to a client of ours.
Fetched fetchParts(const std::vector<std::string> &parts)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    std::thread thread([&]() {
        auto socket = acceptor.accept();
        socket.set_option(boost::asio::ip::tcp::no_delay(true));
        std::string received;
        boost::system::error_code error;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
        for (const std::string &part : parts) {
            boost::asio::write(socket, boost::asio::buffer(part), error);
            // So that the parts aren't read at once.
            std::this_thread::sleep_for(std::chrono::milliseconds(parts.size() > 1 ? 3 : 0));
        }
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    });
    net::ClientCall call;
    call.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    call.totalTimeout = std::chrono::seconds(20);
    net::EventLoop loop;
    net::HttpClient client(loop);
    Fetched fetched;
    client.fetch(
        std::move(call),
        [&](net::HttpResponse response) {
            fetched.response = std::move(response);
            loop.stop();
        },
        [&](net::CallFailure failure) {
            fetched.failure = failure;
            loop.stop();
        });
    loop.run();
    thread.join();
    return fetched;
}

Fetched fetch(const std::string &answer)
{
    return fetchParts({answer});
}

std::string withStatusLine(const std::string &line)
{
    return line + "\r\nContent-Length: 10\r\n\r\n0123456789";
}

std::string withField(const std::string &field)
{
    return "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 10\r\n\r\n0123456789";
}

void mustBeRefused(const Fetched &fetched, const std::string &text)
{
    CHECK_TEXT(!fetched.response, text.c_str());
    CHECK_TEXT(fetched.failure == net::CallFailure::Malformed, text.c_str());
}

void mustBeTaken(const Fetched &fetched, const std::string &text)
{
    CHECK_TEXT(fetched.response && fetched.response->body == "0123456789", text.c_str());
}

/// Bytes that no name of a field has (RFC 9110, section 5.6.2), but for the colon, which ends the name.
std::string bytesOfNoName()
{
    std::string bytes = "\"(),/;<=>?@[\\]{} \t";
    for (int byte = 0; byte < 256; ++byte) {
        const bool isEndOfLine = byte == '\r' || byte == '\n';
        const bool isPrintable = byte > ' ' && byte < 0x7f;
        if (!isEndOfLine && !isPrintable) {
            bytes += static_cast<char>(byte);
        }
    }
    return bytes;
}

} // namespace

/// Guards against MIXED: what a peer in trouble sends in place of an answer reaches a caller as one.
TEST_GROUP(AHeadThatIsNoHttp){};

TEST(AHeadThatIsNoHttp, isRefusedForItsStatus)
{
    for (const char *line : {"HTTP/1.1 000 OK",
                             "HTTP/1.1 001 OK",
                             "HTTP/1.1 020 OK",
                             "HTTP/1.1 099 OK",
                             "HTTP/1.1 600 OK",
                             "HTTP/1.1 999 OK",
                             "HTTP/1.1 20 OK",
                             "HTTP/1.1 2000 OK",
                             "HTTP/1.1 -20 OK",
                             "HTTP/1.1 +20 OK",
                             "HTTP/1.1 2x0 OK",
                             "HTTP/1.1  200 OK",
                             "HTTP/1.1 200OK",
                             "HTTP/1.1 200",
                             "HTTP/3.7 200 OK",
                             "HTTP/11 200 OK",
                             "HTTQ/1.1 200 OK",
                             " HTTP/1.1 200 OK",
                             "200 OK"}) {
        mustBeRefused(fetch(withStatusLine(line)), line);
    }
}

TEST(AHeadThatIsNoHttp, isRefusedForTheNameOfAField)
{
    for (const char byte : bytesOfNoName()) {
        for (const std::string &name : {std::string("X-Part") + byte + "Name", std::string(1, byte) + "X-Name", std::string("X-Name") + byte}) {
            const std::string text = "byte " + std::to_string(static_cast<unsigned char>(byte)) + " in " + name;
            mustBeRefused(fetch(withField(name + ": value")), text);
        }
    }
    for (const char *field : {": value", "No-Colon", "Content Length: 3", "Content-Length : 10", "Transfer\x01-Encoding: chunked", "Content-\tLength: 3"}) {
        mustBeRefused(fetch(withField(field)), field);
    }
}

TEST(AHeadThatIsNoHttp, isRefusedForTheValueOfAField)
{
    for (int byte = 0; byte < ' '; ++byte) {
        // A line may end with LF alone.
        if (byte != '\t' && byte != '\n') {
            mustBeRefused(fetch(withField(std::string("X-Name: a") + static_cast<char>(byte) + "b")), "byte " + std::to_string(byte));
        }
    }
    mustBeRefused(fetch(withField("X-Name: a\x7f")), "delete");
}

/// Guards against a name that is checked only in the part of it that one read brings, and against one longer than a read.
TEST(AHeadThatIsNoHttp, isRefusedWhereverItIsCutIntoParts)
{
    const std::string answer = withField("X-Part Name: value");
    for (std::size_t at = 1; at < answer.find("0123"); ++at) {
        mustBeRefused(fetchParts({answer.substr(0, at), answer.substr(at)}), "cut at " + std::to_string(at));
    }
    mustBeRefused(fetch(withField(std::string(5000, 'x') + " y: value")), "a long name");
}

TEST(AHeadThatIsNoHttp, isRefusedBeforeTheAnswerToo)
{
    for (const char *interim : {"HTTP/1.1 103 Early Hints\r\nX Link: a\r\n\r\n",
                                "HTTP/1.1 100 Continue\r\nX-\x02Link: a\r\n\r\n",
                                "HTTP/1.1 000 \r\n\r\n",
                                "HTTP/1.1 099 \r\n\r\n"}) {
        mustBeRefused(fetch(interim + withStatusLine("HTTP/1.1 200 OK")), interim);
    }
}

TEST(AHeadThatIsNoHttp, isRefusedBehindTheAnswerToo)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char *rest : {"a\r\n0123456789\r\n0\r\nX Late: a\r\n\r\n",
                             "a\r\n0123456789\r\n0\r\nX-\x03Late: a\r\n\r\n",
                             "a\r\n0123456789\r\n0\r\n: a\r\n\r\n",
                             "0xa\r\n0123456789\r\n0\r\n\r\n",
                             "+a\r\n0123456789\r\n0\r\n\r\n",
                             "-a\r\n0123456789\r\n0\r\n\r\n",
                             "a0123456789\r\n0\r\n\r\n",
                             "fffffffffffffffff\r\n0123456789\r\n0\r\n\r\n",
                             "\r\n0123456789\r\n0\r\n\r\n"}) {
        mustBeRefused(fetch(chunked + rest), rest);
    }
}

TEST(AHeadThatIsNoHttp, isRefusedForItsLength)
{
    for (const char *field : {"Content-Length: 9",
                              "Content-Length: x",
                              "Content-Length: +10",
                              "Content-Length: -10",
                              "Content-Length: 0xa",
                              "Content-Length:",
                              "Content-Length: 99999999999999999999999",
                              "Content-Length: 10 10",
                              "Transfer-Encoding: gzip"}) {
        mustBeRefused(fetch(withField(field)), field);
    }
}

/// Guards against the other error: sound answers, also unusual ones, that are refused.
TEST_GROUP(AnUnusualAnswer){};

TEST(AnUnusualAnswer, isTakenWithAnyStatusThatThereMayBe)
{
    for (int status = 200; status <= 599; ++status) {
        const bool hasBody = status != 204 && status != 304;
        const Fetched fetched = fetch(withStatusLine("HTTP/1.1 " + std::to_string(status) + " Whatever"));
        const std::string text = std::to_string(status);
        CHECK_TEXT(fetched.response && fetched.response->status == status, text.c_str());
        CHECK_TEXT(fetched.response->body == (hasBody ? "0123456789" : ""), text.c_str());
    }
}

TEST(AnUnusualAnswer, isTakenWithAnyReason)
{
    for (const char *line : {"HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 200 Every thing \xc3\x9f\t fine (really)"}) {
        mustBeTaken(fetch(withStatusLine(line)), line);
    }
}

TEST(AnUnusualAnswer, isTakenWithAnyFieldThatThereMayBe)
{
    const std::string longName(3000, 'n');
    const std::string longValue(4000, 'v');
    for (const std::string &field : {std::string("!#$%&'*+-.^_`|~09azAZ: value"),
                                     std::string("X-Empty:"),
                                     std::string("X-Blanks: \t  a \t b  "),
                                     std::string("X-High: \xc3\x9f\xff"),
                                     std::string("X-Marks: \"a\", (b); c=<d>, :e:"),
                                     std::string("x: 1\r\nX: 2"),
                                     longName + ": value",
                                     "X-Long: " + longValue}) {
        mustBeTaken(fetch(withField(field)), field);
    }
}

TEST(AnUnusualAnswer, isTakenInChunksOfAnyForm)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n";
    for (const char *rest : {"a\r\n0123456789\r\n0\r\n\r\n",
                             "A\r\n0123456789\r\n0\r\n\r\n",
                             "0000a\r\n0123456789\r\n000\r\n\r\n",
                             "a;name=value;other\r\n0123456789\r\n0;last\r\n\r\n",
                             "5\r\n01234\r\n5\r\n56789\r\n0\r\nX-Late: a\r\nx-later: b\r\n\r\n"}) {
        mustBeTaken(fetch(chunked + rest), rest);
    }
}

TEST(AnUnusualAnswer, isTakenBehindInterimHeads)
{
    mustBeTaken(fetch("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n"
                      + withStatusLine("HTTP/1.1 200 OK")),
                "interim heads");
}
