// A stand-in for an engine that holds a range of a model's layers. It computes each token from the state of all layers, so that a layer or token that is
// skipped, repeated or mixed up gives visibly wrong text. All requests share one serial resource: a decoding step takes step_us, and prefill handles eight
// tokens in a step.

#include "Computation.h"
#include "Endpoint.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <map>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to listen on");
DEFINE_string(platform, "", "IP:port of the platform");
DEFINE_string(id, "engine", "name in the instance list");
DEFINE_string(model, "tutor", "model");
DEFINE_string(zone, "zone-a", "availability zone");
DEFINE_int32(first_layer, 0, "first layer held");
DEFINE_int32(end_layer, 4, "one past the last layer held");
DEFINE_int32(step_us, 1000, "time for one decoding step, in microseconds");
DEFINE_int32(capacity, 16, "number of requests at once, as stated in the instance list");

namespace json = boost::json;

namespace {

constexpr std::uint32_t PrefillTokensPerStep = 8;
/// Sessions that were not used for this time are dropped. They are checked at the same interval.
constexpr std::chrono::seconds SessionIdleTimeout{5};
/// Timeout of a call to the next stage, which includes all stages after it.
constexpr std::chrono::milliseconds StageCallTimeout{20000};
/// A prompt with this mark, followed by the index of a stage, makes the process of that stage exit.
const std::string CrashMark = "CRASH-STAGE-";

/// The state of one request in this stage.
struct Session {
    standin::LayerRange layers;
    std::uint64_t position = 0;
    std::chrono::steady_clock::time_point lastUsedAt;
};

/// A request for which this engine is the first stage.
struct PipelineRun {
    net::ExchangeId exchange = 0;
    /// Identifies the request's session in every stage.
    std::string tag;
    /// The stages of the pipeline, this one first.
    json::array plan;
    /// Tokens of the answer so far, including those delivered by an earlier attempt.
    std::uint32_t emitted = 0;
    std::uint32_t maxTokens = 0;
    /// Position of the next input token.
    std::uint64_t position = 0;
    /// Index of the stage that is to crash; -1 for none.
    int crashStage = -1;
    /// The prompt has been passed to the stages.
    bool prefilled = false;
};

/// The stage index after the crash mark in the prompt; -1 without a mark.
int crashStageOf(const std::string &prompt)
{
    const auto mark = prompt.find(CrashMark);
    return mark == std::string::npos ? -1 : std::atoi(prompt.c_str() + mark + CrashMark.size());
}

/// The engine's HTTP interface, sessions and simulated processing time. All members run in the event loop's thread.
class Engine
{
public:
    explicit Engine(net::EventLoop &loop)
        : loop_(loop)
        , client_(loop)
    {
        loop_.after(SessionIdleTimeout, [this]() { dropIdleSessions(); });
    }

    net::HttpServer *server = nullptr;
    wire::EndpointInfo info;

    void handle(net::ExchangeId id, const net::HttpRequest &request)
    {
        if (request.target == "/load") {
            const json::object load{{"endpoint", info.id}, {"incarnation", info.incarnation}, {"in_flight", sessions_.size()}, {"leaving", draining_}};
            server->respond(id, {200, {}, json::serialize(load)});
        } else if (request.target == "/control/drain") {
            draining_ = true;
            server->respond(id, {200, {}, "draining"});
        } else if (request.target == "/control/delay") {
            linkDelay_ = std::chrono::milliseconds(std::atoi(request.body.c_str()));
            server->respond(id, {200, {}, "ok"});
        } else if (request.target == "/v1/pipeline") {
            startRun(id, json::parse(request.body).as_object());
        } else if (request.target == "/v1/stage") {
            serveStage(id, json::parse(request.body).as_object());
        } else if (request.target == "/v1/end") {
            sessions_.erase(request.body);
            server->respond(id, {200, {}, ""});
        } else {
            server->respond(id, {404, {{"X-Not-Run", "yes"}}, "no such path"});
        }
    }

    /// Ends a request whose client has closed the connection.
    void abort(net::ExchangeId id)
    {
        const auto found = runs_.find(id);
        if (found != runs_.end()) {
            endSessions(found->second);
            runs_.erase(found);
        }
    }

private:
    /// Refuses a request that this engine has not run.
    void refuse(net::ExchangeId id, bool leaving)
    {
        server->respond(id, {503, {{"X-Not-Run", "yes"}, {"X-Leaving", leaving ? "yes" : "no"}}, "refused"});
    }

    /// Whether a stage of a plan names this engine's id, incarnation and layers.
    bool matchesThisStage(const json::object &stage) const
    {
        return json::value_to<std::string>(stage.at("endpoint")) == info.id && stage.at("incarnation").to_number<std::uint64_t>() == info.incarnation
            && stage.at("first").to_number<std::uint32_t>() == info.firstLayer && stage.at("end").to_number<std::uint32_t>() == info.endLayer;
    }

