#include "net/EventFrames.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

struct FrameRow {
    std::string bytes;
    net::FrameKind kind;
    std::uint64_t id = 0;
};

using net::FrameKind;

const std::vector<FrameRow> Frames = {
    {"id: 1\ndata: x\n\n", FrameKind::Event, 1},
    // Sound, though unusual.
    {"id:7\ndata:\n\n", FrameKind::Event, 7},
    {"id: 8\r\ndata: x\r\n\r\n", FrameKind::Event, 8},
    {"id: 9\ndata: x\n\r\n", FrameKind::Event, 9},
    {"data: x\nevent: token\nid: 10\n\n", FrameKind::Event, 10},
    {"x-weight-versions: 3\nid: 11\ndata: a\ndata: b\n\n", FrameKind::Event, 11},
    {": comment\nid: 12\nretry: 500\ndata: x\n\n", FrameKind::Event, 12},
    {"id: 13\nid: 13\ndata: x\n\n", FrameKind::Event, 13},
    {"id: 14\nsomething else\ndata: \xc3\x9f\x01 id: 3\n\n", FrameKind::Event, 14},
    {": comment\n\n", FrameKind::NoEvent},
    {":\n\n", FrameKind::NoEvent},
    {"retry: 500\n\n", FrameKind::NoEvent},
    {"\n\r\nid: 23\ndata: x\n\n", FrameKind::Event, 23},
    // Damaged.
    {"\xc3\x9f: 15\ndata: x\n\n", FrameKind::Unreadable},
    {"data: x\n\n", FrameKind::Unreadable},
    {"event: token\n\n", FrameKind::Unreadable},
    {"id\ndata: x\n\n", FrameKind::Unreadable},
    {"id:\ndata: x\n\n", FrameKind::Unreadable},
    {"Id: 16\ndata: x\n\n", FrameKind::Unreadable},
    {" id: 17\ndata: x\n\n", FrameKind::Unreadable},
    {"id: +18\ndata: x\n\n", FrameKind::Unreadable},
    {"id: 0x13\ndata: x\n\n", FrameKind::Unreadable},
    {"id: 2\xc3\ndata: x\n\n", FrameKind::Unreadable},
    {"id: 20\nid: 21\ndata: x\n\n", FrameKind::Unreadable},
    {"id: 20\nid: y\ndata: x\n\n", FrameKind::Unreadable},
    {"id: 22\rdata: x\n\n", FrameKind::Unreadable},
};

} // namespace

TEST_GROUP(AStreamOfEvents){};

/// Guards against an event being left out without a word since its id can't be read, and against sound events that count as damaged.
TEST(AStreamOfEvents, isCutIntoEventsAndWhatIsNone)
{
    for (const FrameRow &row : Frames) {
        const std::string stream = row.bytes + "id: 99\n";
        const auto frame = net::firstEvent(stream);
        CHECK_TEXT(frame.has_value(), row.bytes.c_str());
        CHECK_TEXT(frame->kind == row.kind, row.bytes.c_str());
        CHECK_TEXT(frame->kind != FrameKind::Event || frame->id == row.id, row.bytes.c_str());
        CHECK_TEXT(frame->bytes == row.bytes && frame->length == row.bytes.size(), row.bytes.c_str());
    }
}

/// Guards against frames that are read differently if they arrive in parts.
TEST(AStreamOfEvents, isTheSameWhenItArrivesByteByByte)
{
    std::string stream;
    for (const FrameRow &row : Frames) {
        stream += row.bytes;
    }
    net::EventScanner scanner;
    std::size_t begin = 0;
    std::size_t row = 0;
    for (std::size_t end = 0; end <= stream.size(); ++end) {
        while (const auto frame = scanner.next(std::string_view(stream).substr(begin, end - begin))) {
            CHECK(row < Frames.size());
            CHECK_TEXT(frame->bytes == Frames[row].bytes && frame->kind == Frames[row].kind, Frames[row].bytes.c_str());
            begin += frame->length;
            ++row;
        }
    }
    CHECK(!scanner.isWithinFrame());
    LONGS_EQUAL(Frames.size(), row);
    LONGS_EQUAL(stream.size(), begin);
}

/// Guards against a first event that counts as damaged since a byte order mark precedes it, and against a mark within a stream that its caller has begun.
TEST(AStreamOfEvents, mayBeginWithAByteOrderMark)
{
    const std::string stream = "\xef\xbb\xbfid: 1\ndata: x\n\n\xef\xbb\xbfid: 2\ndata: x\n\n";
    net::EventScanner scanner;
    for (std::size_t end = 0; end < 18; ++end) {
        CHECK(!scanner.next(std::string_view(stream).substr(0, end)));
    }
    const auto first = scanner.next(stream);
    CHECK(first && first->kind == FrameKind::Event);
    CHECK(first->bytes == "id: 1\ndata: x\n\n");
    LONGS_EQUAL(18, first->length);
    const auto second = scanner.next(std::string_view(stream).substr(18));
    CHECK(second && second->kind == FrameKind::Unreadable);
}

/// Guards against a whole stream that counts as broken off since blank lines follow its last event, and against the other error.
TEST(AStreamOfEvents, mayEndWithBlankLines)
{
    const std::string stream = "id: 1\ndata: x\n\n";
    for (const char *rest : {"", "\n", "\r\n", "\n\r\n"}) {
        net::EventScanner scanner;
        const std::string whole = stream + rest;
        CHECK(scanner.next(whole).has_value());
        CHECK(!scanner.next(std::string_view(whole).substr(stream.size())));
        CHECK_TEXT(!scanner.isWithinFrame(), rest);
    }
    for (const char *rest : {"i", "id: 2\n", "\nid: 2\ndata: x", "id: 2\ndata: x\n", ": comment"}) {
        net::EventScanner scanner;
        const std::string cut = stream + rest;
        CHECK(scanner.next(cut).has_value());
        CHECK(!scanner.next(std::string_view(cut).substr(stream.size())));
        CHECK_TEXT(scanner.isWithinFrame(), rest);
    }
}
