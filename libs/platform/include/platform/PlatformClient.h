#pragma once

#include "net/HttpClient.h"
#include "wire/Platform.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace platform {

/// The result of reading an object from the platform's object store.
struct ReadResult {
    wire::StoreStatus status = wire::StoreStatus::Unavailable;
    /// The object's version; 0 if it doesn't exist or couldn't be read.
    std::uint64_t version = 0;
    std::string value;
};

/// The result of a conditional write to the platform's object store.
struct WriteResult {
    wire::StoreStatus status = wire::StoreStatus::Unavailable;
    /// The object's new version if the status is Ok, otherwise 0.
    std::uint64_t version = 0;
};

/// The content of the platform's instance list, which names endpoints as well as instances.
struct Listing {
    std::vector<wire::EndpointInfo> endpoints;
    std::vector<wire::InstanceInfo> instances;
};

/// A client of the platform's object store and instance list. Call all members in the event loop's thread; `done` is called there exactly once.
/// A call fails after 2 s, or after 0.5 s if no connection is established.
class PlatformClient
{
public:
    /// `address` is that of the platform's HTTP API.
    PlatformClient(net::EventLoop &loop, net::Address address);

    /// Reads an object. The status is NotFound if it doesn't exist, and Unavailable if the read fails in any other way.
    void read(const std::string &key, const std::function<void(ReadResult)> &done);

    /// Waits for at most `maxWait` until the object has another version than `knownVersion`, then reads it. If the version is still the known one,
    /// the result has this version and an empty value. The wait is added to the timeout of the call.
    void watch(const std::string &key, std::uint64_t knownVersion, std::chrono::milliseconds maxWait, const std::function<void(ReadResult)> &done);

    /// Writes an object if its version is `expectedVersion`; 0 means that it must not exist. The status is Conflict if it has another version,
    /// Unavailable if the write certainly had no effect, and Ambiguous if it may have had one, for example because the answer was lost.
    void write(const std::string &key, std::string value, std::uint64_t expectedVersion, const std::function<void(WriteResult)> &done);

    /// Reads the instance list; the result is nullopt if that fails.
    void list(const std::function<void(std::optional<Listing>)> &done);

private:
    net::ClientCall callFor(const std::string &method, const std::string &target) const;

    net::HttpClient client_;
    net::Address address_;
};

/// Parses the instance list from a JSON array. Returns nullopt if the text isn't a JSON array. Entries without an id are skipped, and so are
/// endpoints without an address or of an unknown kind; other missing fields get default values.
std::optional<Listing> parseListing(const std::string &json);

/// Returns the JSON object that describes an endpoint in the instance list.
std::string toJson(const wire::EndpointInfo &endpoint);

/// Returns the JSON object that describes an instance in the instance list.
std::string toJson(const wire::InstanceInfo &instance);

} // namespace platform
