#pragma once

#include "net/HttpClient.h"
#include "relay/RelayKernel.h"
#include "relayhost/HostSettings.h"

#include <functional>
#include <memory>

namespace relayhost {

/// A caller's request in the kernel's terms.
struct DecodedCall {
    relay::CallArrival arrival;
    /// It lacks what every request must have.
    bool isMalformed = false;
};

/// The messages of one platform. Translates and decides nothing; all members may be called from the loop's thread only.
class Dialect
{
public:
    virtual ~Dialect() = default;

    /// None with the reason if the settings file can't be used.
    virtual base::Result<HostSettings> parseSettings(const std::string &text) const = 0;

    virtual DecodedCall decodeCall(relay::CallId call, const net::HttpRequest &request) const = 0;
    /// The request as it goes to an endpoint.
    virtual net::HttpRequest encodeDispatch(const net::HttpRequest &original, const relay::Dispatch &dispatch) const = 0;
    /// What an endpoint's answer says to the router.
    virtual relay::AnswerHead decodeAnswer(int status, const net::Headers &headers, const std::string &requestId) const = 0;
    /// True if the answer is a stream of events that may be passed on.
    virtual bool isEventStream(int status, const net::Headers &headers) const = 0;
    /// The router's own answer.
    virtual net::HttpResponse encodeRejection(const relay::Rejection &rejection, const std::string &requestId) const = 0;

    virtual net::HttpRequest encodeReportRequest(const std::string &endpoint) const = 0;
    virtual std::optional<relay::EndpointReport> decodeReport(const net::HttpResponse &response) const = 0;
    virtual net::HttpRequest encodeOrder(const relay::PlaceOrder &order) const = 0;
    virtual relay::OrderOutcome decodeOrderAnswer(int status) const = 0;

    /// Paths of the readiness check and of the metrics.
    virtual std::string_view readinessPath() const = 0;
    virtual std::string_view metricsPath() const = 0;
};

/// What a store reports; all are called in the loop's thread.
struct StoreHandlers {
    /// The configuration is as of the time at which the read was sent; null if it is the one reported last.
    std::function<void(relay::Instant sentAt, relay::FleetConfigPtr)> onConfig;
    std::function<void(std::vector<relay::EndpointEntry>)> onEndpoints;
    std::function<void(std::uint64_t revision, relay::LeaseRecord)> onLease;
    /// Revision 0: not written, or unknown.
    std::function<void(relay::Instant sentAt, std::uint64_t revision)> onLeaseWritten;
    std::function<void(std::vector<relay::InstanceEntry>)> onInstances;
    /// True when the store answers again, false when it has stopped to.
    std::function<void(bool reachable)> onReachable;
    std::function<void(std::size_t damaged)> onDamaged;
};

/// The platform's store, as far as a relaying instance needs it.
class Store
{
public:
    virtual ~Store() = default;

    /// Enters this instance in the list of instances, and starts to read, again and again.
    virtual void start(const relay::InstanceEntry &own) = 0;
    /// Changes the store's address.
    virtual void setAddress(const net::Address &address) = 0;
    /// Whether to read continuously; it does so from the start.
    virtual void follow(bool follow) = 0;
    /// Reads once and now, also while it doesn't follow.
    virtual void refreshConfig() = 0;
    virtual void refreshEndpoints() = 0;
    virtual void readLease() = 0;
    virtual void writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision) = 0;
};

/// Makes the store's client on the host's loop.
using StoreFactory = std::function<std::unique_ptr<Store>(net::EventLoop &loop, const net::Address &address, StoreHandlers handlers)>;

} // namespace relayhost
