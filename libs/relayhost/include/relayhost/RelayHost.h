#pragma once

#include "mesh/Mesh.h"
#include "net/HttpServer.h"
#include "record/DecisionLog.h"
#include "record/Latency.h"
#include "relayhost/Dialect.h"
#include "relayhost/StoreFollower.h"

#include <thread>
#include <unordered_map>

namespace relayhost {

/// Carries out what the kernel decides, over HTTP, on one event loop.
///
/// All duties share one thread: the machines have a quarter of a core, and each hop between threads costs wake-ups that are paid for.
/// Only the log and the mesh have threads of their own.
class RelayHost : public relay::RelayDriver
{
public:
    RelayHost(const Dialect &dialect, const StoreFactory &makeStore, HostSettings settings, std::string settingsPath);

    /// Runs until the kernel has ended the process.
    void run();

    void send(relay::Dispatch dispatch) override;
    void cancel(relay::AttemptId attempt) override;
    void reject(relay::CallId call, const relay::Rejection &rejection) override;
    void forward(relay::CallId call, relay::AttemptId attempt) override;
    void beginStream(relay::CallId call, relay::AttemptId attempt) override;
    void endStream(relay::CallId call) override;
    void breakStream(relay::CallId call) override;
    void readReport(const std::string &endpoint, const std::string &address) override;
    void sendOrder(const relay::PlacementOrder &order) override;
    void sendDetour(const relay::Detour &detour) override;
    void readLease() override;
    void writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision) override;
    void sendDigest(const std::vector<std::string> &addresses, const wire::RelayDigest &digest) override;
    void sendFreshnessRequest(const std::string &address, const wire::FreshnessRequest &question) override;
    void sendFreshnessReply(const std::string &address, const wire::FreshnessReply &answer) override;
    void followStore(bool follow) override;
    void refreshConfig() override;
    void refreshEndpoints() override;
    void setReady(bool ready) override;
    void closeConnections() override;
    void exit() override;
    void record(const relay::Decision &decision) override;

private:
    /// A caller's request that is under way.
    struct OpenCall {
        net::HttpRequest request;
        std::string requestId;
        relay::Instant arrivedAt{0};
        /// Of the last event that was passed on; zero before the first.
        relay::Instant eventAt{0};
    };

    /// A sending that is under way, with what has arrived of its answer.
    struct OpenAttempt {
        relay::CallId call = 0;
        net::ClientCallId clientCall = 0;
        int status = 0;
        net::Headers headers;
        /// The whole body, or what is left of a stream after its last whole event.
        std::string body;
        bool isStream = false;
    };

    /// One call to an endpoint that is no caller's request; exactly one of the handlers runs, in the loop's thread.
    void askEndpoint(const std::string &address,
                     net::HttpRequest request,
                     relay::Ms time,
                     std::function<void(const net::HttpResponse &)> onResponse,
                     std::function<void()> onFailure);

    void tick();
    void rereadSettings();
    void onRequest(net::ExchangeId exchange, net::HttpRequest request);
    void onOperatorRequest(net::HttpServer &server, net::ExchangeId exchange, const net::HttpRequest &request);
    void onMeshMessage(const std::string &bytes);
    /// Takes the times for the latency metrics.
    void noteEvents(relay::CallId call);
    void onData(relay::AttemptId id, const std::string &data);
    void onEnd(relay::AttemptId id);
    void onFailure(relay::AttemptId id, net::CallFailure failure);
    std::string metricsText() const;
    StoreHandlers storeHandlers();
    net::HttpServer::Handlers callerHandlers();
    net::HttpServer::Handlers operatorHandlers(std::unique_ptr<net::HttpServer> &server);

    const Dialect &dialect_;
    HostSettings settings_;
    std::string settingsPath_;
    std::string settingsText_;
    net::EventLoop loop_;
    net::HttpClient endpointClient_;
    record::DecisionLog log_;
    relay::RelayKernel kernel_;
    StoreFollower store_;
    mesh::Mesh mesh_;
    std::thread meshThread_;
    std::unique_ptr<net::HttpServer> callerServer_;
    std::unique_ptr<net::HttpServer> readinessServer_;
    std::unique_ptr<net::HttpServer> metricsServer_;
    std::unordered_map<relay::CallId, OpenCall> calls_;
    std::unordered_map<relay::AttemptId, OpenAttempt> attempts_;
    record::Latency firstEvent_;
    record::Latency betweenEvents_;
    record::Latency plainAnswer_;
    relay::Instant settingsReadAt_{0};
    bool ready_ = false;
    bool stopSeen_ = false;
};

/// Runs an instance from its settings file until it is stopped; the result is the exit code of the process.
int runInstance(const Dialect &dialect, const StoreFactory &makeStore, const std::string &settingsPath);

} // namespace relayhost
