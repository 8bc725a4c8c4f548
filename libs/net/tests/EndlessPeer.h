#pragma once

#include "RawClient.h"

#include <string>

/// Bytes that a peer sends without end.
struct EndlessBytes {
    const char *what;
    /// What it sends first.
    std::string begin;
    /// What it repeats then.
    std::string piece;
    /// Status of the refusal, if there is one.
    int status = 0;
};

/// Bytes after which a test gives up: far more than any bound permits.
inline constexpr std::size_t EndlessTotalBytes = 32 * 1024 * 1024;
/// Bytes after which a test gives up a peer that sends them one by one.
inline constexpr std::size_t EndlessSingleBytes = 128 * 1024;

/// Returns the piece as often as fits into a large write.
inline std::string manyOf(const std::string &piece)
{
    constexpr std::size_t WriteBytes = 16 * 1024;
    std::string many;
    while (many.size() < WriteBytes) {
        many += piece;
    }
    return many;
}

/// Sends the bytes without end, as fast as it can, until the other side sends something or closes. Returns false if it does neither.
inline bool sendWithoutEnd(RawClient &client, const EndlessBytes &bytes, std::size_t totalBytes = EndlessTotalBytes)
{
    boost::system::error_code error;
    client.send(bytes.begin, error);
    const std::string many = manyOf(bytes.piece);
    for (std::size_t sent = 0; sent < totalBytes; sent += many.size()) {
        if (error || client.hasInput() || client.isClosed()) {
            return true;
        }
        client.send(many, error);
    }
    return false;
}

/// Does the same byte by byte.
inline bool sendByteByByte(RawClient &client, const EndlessBytes &bytes)
{
    boost::system::error_code error;
    client.send(bytes.begin, error);
    for (std::size_t sent = 0; sent < EndlessSingleBytes; ++sent) {
        if (error || client.hasInput() || client.isClosed()) {
            return true;
        }
        client.send(std::string(1, bytes.piece[sent % bytes.piece.size()]), error);
    }
    return false;
}
