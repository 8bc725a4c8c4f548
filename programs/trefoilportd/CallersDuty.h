#pragma once

#include "KernelDuty.h"
#include "net/HttpServer.h"
#include "record/Latency.h"
#include "relayhost/ResidentBound.h"
#include "settings/DaemonSettings.h"
#include "timeline/EventLog.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Serves callers and operators over HTTP: turns their requests into events for the kernel, and the kernel's answers into responses.
class CallersDuty
{
public:
    /// Starts to listen; throws std::runtime_error if the address can't be bound. `events` is the timeline that /admin/timeline returns.
    CallersDuty(const settings::DaemonSettings &settings, DaemonRings &rings, const timeline::EventLog &events);

    /// Returns the address that is listened on, with the actual port.
    net::Address address() const
    {
        return server_.address();
    }

    /// Returns further lines for /metrics, in the Prometheus text format, with the figures of other duties. Set it before run().
    std::function<std::string()> extraMetrics;

    /// Takes lines for the log. Optional; set it before run().
    std::function<void(const std::string &)> log;

    /// Runs the event loop in the calling thread until stop().
    void run();

    /// Ends run() from any thread, once all answers that the kernel has given have reached their callers, or after some seconds. The kernel must have ended:
    /// requests that it hasn't taken are rejected.
    void stop();

private:
    /// A request whose answer is not complete.
    struct OpenCall {
        /// Set for completions only.
        std::optional<trefoilport::CompletionRequest> completion;
        /// Tokens so far of a completion that is not streamed.
        std::vector<std::string> tokens;
        /// The header of a streamed answer has been sent.
        bool streaming = false;
        /// The answer to a status request is the metrics in the Prometheus text format instead of the status as JSON.
        bool isMetricsRequest = false;
        base::Instant arrivedAt{0};
        /// When the latest token arrived from the kernel; 0 before the first token.
        base::Instant lastTokenAt{0};
    };

    void onRequest(net::ExchangeId id, net::HttpRequest request);
    /// Answers a request of an operator, which must carry the operators' key.
    void onAdmin(net::ExchangeId id, const net::HttpRequest &request, const std::string &keySha256);
    void onCompletion(net::ExchangeId id, const net::HttpRequest &request, const std::string &keySha256, bool chat);
    /// Passes a call to a plain service to the kernel: any request whose path is none of the router's own.
    void onService(net::ExchangeId id, net::HttpRequest request, const std::string &keySha256);
    /// Rejects the calls that the kernel has not answered: they were never taken, since it answers all that it knows before it ends.
    void rejectOpenCalls();
    /// Ends the event loop when all answers are delivered, at the deadline at the latest.
    void endWhenDelivered(base::Instant deadline);
    void handleActions();
    static void reportException(std::string_view text);
    /// Answers a call with an error, or cuts its stream, and tells the kernel that it has ended.
    void fail(net::ExchangeId id);
    /// Does so for the call of an action that could not be carried out, if it has one.
    template<typename FailedAction>
    void failCallOf(const FailedAction &action)
    {
        if constexpr (requires { action.call; }) {
            fail(action.call);
        }
    }
    void flushPeriodically();
    /// Logs which callers were given up or turned away since the last line.
    void logTurnedAway();
    void carryOut(const trefoilport::AnswerToken &action);
    void carryOut(const trefoilport::AnswerEnd &action);
    void carryOut(const trefoilport::AnswerFailure &action);
    void carryOut(const trefoilport::AnswerService &action);
    void carryOut(const trefoilport::AnswerModels &action);
    void carryOut(const trefoilport::AnswerStatus &action);
    void carryOut(const trefoilport::SetReady &action);
    void carryOut(const trefoilport::StopAccepting &action);
    /// Ignores the actions of the other duties.
    template<typename OtherAction>
    void carryOut(const OtherAction &)
    {
    }
    /// Returns the body of /metrics in the Prometheus text format.
    std::string metricsBody(const trefoilport::StatusReport &status) const;

    const settings::DaemonSettings &settings_;
    DaemonRings &rings_;
    const timeline::EventLog &events_;
    net::EventLoop loop_;
    /// Counts what callers make the process hold.
    net::HeldBytes held_;
    relayhost::ResidentBound residentBound_;
    /// Callers' connections that were closed since there were too many, by reason.
    std::array<std::uint64_t, net::TurnedAwayNames.size()> turnedAway_{};
    /// What the log has counted of these, and of the callers that were given up; when it did.
    std::array<std::uint64_t, net::TurnedAwayNames.size()> loggedTurnedAway_{};
    std::uint64_t loggedEnded_ = 0;
    base::Instant turnedAwayLoggedAt_{0};
    net::HttpServer server_;
    /// Open calls by exchange; the exchange's id is also the kernel's call id.
    std::map<net::ExchangeId, OpenCall> openCalls_;
    /// Time from a completion's arrival to its first token.
    record::Latency firstTokenLatency_;
    /// Time between consecutive tokens of a completion.
    record::Latency interTokenLatency_;
    /// stop() was called.
    bool stopping_ = false;
    /// Whether /readyz answers 200 instead of 503.
    bool ready_ = false;
};

/// Returns the SHA-256 of a text in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

/// Renders a status report as the JSON body of /admin/status.
std::string toJson(const trefoilport::StatusReport &status);