    /// Starts a pipeline as its first stage, and streams its tokens as lines of JSON.
    void startRun(net::ExchangeId id, const json::object &pipelineOrder)
    {
        const json::array &plan = pipelineOrder.at("plan").as_array();
        if (draining_ || !matchesThisStage(plan.at(0).as_object()) || json::value_to<std::string>(pipelineOrder.at("model")) != info.serves) {
            refuse(id, draining_);
            return;
        }
        PipelineRun run;
        run.exchange = id;
        run.tag = json::value_to<std::string>(pipelineOrder.at("tag"));
        run.plan = plan;
        run.maxTokens = pipelineOrder.at("max_tokens").to_number<std::uint32_t>();
        const std::string prompt = json::value_to<std::string>(pipelineOrder.at("prompt"));
        run.crashStage = crashStageOf(prompt);
        std::vector<std::string> inputs = standin::tokenize(prompt);
        for (const json::value &token : pipelineOrder.at("delivered").as_array()) {
            inputs.push_back(json::value_to<std::string>(token));
            ++run.emitted;
        }
        server->beginStream(id, 200, {{"Content-Type", "application/x-ndjson"}});
        if (run.emitted == run.maxTokens) {
            server->writeChunk(id, json::serialize(json::object{{"end", run.emitted}}) + "\n");
            server->endStream(id);
            return;
        }
        openSession(run.tag);
        runs_[id] = run;
        startStep(id, inputs);
    }

    /// Creates the session of a request, in place of an earlier one with the same tag.
    Session &openSession(const std::string &tag)
    {
        const standin::LayerRange range(standin::modelSeedOf(info.serves), info.firstLayer, info.endLayer);
        return sessions_.insert_or_assign(tag, Session{range, 0, std::chrono::steady_clock::now()}).first->second;
    }

    /// Starts a step of a request: passes its new input tokens through all stages of the pipeline, which gives the next token.
    void startStep(net::ExchangeId id, const std::vector<std::string> &inputs)
    {
        PipelineRun &run = runs_.at(id);
        json::array activations;
        for (const std::string &token : inputs) {
            activations.push_back(standin::embed(token, run.position++));
        }
        json::object message{{"tag", run.tag},
                             {"model", info.serves},
                             {"index", 0},
                             {"plan", run.plan},
                             {"fresh", !run.prefilled},
                             {"crash", run.crashStage},
                             {"activations", std::move(activations)}};
        run.prefilled = true;
        scheduleCompute(std::move(message), [this, id](const json::object &result) { onResult(id, result); });
    }

    /// Streams the token that a step gave and starts the next step, or ends the answer after the last token or a failure.
    void onResult(net::ExchangeId id, const json::object &result)
    {
        const auto found = runs_.find(id);
        if (found == runs_.end()) {
            return;
        }
        PipelineRun &run = found->second;
        if (result.contains("failed")) {
            server->writeChunk(id, json::serialize(result) + "\n");
            finish(id);
            return;
        }
        const std::string token = json::value_to<std::string>(result.at("token"));
        server->writeChunk(id, json::serialize(json::object{{"p", run.emitted}, {"t", token}, {"s", result.at("s")}}) + "\n");
        ++run.emitted;
        if (run.emitted < run.maxTokens) {
            startStep(id, {token});
            return;
        }
        server->writeChunk(id, json::serialize(json::object{{"end", run.emitted}}) + "\n");
        finish(id);
    }

    void finish(net::ExchangeId id)
    {
        server->endStream(id);
        endSessions(runs_.at(id));
        runs_.erase(id);
    }

    /// Drops the request's session here and in the later stages.
    void endSessions(const PipelineRun &run)
    {
        sessions_.erase(run.tag);
        for (std::size_t i = 1; i < run.plan.size(); ++i) {
            net::ClientCall call;
            call.address = net::parseAddress(json::value_to<std::string>(run.plan[i].as_object().at("address")));
            call.request = {"POST", "/v1/end", {}, run.tag};
            client_.fetch(
                std::move(call), [](const net::HttpResponse &) {}, [](net::CallFailure) {});
        }
    }

    /// Serves a step as a later stage.
    void serveStage(net::ExchangeId id, json::object message)
    {
        const std::size_t index = message.at("index").to_number<std::size_t>();
        const bool isFirstMessage = message.at("fresh").as_bool();
        const std::string tag = json::value_to<std::string>(message.at("tag"));
        if ((isFirstMessage && draining_) || !matchesThisStage(message.at("plan").as_array().at(index).as_object())
            || (!isFirstMessage && sessions_.count(tag) == 0)) {
            refuse(id, draining_);
            return;
        }
        if (isFirstMessage) {
            openSession(tag);
        }
        scheduleCompute(std::move(message), [this, id](const json::object &result) { server->respond(id, {200, {}, json::serialize(result)}); });
    }

