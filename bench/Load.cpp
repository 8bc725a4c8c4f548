// An open-loop load generator for completions. Calls start at their seeded times whatever became of earlier ones; latencies count from the
// intended start; every answer is compared with what a correct pipeline gives.

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

DEFINE_string(targets, "", "IP:port of the instances, with commas");
DEFINE_string(flows, "name=flow", "flows: name=,key=,model=,layers=,class=,rate=,count=,words=,tokens=,deadline_ms= ; several with ';'");
DEFINE_double(seconds, 10, "how long calls start");
DEFINE_double(warmup, 1, "seconds before rates are counted");
DEFINE_uint64(seed, 1, "seed of arrivals and prompts");
DEFINE_string(svg, "", "file for a plot of tokens per second");
DEFINE_string(summary, "", "file for the numbers as lines of 'FLOW.NAME VALUE'");
DEFINE_string(direct, "", "IP:port of the platform: calls go straight to the engines, without a router, for comparison");

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace {

constexpr double Median = 0.5;
constexpr double P95 = 0.95;
constexpr double P99 = 0.99;
constexpr double LateShare = 0.9;

double toMs(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// One call under way.
struct Call {
    const load::Flow *flow = nullptr;
    load::FlowResult *result = nullptr;
    std::string prompt;
    Clock::time_point intended;
    Clock::time_point lastToken;
    int status = 0;
    std::string buffer;
    std::string text;
    std::uint32_t tokens = 0;
    std::size_t sends = 0;
    bool done = false;
    std::string error;
};

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

    void run()
    {
        if (!FLAGS_direct.empty()) {
            readPlan();
        }
        start_ = Clock::now();
        for (std::size_t i = 0; i < flows_.size(); ++i) {
            schedule(i);
        }
        loop_.after(std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(FLAGS_seconds)), [this]() {
            ended_ = true;
            stopIfIdle();
        });
        loop_.run();
    }

    void report() const
    {
        json::object out;
        for (std::size_t i = 0; i < flows_.size(); ++i) {
            out[flows_[i].name] = describe(results_[i]);
        }
        const auto until = std::min(series_.timeOfShare(LateShare), std::chrono::milliseconds(static_cast<std::int64_t>(FLAGS_seconds * 1000)));
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
    void readPlan()
    {
        net::ClientCall call;
        call.address = net::parseAddress(FLAGS_direct);
        call.request.target = "/instances";
        const auto listing = platform::parseListing(net::callAndWait(call).response.body);
        std::uint32_t next = 0;
        for (bool found = true; found;) {
            found = false;
            for (const wire::EndpointInfo &engine : listing->endpoints) {
                if (engine.kind == wire::EndpointKind::Engine && engine.firstLayer == next && !found) {
                    plan_.push_back(json::object{{"endpoint", engine.id},
                                                 {"address", engine.address},
                                                 {"incarnation", engine.incarnation},
                                                 {"first", engine.firstLayer},
                                                 {"end", engine.endLayer}});
                    next = engine.endLayer;
                    found = true;
                }
            }
        }
        targets_ = {net::parseAddress(json::value_to<std::string>(plan_.at(0).as_object().at("address")))};
    }

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

    void scheduleNext(std::size_t flow, Clock::time_point previous)
    {
        const double gap = -std::log(1.0 - random_.nextDouble()) / flows_[flow].rate;
        const Clock::time_point intended = previous + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap));
        loop_.after(intended - Clock::now(), [this, flow, intended]() {
            const bool enough = flows_[flow].count > 0 && results_[flow].sent >= flows_[flow].count;
            if (ended_ || enough) {
                return;
            }
            startCall(flow, intended);
            scheduleNext(flow, intended);
        });
    }

    std::string makePrompt(const load::Flow &flow)
    {
        std::string prompt = "question " + std::to_string(random_.nextBelow(1000000));
        for (std::uint32_t i = 1; i < flow.promptWords; ++i) {
            prompt += " w" + std::to_string(random_.nextBelow(100));
        }
        return prompt;
    }

    net::ClientCall requestFor(const Call &call)
    {
        net::ClientCall request;
        request.address = targets_[next_++ % targets_.size()];
        request.totalTimeout = std::chrono::milliseconds(0);
        request.bodyLimit = 64 * 1024 * 1024;
        json::object body{{"model", call.flow->model}, {"prompt", call.prompt}, {"max_tokens", call.flow->tokens}};
        if (plan_.empty()) {
            body["stream"] = true;
            body["service_tier"] = call.flow->callClass;
            request.request = {"POST", "/v1/completions", {{"Authorization", "Bearer " + call.flow->key}}, json::serialize(body)};
        } else {
            body["tag"] = "load:" + std::to_string(next_);
            body["plan"] = plan_;
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
        ++open_;
        send(call);
    }

    /// Sends a call; an instance that can't be reached is passed over, as a balancer does.
    void send(const std::shared_ptr<Call> &call)
    {
        ++call->sends;
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
        handlers.onFailure = [this, call](net::CallFailure failure) {
            if (failure == net::CallFailure::NotSent && call->sends < targets_.size()) {
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

    void onLine(Call &call, const std::string &line)
    {
        const std::string prefix = "data: ";
        if (line == "data: [DONE]") {
            call.done = true;
        } else if (!plan_.empty() || line.rfind(prefix, 0) == 0) {
            const json::object frame = json::parse(plan_.empty() ? line.substr(prefix.size()) : line).as_object();
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
            const double waited = toMs(now - call.intended);
            call.result->firstTokenMs.add(waited);
            call.result->met += waited <= static_cast<double>(call.flow->deadlineMs) ? 1 : 0;
        } else {
            call.result->betweenTokensMs.add(toMs(now - call.lastToken));
        }
        call.lastToken = now;
        ++call.tokens;
        ++call.result->tokens;
        series_.add(now - start_, 1);
    }

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
        --open_;
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
        if (ended_ && open_ == 0) {
            loop_.stop();
        }
    }

    /// Writes every number below an object with its dotted path.
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

    static json::object describe(const load::FlowResult &result)
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
    json::array plan_;
    load::Series series_;
    Clock::time_point start_;
    std::size_t next_ = 0;
    std::size_t open_ = 0;
    bool ended_ = false;
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
