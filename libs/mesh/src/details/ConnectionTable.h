#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace mesh {

/// The open connections to peers by address, limited in number.
///
/// A connection that is in use is never closed to make room for another one. If the least recently used one were, a sender that goes round among more
/// peers than there is room for would close a connection and open another one for every message, and would lose what a closed one had not sent yet.
template<typename Connection>
class ConnectionTable
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Keeps at most `maxConnections`. One that has not been used for `idleTimeout` may be closed.
    ConnectionTable(std::size_t maxConnections, std::chrono::milliseconds idleTimeout)
        : maxConnections_(maxConnections)
        , idleTimeout_(idleTimeout)
    {
    }

    /// Returns the connection to a peer and counts this as a use. If there is none, calls `open` for a new one; returns null if there is no room for it.
    template<typename Open>
    Connection *use(const std::string &address, Time now, Open open)
    {
        auto found = entries_.find(address);
        if (found == entries_.end()) {
            if (entries_.size() >= maxConnections_) {
                closeIdle(now);
            }
            if (entries_.size() >= maxConnections_) {
                return nullptr;
            }
            found = entries_.emplace(address, Entry{open(), now}).first;
        }
        found->second.usedAt = now;
        return &found->second.connection;
    }

    /// Closes the connection to a peer, if there is one.
    void close(const std::string &address)
    {
        entries_.erase(address);
    }

    /// Closes the connections that have not been used for the idle timeout.
    void closeIdle(Time now)
    {
        std::erase_if(entries_, [&](const auto &entry) { return now >= entry.second.usedAt + idleTimeout_; });
    }

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct Entry {
        Connection connection;
        Time usedAt;
    };

    std::size_t maxConnections_;
    std::chrono::milliseconds idleTimeout_;
    std::map<std::string, Entry> entries_;
};

} // namespace mesh
