// An open-loop load generator for completions. Calls start at times drawn from a seeded random source, whether or not earlier calls have ended.
// Latencies are measured from the intended start of a call, and the text of every call is compared with that of a correct pipeline.

#include "Computation.h"
#include "Flow.h"
#include "base/Hash.h"
#include "net/HttpClient.h"
#include "platform/PlatformClient.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <cmath>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

DEFINE_string(targets, "", "addresses of the instances, as IP:port, separated by commas");
DEFINE_string(flows, "name=flow", "flows, separated by ';', each with any of name=,key=,model=,layers=,class=,rate=,count=,words=,tokens=,deadline_ms=");
DEFINE_double(seconds, 10, "how long new calls are started, in seconds");
DEFINE_double(warmup, 1, "seconds at the start that the token rate leaves out");
DEFINE_uint64(seed, 1, "seed of arrival times and prompts");
DEFINE_string(svg, "", "file for a chart of tokens per second, as SVG");
DEFINE_string(summary, "", "file for the measured values, as lines of 'FLOW.NAME VALUE'");
DEFINE_string(direct, "", "address of the platform, as IP:port: calls go directly to the engines, without a router, for comparison");

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace {

constexpr double Median = 0.5;
constexpr double P95 = 0.95;
constexpr double P99 = 0.99;
/// The token rate is measured until this ratio of all tokens was received, so that the low load of the last calls isn't included.
constexpr double MeasuredTokenRatio = 0.9;

double toMs(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// A call of a flow and the part of its response that was received so far.
struct Call {
    const load::Flow *flow = nullptr;
    load::FlowResult *result = nullptr;
    std::string prompt;
    /// The scheduled start, which may be earlier than the actual one.
    Clock::time_point intended;
    Clock::time_point lastToken;
    /// HTTP status; 0 until the response begins.
    int status = 0;
    /// Received bytes that aren't parsed yet; the whole body if the status isn't 200.
    std::string buffer;
    /// The generated text so far.
    std::string text;
    std::uint32_t tokens = 0;
    /// Number of instances tried so far. Another one is tried only if the last one could not be reached.
    std::size_t attempts = 0;
    /// The end marker of the stream was received.
    bool done = false;
    /// The kind of the error event that ended the stream; empty if there was none.
    std::string error;
};

/// Runs all flows in one event loop and collects their results.
class Generator
{
public:
    Generator()
        : client_(loop_)
        , random_(FLAGS_seed)
        , flows_(load::parseFlows(FLAGS_flows))
        , results_(flows_.size())
    {
        std::istringstream list(FLAGS_targets);
        for (std::string target; std::getline(list, target, ',');) {
            targets_.push_back(net::parseAddress(target));
        }
    }

    /// Starts the calls of all flows; returns when --seconds have passed and the last call has ended.
    void run()
    {
        if (!FLAGS_direct.empty()) {
            buildPipeline();
        }
        start_ = Clock::now();
        for (std::size_t i = 0; i < flows_.size(); ++i) {
            schedule(i);
        }
        loop_.after(std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(FLAGS_seconds)), [this]() {
            arrivalsEnded_ = true;
            stopIfIdle();
        });
        loop_.run();
    }

    /// Prints the results as one JSON object, and writes the summary and the chart if files are given for them.
    void report() const
    {
        json::object out;
        for (std::size_t i = 0; i < flows_.size(); ++i) {
            out[flows_[i].name] = toJson(results_[i]);
        }
        const auto until =
            std::min(series_.timeOfDeliveredRatio(MeasuredTokenRatio), std::chrono::milliseconds(static_cast<std::int64_t>(FLAGS_seconds * 1000)));
        out["tokens_per_second"] = series_.rate(std::chrono::milliseconds(static_cast<std::int64_t>(FLAGS_warmup * 1000)), until);
        std::cout << json::serialize(out) << "\n";
        if (!FLAGS_summary.empty()) {
            std::ofstream file(FLAGS_summary);
            writeSummary(file, "", out);
        }
        if (!FLAGS_svg.empty()) {
            std::ofstream(FLAGS_svg) << series_.toSvg("tokens per second at the callers");
        }
    }

private:
    /// Builds a pipeline for direct calls from the platform's instance list, which names endpoints as well as instances. The first stage is the first
    /// listed engine that starts at layer 0, and each later stage the first one that starts where the previous stage ends.
    void buildPipeline()
    {
        net::ClientCall call;
        call.address = net::parseAddress(FLAGS_direct);
        call.request.target = "/instances";
        const auto listing = platform::parseListing(net::callAndWait(call).response.body);
        std::uint32_t nextLayer = 0;
        for (bool isFound = true; isFound;) {
            isFound = false;
            for (const wire::EndpointInfo &engine : listing->endpoints) {
                if (engine.kind == wire::EndpointKind::Engine && engine.firstLayer == nextLayer && !isFound) {
                    pipeline_.push_back(json::object{{"endpoint", engine.id},
                                                     {"address", engine.address},
                                                     {"incarnation", engine.incarnation},
                                                     {"first", engine.firstLayer},
                                                     {"end", engine.endLayer}});
                    nextLayer = engine.endLayer;
                    isFound = true;
                }
            }
        }
        targets_ = {net::parseAddress(json::value_to<std::string>(pipeline_.at(0).as_object().at("address")))};
    }

    /// Starts or schedules the calls of a flow.
    void schedule(std::size_t flow)
    {
        if (flows_[flow].rate <= 0) {
            for (std::uint32_t i = 0; i < flows_[flow].count; ++i) {
                startCall(flow, start_);
            }
            return;
        }
        scheduleNext(flow, start_);
    }

    /// Schedules the next call of a flow, after an exponentially distributed gap.
    void scheduleNext(std::size_t flow, Clock::time_point previous)
    {
        const double gapSeconds = -std::log(1.0 - random_.nextDouble()) / flows_[flow].rate;
        const Clock::time_point intended = previous + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gapSeconds));
        loop_.after(intended - Clock::now(), [this, flow, intended]() {
            const bool reachedCount = flows_[flow].count > 0 && results_[flow].sent >= flows_[flow].count;
            if (arrivalsEnded_ || reachedCount) {
                return;
            }
            startCall(flow, intended);
            scheduleNext(flow, intended);
        });
    }

    /// A random prompt of the flow's number of words, which makes most prompts distinct.
    std::string makePrompt(const load::Flow &flow)
    {
        std::string prompt = "question " + std::to_string(random_.nextBelow(1000000));
        for (std::uint32_t i = 1; i < flow.promptWords; ++i) {
            prompt += " w" + std::to_string(random_.nextBelow(100));
        }
        return prompt;
    }

    /// The HTTP request of a call: a completion for the next instance in turn, or a pipeline request for the first engine.
    net::ClientCall requestFor(const Call &call)
    {
        net::ClientCall request;
        request.address = targets_[requestCount_++ % targets_.size()];
        request.totalTimeout = std::chrono::milliseconds(0);
        request.bodyLimit = 64 * 1024 * 1024;
        json::object body{{"model", call.flow->model}, {"prompt", call.prompt}, {"max_tokens", call.flow->tokens}};
        if (pipeline_.empty()) {
            body["stream"] = true;
            body["service_tier"] = call.flow->callClass;
            request.request = {"POST", "/v1/completions", {{"Authorization", "Bearer " + call.flow->key}}, json::serialize(body)};
        } else {
            body["tag"] = "load:" + std::to_string(requestCount_);
            body["plan"] = pipeline_;
            body["delivered"] = json::array();
            request.request = {"POST", "/v1/pipeline", {}, json::serialize(body)};
        }
        return request;
    }

    void startCall(std::size_t flow, Clock::time_point intended)
    {
        auto call = std::make_shared<Call>();
        call->flow = &flows_[flow];
        call->result = &results_[flow];
        call->prompt = makePrompt(*call->flow);
        call->intended = intended;
        ++call->result->sent;
        ++openCalls_;
        send(call);
    }

    /// Sends a call. If the instance can't be reached, tries the next one, at most as many times as there are instances, as a load balancer does.
    void send(const std::shared_ptr<Call> &call)
    {
        ++call->attempts;
        net::ClientHandlers handlers;
        handlers.onHead = [call](int status, const net::Headers &) {
            call->status = status;
        };
        handlers.onData = [this, call](const std::string &data) {
            onData(*call, data);
        };
        handlers.onEnd = [this, call]() {
            finish(*call);
        };
        handlers.onFailure = [this, call](net::CallFailure failure, const net::CallProgress &) {
            if (failure == net::CallFailure::NotSent && call->attempts < targets_.size()) {
                send(call);
            } else {
                finish(*call);
            }
        };
        client_.start(requestFor(*call), std::move(handlers));
    }

    void onData(Call &call, const std::string &data)
    {
        call.buffer += data;
        if (call.status != 200) {
            return;
        }
        for (auto end = call.buffer.find('\n'); end != std::string::npos; end = call.buffer.find('\n')) {
            const std::string line = call.buffer.substr(0, end);
            call.buffer.erase(0, end + 1);
            onLine(call, line);
        }
    }

    /// Handles one line of the stream: a server-sent event of an instance, or a JSON object of an engine.
    void onLine(Call &call, const std::string &line)
    {
        const std::string prefix = "data: ";
        if (line == "data: [DONE]") {
            call.done = true;
        } else if (!pipeline_.empty() || line.rfind(prefix, 0) == 0) {
            const json::object frame = json::parse(pipeline_.empty() ? line.substr(prefix.size()) : line).as_object();
            if (frame.contains("error")) {
                call.error = json::value_to<std::string>(frame.at("error").as_object().at("kind"));
            } else if (frame.contains("end")) {
                call.done = true;
            } else if (frame.contains("t")) {
                onToken(call, json::value_to<std::string>(frame.at("t")));
            } else if (frame.contains("choices")) {
                onToken(call, json::value_to<std::string>(frame.at("choices").as_array().at(0).as_object().at("text")));
            }
        }
    }

    void onToken(Call &call, const std::string &text)
    {
        if (text.empty()) {
            return;
        }
        const auto now = Clock::now();
        call.text += text;
        if (call.tokens == 0) {
            const double firstTokenDelayMs = toMs(now - call.intended);
            call.result->firstTokenMs.add(firstTokenDelayMs);
            call.result->met += firstTokenDelayMs <= static_cast<double>(call.flow->deadlineMs) ? 1 : 0;
        } else {
            call.result->betweenTokensMs.add(toMs(now - call.lastToken));
        }
        call.lastToken = now;
        ++call.tokens;
        ++call.result->tokens;
        series_.add(now - start_, 1);
    }

    /// Counts the outcome of a call that has ended.
    void finish(Call &call)
    {
        load::FlowResult &result = *call.result;
        if (call.status != 0 && call.status != 200) {
            boost::system::error_code error;
            const json::value problem = json::parse(call.buffer, error);
            ++result.refused[error ? "?" : json::value_to<std::string>(problem.as_object().at("kind"))];
        } else if (!call.error.empty()) {
            ++result.incomplete;
        } else if (!call.done) {
            ++result.broken;
        } else if (call.text == expectedText(call)) {
            ++result.whole;
            result.wholeTokens += call.tokens;
        } else {
            ++result.wrong;
        }
        --openCalls_;
        stopIfIdle();
    }

    static std::string expectedText(const Call &call)
    {
        std::string text;
        for (const std::string &token : standin::expectedTokens(call.flow->model, call.flow->layers, call.prompt, call.flow->tokens)) {
            text += token;
        }
        return text;
    }

    void stopIfIdle()
    {
        if (arrivalsEnded_ && openCalls_ == 0) {
            loop_.stop();
        }
    }

    /// Writes every number in an object and the objects in it, one a line, as its dotted path and its value.
    static void writeSummary(std::ostream &file, const std::string &path, const json::object &object)
    {
        for (const auto &[key, value] : object) {
            const std::string name = path.empty() ? std::string(key) : path + "." + std::string(key);
            if (value.is_object()) {
                writeSummary(file, name, value.as_object());
            } else {
                file << name << " " << value.to_number<double>() << "\n";
            }
        }
    }

    static json::object toJson(const load::FlowResult &result)
    {
        json::object refused;
        for (const auto &[kind, count] : result.refused) {
            refused[kind] = count;
        }
        return {{"sent", result.sent},
                {"whole", result.whole},
                {"wrong", result.wrong},
                {"incomplete", result.incomplete},
                {"broken", result.broken},
                {"refused", refused},
                {"met", result.sent == 0 ? 0.0 : static_cast<double>(result.met) / result.sent},
                {"tokens", result.tokens},
                {"whole_tokens", result.wholeTokens},
                {"first_ms_p50", result.firstTokenMs.quantile(Median)},
                {"first_ms_p95", result.firstTokenMs.quantile(P95)},
                {"first_ms_max", result.firstTokenMs.max()},
                {"between_ms_p50", result.betweenTokensMs.quantile(Median)},
                {"between_ms_p95", result.betweenTokensMs.quantile(P95)},
                {"between_ms_p99", result.betweenTokensMs.quantile(P99)},
                {"between_ms_max", result.betweenTokensMs.max()}};
    }

    net::EventLoop loop_;
    net::HttpClient client_;
    base::Random random_;
    std::vector<load::Flow> flows_;
    std::vector<load::FlowResult> results_;
    std::vector<net::Address> targets_;
    /// The stages of direct calls, first stage first; empty if calls go through instances.
    json::array pipeline_;
    load::ThroughputSeries series_;
    Clock::time_point start_;
    /// Number of requests sent so far, including those sent again to another instance.
    std::size_t requestCount_ = 0;
    std::size_t openCalls_ = 0;
    bool arrivalsEnded_ = false;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    Generator generator;
    generator.run();
    generator.report();
    return 0;
}
