#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace net {

/// Connections that wait for their next use, by the address that they lead to, limited in number and in time. Servers come and go at new addresses; without a
/// limit in time, the connections to those that are gone would stay for good.
template<typename Connection>
class IdleConnections
{
public:
    using Time = std::chrono::steady_clock::time_point;
    using Ms = std::chrono::milliseconds;

    /// Keeps at most `maxPerAddress` connections to one address, each for `maxIdleTime` at most.
    IdleConnections(std::size_t maxPerAddress, Ms maxIdleTime)
        : maxPerAddress_(maxPerAddress)
        , maxIdleTime_(maxIdleTime)
    {
    }

    /// Keeps a connection, for a shorter time if the server states that it closes it after `serverTimeout`. Drops it, and so closes it, if there are enough to
    /// this address. Drops those whose time has passed, to any address.
    void keep(const std::string &address, Connection connection, Time now, std::optional<Ms> serverTimeout)
    {
        if (now >= sweptAt_ + SweepPeriod) {
            sweep(now);
        }
        const Ms idleTime = std::min(maxIdleTime_, serverTimeout ? *serverTimeout - std::min(ServerTimeoutMargin, *serverTimeout / 2) : maxIdleTime_);
        std::vector<Entry> &list = entries_[address];
        if (list.size() < maxPerAddress_) {
            list.push_back({std::move(connection), now + idleTime});
        }
    }

    /// Takes the connection to an address that was kept last, of those whose time hasn't passed; none if there is none.
    std::optional<Connection> take(const std::string &address, Time now)
    {
        const auto found = entries_.find(address);
        if (found == entries_.end()) {
            return std::nullopt;
        }
        std::optional<Connection> taken;
        while (!taken && !found->second.empty()) {
            Entry entry = std::move(found->second.back());
            found->second.pop_back();
            if (now < entry.closeAt) {
                taken = std::move(entry.connection);
            }
        }
        if (found->second.empty()) {
            entries_.erase(found);
        }
        return taken;
    }

    /// Returns the number of connections to all addresses.
    std::size_t size() const
    {
        std::size_t count = 0;
        for (const auto &[address, list] : entries_) {
            count += list.size();
        }
        return count;
    }

private:
    /// A connection, and the time until which it may be used again.
    struct Entry {
        Connection connection;
        Time closeAt;
    };

    /// The server's time begins earlier than ours, and a request needs some time to reach it.
    static constexpr Ms ServerTimeoutMargin{500};
    static constexpr Ms SweepPeriod{1000};

    /// Drops the connections whose time has passed.
    void sweep(Time now)
    {
        sweptAt_ = now;
        for (auto &[address, list] : entries_) {
            std::erase_if(list, [&](const Entry &entry) { return now >= entry.closeAt; });
        }
        std::erase_if(entries_, [](const auto &item) { return item.second.empty(); });
    }

    std::size_t maxPerAddress_;
    Ms maxIdleTime_;
    /// Connections by address, the one that was kept last at the end.
    std::unordered_map<std::string, std::vector<Entry>> entries_;
    /// When the connections whose time has passed were last dropped.
    Time sweptAt_{};
};

} // namespace net
