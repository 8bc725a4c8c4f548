#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace settings {

/// The settings of one trefoilportd process, read from its own settings file. src/details/Tables.h defines the range of each number.
struct DaemonSettings {
    /// Id of the instance, unique in the fleet and unchanged by restarts.
    std::string id;
    /// Availability zone of the instance.
    std::string zone;
    /// Address at which callers and operators connect, as IP:port; with port 0 the operating system chooses a free port.
    std::string listen = "127.0.0.1:0";
    /// Address at which other instances connect, as IP:port.
    std::string mesh = "127.0.0.1:0";
    /// Address of the platform's object API and instance list, as IP:port.
    std::string platform;
    /// Mesh addresses of instances to contact while the instance list can't be read.
    std::vector<std::string> seeds;
    /// CURVE key pair of the fleet, encoded in Z85, or two empty strings for a mesh without encryption.
    std::string meshPublicKey;
    std::string meshSecretKey;
    /// SHA-256 of the operators' key in hexadecimal. If it is empty, all operator requests are refused.
    std::string operatorKeySha256;

    /// Maximum size of a request body.
    std::int64_t bodyBytes = 1048576;
    /// Maximum size of a request header.
    std::int64_t headerBytes = 16384;
    /// Maximum number of open caller connections.
    std::int64_t connections = 4096;
    /// Memory that the process may use, in megabytes. What callers make it hold is bounded by it.
    std::int64_t memoryMb = 4096;
    /// Time in which a caller must send a whole request.
    std::int64_t requestMs = 10000;
    /// Period of the gossip rounds.
    std::int64_t gossipMs = 250;
    /// Number of peers that each gossip round is sent to.
    std::int64_t gossipPeers = 2;
    /// Maximum number of other members' entries in one gossip message.
    std::int64_t gossipEntries = 64;
    /// Silence after which an instance counts as gone.
    std::int64_t suspectMs = 2000;
    /// How long a confirmation of the configuration, by the store or by peers, stays valid.
    std::int64_t confirmMs = 3000;
    /// Number of instances that poll the load of each endpoint.
    std::int64_t observers = 3;
    /// Period of the load polls.
    std::int64_t loadPollMs = 500;
    /// Period of the reads of the instance list.
    std::int64_t listPollMs = 1000;
    /// Number of store objects that the claims are spread over; must be the same on every instance.
    std::int64_t claimBuckets = 16;
    /// How long open calls may still run after a stop request.
    std::int64_t shutdownMs = 20000;
    /// Capacity of each ring buffer between threads, in items.
    std::int64_t ringItems = 4096;
    /// Number of events that are kept for the timeline.
    std::int64_t timelineEvents = 20000;
};

} // namespace settings
