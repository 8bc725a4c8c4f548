#pragma once

#include "KernelDuty.h"
#include "net/HttpServer.h"
#include "record/Latency.h"
#include "settings/DaemonSettings.h"
#include "timeline/EventLog.h"

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Serves callers and operators over HTTP: parses their requests into events and renders the kernel's answers.
class CallersDuty
{
public:
    /// Listens at once; throws std::runtime_error if the address can't be had.
    CallersDuty(const settings::DaemonSettings &settings, DaemonRings &rings, const timeline::EventLog &events);

    net::Address address() const
    {
        return server_.address();
    }

    /// Adds lines of the text exposition that other duties know; set before run().
    std::function<std::string()> extraMetrics;

    /// Runs in the duty's thread until stop(); answers that are queued by then are still sent.
    void run();
    void stop();

private:
    /// A call whose answer is not complete.
    struct Open {
        std::optional<trefoilport::CompletionRequest> completion;
        std::vector<std::string> tokens;
        bool streaming = false;
        bool metrics = false;
        base::Instant arrivedAt{0};
        base::Instant lastTokenAt{0};
    };

    void onRequest(net::ExchangeId id, net::HttpRequest request);
    void onAdmin(net::ExchangeId id, const net::HttpRequest &request, const std::string &keySha256);
    void onCompletion(net::ExchangeId id, const net::HttpRequest &request, const std::string &keySha256, bool chat);
    void onService(net::ExchangeId id, net::HttpRequest request, const std::string &keySha256);
    void drain();
    void keepFlushing();
    void carryOut(const trefoilport::AnswerToken &action);
    void carryOut(const trefoilport::AnswerEnd &action);
    void carryOut(const trefoilport::AnswerFailure &action);
    void carryOut(const trefoilport::AnswerService &action);
    void carryOut(const trefoilport::AnswerModels &action);
    void carryOut(const trefoilport::AnswerStatus &action);
    void carryOut(const trefoilport::SetReady &action);
    void carryOut(const trefoilport::StopAccepting &action);
    template<typename OtherAction>
    void carryOut(const OtherAction &)
    {
    }
    std::string metricsBody(const trefoilport::StatusReport &status) const;

    const settings::DaemonSettings &settings_;
    DaemonRings &rings_;
    const timeline::EventLog &events_;
    net::EventLoop loop_;
    net::HttpServer server_;
    std::map<net::ExchangeId, Open> open_;
    record::Latency firstToken_;
    record::Latency betweenTokens_;
    bool ready_ = false;
};

/// SHA-256 of a text, in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

/// A status report as JSON.
std::string toJson(const trefoilport::StatusReport &status);
