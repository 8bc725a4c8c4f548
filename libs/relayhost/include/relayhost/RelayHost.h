#pragma once

#include "base/ErrorKind.h"
#include "mesh/Mesh.h"
#include "net/EventFrames.h"
#include "net/HeldBytes.h"
#include "net/HttpServer.h"
#include "record/DecisionLog.h"
#include "record/Latency.h"
#include "relayhost/CallerResponse.h"
#include "relayhost/Dialect.h"
#include "relayhost/ResidentBound.h"
#include "relayhost/StoreFollower.h"
#include "relayhost/WaitingBytes.h"

#include <array>
#include <thread>
#include <unordered_map>

namespace relayhost {

/// Carries out the kernel's decisions over HTTP, on one event loop.
///
/// The kernel, the HTTP servers and clients and the access to the store share one thread: the machines have a quarter of a core, and each
/// hand-over between threads costs wake-ups that use up CPU time. Only the log and the mesh have threads of their own.
class RelayHost : public relay::RelayDriver
{
public:
    /// Binds the listening addresses; throws base::ListenError, which names the use of the address, if one of them can't be bound. `settings` are the ones
    /// parsed from the file at `settingsPath`, which is read again when it changes. `dialect` must outlive the host.
    RelayHost(const Dialect &dialect, const StoreFactory &makeStore, HostSettings settings, std::string settingsPath);

    /// Registers the instance in the store and serves until the kernel calls exit().
    void run();

    /// Begins the shutdown, after which run() returns once all answers have reached their callers. Any thread may call this.
    void requestStop();

    /// Returns the address on which callers' requests are accepted, with the actual port.
    net::Address callersAddress() const;

    /// Returns the same for requests from other instances; port 0 if none are taken.
    net::Address handOversAddress() const;

    /// Returns the address on which operators' requests are answered, and the one on which messages from other instances are received.
    net::Address operatorsAddress() const
    {
        return metricsServer_->address();
    }
    const std::string &meshAddress() const
    {
        return mesh_.address();
    }

    void send(relay::Dispatch dispatch) override;
    void handOver(relay::HandOver order) override;
    void cancel(relay::AttemptId attempt) override;
    void reject(relay::CallId call, const relay::Rejection &rejection) override;
    void forward(relay::CallId call, relay::AttemptId attempt) override;
    void beginStream(relay::CallId call, relay::AttemptId attempt) override;
    void endStream(relay::CallId call, relay::AttemptId attempt) override;
    void continueStream(relay::CallId call, relay::AttemptId attempt) override;
    void breakStream(relay::CallId call) override;
    void readReport(const std::string &endpoint, const std::string &address) override;
    void checkEndpoint(const relay::EndpointCheck &check) override;
    void sendOrder(const relay::PlacementOrder &order) override;
    void sendDetour(const relay::Detour &detour) override;
    void readLease() override;
    void writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision) override;
    void readQuarantines() override;
    void writeQuarantine(const relay::QuarantineRecord &record) override;
    void removeQuarantine(std::uint64_t signature) override;
    void sendDigest(const std::vector<std::string> &addresses, const wire::RelayDigest &digest) override;
    void sendFreshnessRequest(const std::string &address, const wire::FreshnessRequest &freshnessRequest) override;
    void sendFreshnessReply(const std::string &address, const wire::FreshnessReply &freshnessReply) override;
    void followStore(relay::Ms spread) override;
    void unfollowStore() override;
    void refreshConfig() override;
    void refreshEndpoints() override;
    void setReady(bool ready) override;
    void closeConnections() override;
    void stopAccepting() override;
    std::size_t unfinishedExchanges() const override;
    void exit() override;
    void record(const relay::Decision &decision) override;

private:
    /// Messages of other instances that may wait for the event loop: a few seconds' worth of a large fleet.
    static constexpr std::size_t MaxWaitingMeshBytes = 4UL * 1024 * 1024;

    /// A caller's request whose answer has not been written in full.
    struct OpenCall {
        CallerResponse<net::HttpServer> response;
        net::HttpRequest request = {};
        std::string requestId = {};
        /// Another instance has handed the request over.
        bool isHandedOver = false;
        relay::Instant arrivedAt{0};
        /// Time at which events were last forwarded to the caller; zero before the first.
        relay::Instant lastEventAt{0};
    };

    /// An attempt that has not ended, with the part of its answer that has arrived.
    struct OpenAttempt {
        relay::CallId call = 0;
        net::ClientCallId clientCall = 0;
        /// Its connection has carried other requests before.
        bool isOnKeptConnection = false;
        int status = 0;
        net::Headers headers;
        /// The body; of a stream only the bytes after its last complete event.
        std::string body;
        /// Cuts that into events.
        net::EventScanner events;
        /// Counts the body.
        net::HeldBytes::Share held;
        /// The call is answered by a stream.
        bool mayStream = false;
        /// It is a hand-over to another instance.
        bool isHandOver = false;
        /// The answer is a verified stream of events, which is forwarded event by event.
        bool isStream = false;
    };

