#pragma once

#include <optional>
#include <string>
#include <vector>

/// A message behind its first line, and where its body ends.
struct FramedBody {
    /// Header fields, each with its line end.
    std::string fields;
    /// The bytes behind the header.
    std::string bytes;
    /// The body; none if the message has to be refused, since its end is unclear.
    std::optional<std::string> body;
};

/// One table for all that read messages: they must agree on each row, or a body is read as a further message.
inline const std::vector<FramedBody> FramedBodies = {
    {"Content-Length: 5\r\n", "abcde", "abcde"},
    {"content-LENGTH:5\r\n", "abcde", "abcde"},
    {"Content-Length: \t 5 \t\r\n", "abcde", "abcde"},
    {"Content-Length: 005\r\n", "abcde", "abcde"},
    {"Content-Length: 0\r\n", "", ""},
    {"Content-Length: 5\r\nContent-Length: 6\r\n", "abcde", std::nullopt},
    {"Content-Length: 5, 6\r\n", "abcde", std::nullopt},
    {"Content-Length: 5 5\r\n", "abcde", std::nullopt},
    {"Content-Length: 0x5\r\n", "abcde", std::nullopt},
    {"Content-Length: +5\r\n", "abcde", std::nullopt},
    {"Content-Length: -5\r\n", "abcde", std::nullopt},
    {"Content-Length: 5.0\r\n", "abcde", std::nullopt},
    {"Content-Length: 18446744073709551621\r\n", "abcde", std::nullopt},
    {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "5\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Content-Length : 5\r\n", "abcde", std::nullopt},
    {"Content-Length\t: 5\r\n", "abcde", std::nullopt},
    {"Transfer-Encoding : chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n", "abcde"},
    {"TRANSFER-encoding:CHUNKED\r\n", "5\r\nabcde\r\n0\r\n\r\n", "abcde"},
    {"Transfer-Encoding: chunked\r\n", "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n", "abcde"},
    {"Transfer-Encoding: chunked\r\n", "00005\r\nabcde\r\n000\r\n\r\n", "abcde"},
    {"Transfer-Encoding: chunked\r\n", "a\r\nabcdefghij\r\n0\r\n\r\n", "abcdefghij"},
    {"Transfer-Encoding: chunked\r\n", "A\r\nabcdefghij\r\n0\r\n\r\n", "abcdefghij"},
    {"Transfer-Encoding: chunked\r\n", "5;name=value\r\nabcde\r\n0\r\n\r\n", "abcde"},
    {"Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\nX-Late: 1\r\n\r\n", "abcde"},
    {"Transfer-Encoding: chunked\r\n", "0\r\n\r\n", ""},
    {"Transfer-Encoding: chunked\r\n", "0x5\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "-5\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "+5\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "5\r\nabcdeX\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "5\r\nabcde0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "10000000000000005\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "5\nabcde\n0\n\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "g\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: gzip\r\n", "abcde", std::nullopt},
    {"Transfer-Encoding: gzip, chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked, chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: \x0b"
     "chunked\r\n",
     "5\r\nabcde\r\n0\r\n\r\n",
     std::nullopt},
    {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"X-Folded: a\r\n Content-Length: 9\r\nContent-Length: 5\r\n", "abcde", "abcde"},
    {"X-Split: a\nContent-Length: 5\r\n", "abcde", std::nullopt},
    {std::string("X-Nul: a\0b\r\n", 12) + "Content-Length: 5\r\n", "abcde", std::nullopt},
};

/// Rows on which a reader may decide either way, as long as all decide alike.
inline const std::vector<FramedBody> OpenFramedBodies = {
    {"Content-Length: 5\r\nContent-Length: 5\r\n", "abcde", std::nullopt},
    {"Content-Length: 5, 5\r\n", "abcde", std::nullopt},
    {"Content-Length:\r\n", "", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "5 \r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "5\t;x\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "5;x=\"\r\n\"\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0;last\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\nno field\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\nX: 1\n\n", std::nullopt},
    {"Transfer-Encoding: chunked,\r\n", "5\r\nabcde\r\n0\r\n\r\n", std::nullopt},
    {"Transfer-Encoding: , chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n", std::nullopt},
};