    /// Reserves the serial resource for a step, and computes the step when that time and the link's delay have passed. `done` gets the endpoint that failed, or
    /// the token and a report of this and each later stage: an array of endpoint, incarnation, first layer and end layer.
    void scheduleCompute(json::object message, std::function<void(const json::object &)> done)
    {
        const auto count = static_cast<std::uint32_t>(message.at("activations").as_array().size());
        const auto now = std::chrono::steady_clock::now();
        const std::chrono::microseconds cost = std::chrono::microseconds(info.stepMicros) * ((count + PrefillTokensPerStep - 1) / PrefillTokensPerStep);
        busyUntil_ = std::max(busyUntil_, now) + cost;
        loop_.after(busyUntil_ - now + linkDelay_, [this, message = std::move(message), done = std::move(done)]() mutable { compute(message, done); });
    }

    /// Passes the activations of a step through this stage's layers. The last stage selects the token; any other calls the next stage.
    void compute(json::object &message, const std::function<void(const json::object &)> &done)
    {
        const std::string tag = json::value_to<std::string>(message.at("tag"));
        const std::size_t index = message.at("index").to_number<std::size_t>();
        if (message.at("crash").to_number<std::int64_t>() == static_cast<std::int64_t>(index)) {
            std::_Exit(1);
        }
        const auto session = sessions_.find(tag);
        if (session == sessions_.end()) {
            done({{"failed", info.id}, {"how", "refused"}});
            return;
        }
        session->second.lastUsedAt = std::chrono::steady_clock::now();
        json::array outputs;
        std::uint64_t lastActivation = 0;
        for (const json::value &activation : message.at("activations").as_array()) {
            lastActivation = session->second.layers.pass(activation.to_number<std::uint64_t>());
            outputs.push_back(lastActivation);
        }
        const json::array ownReport{info.id, info.incarnation, info.firstLayer, info.endLayer};
        const json::array &plan = message.at("plan").as_array();
        if (index + 1 == plan.size()) {
            done({{"token", standin::tokenOf(lastActivation)}, {"s", json::array{ownReport}}});
            return;
        }
        const json::object next = plan.at(index + 1).as_object();
        message["index"] = index + 1;
        message["activations"] = std::move(outputs);
        callNext(next, json::serialize(message), ownReport, done);
    }

    /// Sends a step to the next stage, and puts this stage's report before those in the result.
    void callNext(const json::object &next, std::string body, const json::array &ownReport, const std::function<void(const json::object &)> &done)
    {
        const std::string endpoint = json::value_to<std::string>(next.at("endpoint"));
        net::ClientCall call;
        call.address = net::parseAddress(json::value_to<std::string>(next.at("address")));
        call.request = {"POST", "/v1/stage", {}, std::move(body)};
        call.totalTimeout = StageCallTimeout;
        client_.fetch(
            std::move(call),
            [done, ownReport, endpoint](const net::HttpResponse &response) {
                if (response.status != 200) {
                    done({{"failed", endpoint}, {"how", "refused"}});
                    return;
                }
                json::object result = json::parse(response.body).as_object();
                if (!result.contains("failed")) {
                    json::array reports{ownReport};
                    for (const json::value &report : result.at("s").as_array()) {
                        reports.push_back(report);
                    }
                    result["s"] = std::move(reports);
                }
                done(result);
            },
            [done, endpoint](net::CallFailure failure) {
                done({{"failed", endpoint}, {"how", failure == net::CallFailure::NotSent ? "refused" : "broken"}});
            });
    }

    void dropIdleSessions()
    {
        const auto cutoff = std::chrono::steady_clock::now() - SessionIdleTimeout;
        std::erase_if(sessions_, [cutoff](const auto &entry) { return entry.second.lastUsedAt < cutoff; });
        loop_.after(SessionIdleTimeout, [this]() { dropIdleSessions(); });
    }

    net::EventLoop &loop_;
    net::HttpClient client_;
    /// Sessions by tag.
    std::map<std::string, Session> sessions_;
    std::map<net::ExchangeId, PipelineRun> runs_;
    /// When the serial resource becomes free.
    std::chrono::steady_clock::time_point busyUntil_;
    /// Delay added to every step, which simulates a slow link; set by /control/delay.
    std::chrono::milliseconds linkDelay_{0};
    bool draining_ = false;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    net::EventLoop loop;
    Engine engine(loop);
    engine.info.id = FLAGS_id;
    engine.info.kind = wire::EndpointKind::Engine;
    engine.info.zone = FLAGS_zone;
    engine.info.serves = FLAGS_model;
    engine.info.firstLayer = static_cast<std::uint32_t>(FLAGS_first_layer);
    engine.info.endLayer = static_cast<std::uint32_t>(FLAGS_end_layer);
    engine.info.stepMicros = static_cast<std::uint32_t>(FLAGS_step_us);
    engine.info.capacity = static_cast<std::uint32_t>(FLAGS_capacity);
    standin::serve(loop, engine, FLAGS_listen, FLAGS_platform);
    return 0;
}