    /// Returns what an attempt's answer says. On a kept connection, only an answer with the request's id is proof that it has not run: one without
    /// an id may belong to an earlier request.
    relay::AnswerHead answerHead(const OpenAttempt &attempt, const std::string &requestId) const;
    /// Sends an endpoint a request of the router's own: a report request, a placement order or a detour. `timeout` limits the whole exchange.
    /// Exactly one of the handlers runs, in the loop's thread. Answers to these requests bear no id: one that must not be mistaken for the answer to an
    /// earlier request needs a fresh connection.
    void sendEndpointRequest(const std::string &address,
                             net::HttpRequest request,
                             relay::Ms timeout,
                             bool freshConnection,
                             std::function<void(const net::HttpResponse &)> onResponse,
                             std::function<void(net::CallFailure)> onFailure);

    /// Does the periodic work and schedules itself again, also if the work fails. Ends run() if it fails again and again.
    void tick();
    /// Returns the time until the next periodic work.
    relay::Instant tickPeriod() const;
    void doPeriodicWork();
    /// Runs a step, and logs an exception that it throws. Returns whether the step has ended without one.
    bool runLogged(std::string_view step, const std::function<void()> &run);
    /// Runs a step for a call. If it throws an exception, ends the call by an error answer, or cuts its stream: nobody knows any more how it goes on.
    void runForCall(relay::CallId call, const std::function<void()> &run);
    /// Applies the settings file if its text has changed. If the new text is invalid, the previous settings stay in use.
    void rereadSettings();
    /// Sets the backoff of failed reads of the store, which follows from the settings.
    void setStoreBackoff();
    /// Who has sent a request.
    enum class Origin {
        Caller,
        /// Another instance, which hands it over.
        Instance,
    };

    /// Returns the id of the call that an exchange becomes: each of the two servers counts its exchanges from 1.
    static relay::CallId callOf(Origin origin, net::ExchangeId exchange);
    /// Passes a request to the kernel as a new call; rejects it if it is malformed.
    void onRequest(Origin origin, net::ExchangeId exchange, net::HttpRequest request);
    /// Forgets a call whose exchange has ended, and logs it unless it was answered.
    void onExchangeEnded(relay::CallId call, net::ExchangeEnd end);
    /// Sends a request for a call to an endpoint or another instance; what comes back is reported under the attempt's id.
    void startAttempt(relay::AttemptId id, relay::CallId call, const std::string &receiver, net::ClientCall request);
    /// Logs that a connection has failed with an answer that its caller hasn't taken.
    void recordDeliveryFailure(const net::DeliveryFailure &failure);
    /// Logs the exchanges that the end of the process cuts off.
    void recordCutExchanges();
    /// Answers the readiness check, and serves the metrics, the status and the commands of operators, on either of the two servers.
    void onOperatorRequest(net::HttpServer &server, net::ExchangeId exchange, const net::HttpRequest &request);
    /// Passes a message from another instance to the kernel, in the event loop's thread; drops it if it is malformed, or too many wait there. Called in the
    /// mesh's thread.
    void onMeshMessage(const std::string &bytes);
    /// Logs that the kernel's decision on an answer didn't fit to what the caller has got, so that the connection was cut.
    void recordMisfit(relay::CallId call, const std::string &part);
    /// Adds the time to the first event, or since the previous forwarding of events, to the latency metrics.
    void recordEventLatency(relay::CallId call);
    /// Takes the status and headers of an attempt's answer, and passes what they say to the kernel.
    void onHead(relay::AttemptId id, const std::string &endpoint, int status, const net::Headers &headers);
    /// Takes a part of the body of an attempt's answer. Of a stream, forwards the complete events that the kernel permits.
    void onData(relay::AttemptId id, const std::string &data);
    /// Passes the end of an attempt's answer to the kernel.
    void onEnd(relay::AttemptId id);
    /// Tells the kernel that an attempt has ended without a whole answer, and how far it came.
    void onFailure(relay::AttemptId id, net::CallFailure failure, const std::string &progress);
    /// Ends an attempt whose answer is no answer, or takes too much memory.
    void giveUp(relay::AttemptId id, const std::string &reason);
    /// Logs that something was ended since its peer made the process hold too much.
    void recordOverLimit(net::PeerKind peerKind, std::size_t bytes, net::HeldBound bound);
    /// Returns the limits of the server for callers, by the configuration and by the memory and the descriptors of the settings.
    net::ServerLimits callerLimits(const relay::CallerLimits &limits) const;
    /// Logs how many connections were closed since there were too many.
    void recordTurnedAway();
    /// Logs messages of other instances that were dropped since the last call.
    void recordMeshDrops();
    /// Returns the metrics of the admission levels; empty if no service has requests of different priorities.
    std::string admissionMetricsText() const;
    /// Returns the metrics of what is held, by kind of peer.
    std::string heldMetricsText() const;
    /// Returns the metrics in the Prometheus text format.
    std::string metricsText() const;
    /// Returns the state of the instance as JSON, for operators.
    std::string statusText() const;
    StoreHandlers storeHandlers();
    /// Returns the handler with its exceptions logged, so that what calls it goes on.
    template<typename Handler>
    auto logged(std::string_view step, Handler handler)
    {
        return [this, step, handler](const auto &...arguments) {
            runLogged(step, [&]() { handler(arguments...); });
        };
    }
    net::HttpServer::Handlers callerHandlers(Origin origin);
    /// Counts a request that never came to the kernel.
    void countUnreadable(base::ErrorKind kind)
    {
        ++unreadableRequests_.at(static_cast<std::size_t>(kind));
    }
    /// Starts a server; a base::ListenError that this throws names the setting of the address.
    std::unique_ptr<net::HttpServer> listen(
        const std::string &setting, const net::Address &address, const net::ServerLimits &limits, net::HttpServer::Handlers handlers, net::PeerKind peerKind);
    /// Handlers of the readiness or metrics server that `server` will hold.
    net::HttpServer::Handlers operatorHandlers(std::unique_ptr<net::HttpServer> &server);

