#pragma once

#include "KernelDuty.h"
#include "net/HttpClient.h"

#include <map>
#include <string>

/// Sends attempts to engines and services over HTTP and reports their frames, answers and failures to the kernel. Also probes the endpoints' load.
class EndpointsDuty
{
public:
    explicit EndpointsDuty(DaemonRings &rings);

    /// Runs the event loop in the calling thread until stop().
    void run();

    /// Ends run() from any thread.
    void stop();

private:
    void handleActions();
    void flushPeriodically();
    void start(const trefoilport::StartPipeline &action);
    void start(const trefoilport::StartService &action);
    /// Cancels an attempt and reports nothing further about it.
    void cancel(trefoilport::AttemptId attempt);
    void probe(const trefoilport::ProbeEndpoint &action);
    void onPipelineData(trefoilport::AttemptId attempt, const std::string &data);
    void onPipelineLine(trefoilport::AttemptId attempt, const std::string &line);
    /// Ends an attempt and reports its failure. `endpoint` is the id of the later stage that failed; empty if no such stage is known.
    void fail(trefoilport::AttemptId attempt, wire::AttemptFailure failure, const std::string &endpoint = {});

    /// An attempt whose answer is being read.
    struct RunningAttempt {
        net::ClientCallId call = 0;
        /// HTTP status of the answer; 0 before its header has arrived.
        int status = 0;
        net::Headers headers;
        /// The part of the answer after its last complete line.
        std::string buffer;
        bool ended = false;
    };

    DaemonRings &rings_;
    net::EventLoop loop_;
    net::HttpClient client_;
    std::map<trefoilport::AttemptId, RunningAttempt> running_;
};
