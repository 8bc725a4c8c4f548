#include "platform/PlatformClient.h"

#include <charconv>

namespace platform {

namespace {

constexpr std::chrono::milliseconds CallTimeout{2000};
constexpr std::chrono::milliseconds ConnectTimeout{500};

/// Returns the object version in a response's header; 0 if there is none.
std::uint64_t versionIn(const net::HttpResponse &response)
{
    const std::string_view text = net::headerIn(response.headers, "X-Version");
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

/// Converts a response to read() or watch(). Any status but 200, 304 and 404 means Unavailable.
ReadResult toReadResult(net::HttpResponse response, std::uint64_t knownVersion)
{
    switch (response.status) {
    case 200:
        return {wire::StoreStatus::Ok, versionIn(response), std::move(response.body)};
    case 304:
        return {wire::StoreStatus::Ok, knownVersion, {}};
    case 404:
        return {wire::StoreStatus::NotFound, 0, {}};
    default:
        return {};
    }
}

/// Converts a response to write(). After an unexpected status the write may have taken effect, so the result is Ambiguous.
WriteResult toWriteResult(const net::HttpResponse &response)
{
    switch (response.status) {
    case 200:
        return {wire::StoreStatus::Ok, versionIn(response)};
    case 412:
        return {wire::StoreStatus::Conflict, 0};
    case 429:
    case 503:
        return {wire::StoreStatus::Unavailable, 0}; // The platform sends these statuses only for writes that it refused before making them.
    default:
        return {wire::StoreStatus::Ambiguous, 0};
    }
}

} // namespace

PlatformClient::PlatformClient(net::EventLoop &loop, net::Address address)
    : client_(loop)
    , address_(std::move(address))
{
}

net::ClientCall PlatformClient::callFor(const std::string &method, const std::string &target) const
{
    net::ClientCall call;
    call.address = address_;
    call.request.method = method;
    call.request.target = target;
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = CallTimeout;
    return call;
}

void PlatformClient::read(const std::string &key, const std::function<void(ReadResult)> &done)
{
    client_.fetch(
        callFor("GET", "/objects/" + key),
        [done](net::HttpResponse response) { done(toReadResult(std::move(response), 0)); },
        [done](net::CallFailure) { done({}); });
}

void PlatformClient::watch(const std::string &key, std::uint64_t knownVersion, std::chrono::milliseconds maxWait, const std::function<void(ReadResult)> &done)
{
    net::ClientCall call = callFor("GET", "/watch/" + key + "?after=" + std::to_string(knownVersion) + "&wait_ms=" + std::to_string(maxWait.count()));
    call.totalTimeout = CallTimeout + maxWait;
    client_.fetch(
        std::move(call),
        [done, knownVersion](net::HttpResponse response) { done(toReadResult(std::move(response), knownVersion)); },
        [done](net::CallFailure) { done({}); });
}

void PlatformClient::write(const std::string &key, std::string value, std::uint64_t expectedVersion, const std::function<void(WriteResult)> &done)
{
    net::ClientCall call = callFor("PUT", "/objects/" + key);
    if (expectedVersion == 0) {
        call.request.headers.emplace_back("If-None-Match", "*");
    } else {
        call.request.headers.emplace_back("If-Match", std::to_string(expectedVersion));
    }
    call.request.body = std::move(value);
    client_.fetch(
        std::move(call),
        [done](const net::HttpResponse &response) { done(toWriteResult(response)); },
        [done](net::CallFailure failure) {
            done({failure == net::CallFailure::NotSent ? wire::StoreStatus::Unavailable : wire::StoreStatus::Ambiguous, 0});
        });
}

void PlatformClient::list(const std::function<void(std::optional<Listing>)> &done)
{
    client_.fetch(
        callFor("GET", "/instances"),
        [done](const net::HttpResponse &response) { done(response.status == 200 ? parseListing(response.body) : std::nullopt); },
        [done](net::CallFailure) { done(std::nullopt); });
}

} // namespace platform