    const Dialect &dialect_;
    HostSettings settings_;
    std::string settingsPath_;
    /// Text of the settings file from which the current settings were parsed.
    std::string settingsText_;
    net::EventLoop loop_;
    /// Counts what peers make this process hold.
    net::HeldBytes held_;
    ResidentBound residentBound_;
    net::HttpClient endpointClient_;
    record::DecisionLog log_;
    relay::RelayKernel kernel_;
    StoreFollower store_;
    /// Messages from other instances on their way to the kernel.
    WaitingBytes meshMessages_{MaxWaitingMeshBytes};
    /// The dropped ones that the log has counted.
    std::uint64_t loggedMeshDrops_ = 0;
    mesh::Mesh mesh_;
    std::thread meshThread_;
    std::unique_ptr<net::HttpServer> callerServer_;
    /// Takes requests from other instances; null if the settings name no address for it.
    std::unique_ptr<net::HttpServer> handOverServer_;
    std::unique_ptr<net::HttpServer> readinessServer_;
    std::unique_ptr<net::HttpServer> metricsServer_;
    std::unordered_map<relay::CallId, OpenCall> calls_;
    std::unordered_map<relay::AttemptId, OpenAttempt> attempts_;
    /// Times from the arrival of a call to the first event of its stream.
    record::Latency firstEventLatency_;
    /// Times between two forwardings of events of one stream.
    record::Latency eventIntervals_;
    /// Times from the arrival of a call to its answer, for answers that aren't streams.
    record::Latency plainAnswerLatency_;
    /// Callers' requests that were read and whose answers were not written in full, for whatever reason.
    std::uint64_t unansweredExchanges_ = 0;
    /// Requests that the server itself has refused, or that lack what every request must have, by the error kind of their answer.
    std::array<std::uint64_t, base::ErrorKindCount> unreadableRequests_{};
    /// Callers' connections that were closed since there were too many, by reason, and those that the log has counted.
    std::array<std::uint64_t, net::TurnedAwayNames.size()> turnedAway_{};
    std::array<std::uint64_t, net::TurnedAwayNames.size()> loggedTurnedAway_{};
    relay::Instant turnedAwayLoggedAt_{0};
    /// Time of the last tick; zero before the first.
    relay::Instant lastTickAt_{0};
    /// Number of times that the periodic work has failed without a success in between.
    int failedTicks_ = 0;
    /// Time at which the settings file was last read.
    relay::Instant settingsReadAt_{0};
    /// Readiness checks are answered with 200 if this is set, otherwise with 503.
    bool ready_ = false;
    /// The kernel has been notified of the signal to stop.
    bool stopNotified_ = false;
};

/// Runs an instance from its settings file until it is stopped, and returns the exit code of the process: 0 after a regular stop, 2 for invalid
/// settings, 4 if an address can't be bound, 3 if another exception occurs. Stops on SIGTERM and SIGINT, and reads the settings file again on
/// SIGHUP.
int runInstance(const Dialect &dialect, const StoreFactory &makeStore, const std::string &settingsPath);

} // namespace relayhost
