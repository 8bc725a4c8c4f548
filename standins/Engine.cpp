// A small stand-in for a model engine that holds a range of layers. It really computes: a skipped, doubled or crossed layer or token gives
// visibly wrong text. Its time model is a serial resource: a decoding step takes step_us, prefill handles eight tokens in a step.

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
DEFINE_int32(step_us, 1000, "time for one decoding step");
DEFINE_int32(capacity, 16, "requests at once");

namespace json = boost::json;

namespace {

constexpr std::uint32_t PrefillSpeedup = 8;
constexpr std::chrono::seconds SessionIdle{5};
constexpr std::chrono::milliseconds StageCallTime{20000};
/// A prompt with this mark and a stage number makes that stage's process end.
const std::string CrashMark = "CRASH-STAGE-";

struct Session {
    standin::LayerRange layers;
    std::uint64_t position = 0;
    std::chrono::steady_clock::time_point usedAt;
};

/// A request that started here, at the first stage.
struct Leading {
    net::ExchangeId exchange = 0;
    std::string tag;
    json::array plan;
    std::uint32_t emitted = 0;
    std::uint32_t maxTokens = 0;
    std::uint64_t position = 0;
    int crashStage = -1;
    bool prefilled = false;
};

int crashStageOf(const std::string &prompt)
{
    const auto mark = prompt.find(CrashMark);
    return mark == std::string::npos ? -1 : std::atoi(prompt.c_str() + mark + CrashMark.size());
}

class Engine
{
public:
    explicit Engine(net::EventLoop &loop)
        : loop_(loop)
        , client_(loop)
    {
        loop_.after(SessionIdle, [this]() { dropIdle(); });
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
            lead(id, json::parse(request.body).as_object());
        } else if (request.target == "/v1/stage") {
            follow(id, json::parse(request.body).as_object());
        } else if (request.target == "/v1/end") {
            sessions_.erase(request.body);
            server->respond(id, {200, {}, ""});
        } else {
            server->respond(id, {404, {{"X-Not-Run", "yes"}}, "no such path"});
        }
    }

    void abort(net::ExchangeId id)
    {
        const auto found = leading_.find(id);
        if (found != leading_.end()) {
            endEverywhere(found->second);
            leading_.erase(found);
        }
    }

private:
    void refuse(net::ExchangeId id, bool leaving)
    {
        server->respond(id, {503, {{"X-Not-Run", "yes"}, {"X-Leaving", leaving ? "yes" : "no"}}, "refused"});
    }

    bool isMine(const json::object &stage) const
    {
        return json::value_to<std::string>(stage.at("endpoint")) == info.id && stage.at("incarnation").to_number<std::uint64_t>() == info.incarnation
            && stage.at("first").to_number<std::uint32_t>() == info.firstLayer && stage.at("end").to_number<std::uint32_t>() == info.endLayer;
    }

    void lead(net::ExchangeId id, const json::object &order)
    {
        const json::array &plan = order.at("plan").as_array();
        if (draining_ || !isMine(plan.at(0).as_object()) || json::value_to<std::string>(order.at("model")) != info.serves) {
            refuse(id, draining_);
            return;
        }
        Leading leading;
        leading.exchange = id;
        leading.tag = json::value_to<std::string>(order.at("tag"));
        leading.plan = plan;
        leading.maxTokens = order.at("max_tokens").to_number<std::uint32_t>();
        const std::string prompt = json::value_to<std::string>(order.at("prompt"));
        leading.crashStage = crashStageOf(prompt);
        std::vector<std::string> inputs = standin::tokenize(prompt);
        for (const json::value &token : order.at("delivered").as_array()) {
            inputs.push_back(json::value_to<std::string>(token));
            ++leading.emitted;
        }
        server->beginStream(id, 200, {{"Content-Type", "application/x-ndjson"}});
        if (leading.emitted == leading.maxTokens) {
            server->writeChunk(id, json::serialize(json::object{{"end", leading.emitted}}) + "\n");
            server->endStream(id);
            return;
        }
        openSession(leading.tag);
        leading_[id] = leading;
        step(id, inputs);
    }

    Session &openSession(const std::string &tag)
    {
        const standin::LayerRange range(standin::modelSeedOf(info.serves), info.firstLayer, info.endLayer);
        return sessions_.insert_or_assign(tag, Session{range, 0, std::chrono::steady_clock::now()}).first->second;
    }

    /// Passes new input tokens through this stage and hands their activations on.
    void step(net::ExchangeId id, const std::vector<std::string> &inputs)
    {
        Leading &leading = leading_.at(id);
        json::array activations;
        for (const std::string &token : inputs) {
            activations.push_back(standin::embed(token, leading.position++));
        }
        json::object message{{"tag", leading.tag},
                             {"model", info.serves},
                             {"index", 0},
                             {"plan", leading.plan},
                             {"fresh", !leading.prefilled},
                             {"crash", leading.crashStage},
                             {"activations", std::move(activations)}};
        leading.prefilled = true;
        process(std::move(message), [this, id](const json::object &result) { onResult(id, result); });
    }

    void onResult(net::ExchangeId id, const json::object &result)
    {
        const auto found = leading_.find(id);
        if (found == leading_.end()) {
            return;
        }
        Leading &leading = found->second;
        if (result.contains("failed")) {
            server->writeChunk(id, json::serialize(result) + "\n");
            finish(id);
            return;
        }
        const std::string token = json::value_to<std::string>(result.at("token"));
        server->writeChunk(id, json::serialize(json::object{{"p", leading.emitted}, {"t", token}, {"s", result.at("s")}}) + "\n");
        ++leading.emitted;
        if (leading.emitted < leading.maxTokens) {
            step(id, {token});
            return;
        }
        server->writeChunk(id, json::serialize(json::object{{"end", leading.emitted}}) + "\n");
        finish(id);
    }

    void finish(net::ExchangeId id)
    {
        server->endStream(id);
        endEverywhere(leading_.at(id));
        leading_.erase(id);
    }

    void endEverywhere(const Leading &leading)
    {
        sessions_.erase(leading.tag);
        for (std::size_t i = 1; i < leading.plan.size(); ++i) {
            net::ClientCall call;
            call.address = net::parseAddress(json::value_to<std::string>(leading.plan[i].as_object().at("address")));
            call.request = {"POST", "/v1/end", {}, leading.tag};
            client_.fetch(
                std::move(call), [](const net::HttpResponse &) {}, [](net::CallFailure) {});
        }
    }

    void follow(net::ExchangeId id, json::object message)
    {
        const std::size_t index = message.at("index").to_number<std::size_t>();
        const bool fresh = message.at("fresh").as_bool();
        const std::string tag = json::value_to<std::string>(message.at("tag"));
        if ((fresh && draining_) || !isMine(message.at("plan").as_array().at(index).as_object()) || (!fresh && sessions_.count(tag) == 0)) {
            refuse(id, draining_);
            return;
        }
        if (fresh) {
            openSession(tag);
        }
        process(std::move(message), [this, id](const json::object &result) { server->respond(id, {200, {}, json::serialize(result)}); });
    }

    /// Runs this stage's layers once the serial resource is free, then passes the activations on.
    void process(json::object message, std::function<void(const json::object &)> done)
    {
        const auto count = static_cast<std::uint32_t>(message.at("activations").as_array().size());
        const auto now = std::chrono::steady_clock::now();
        const std::chrono::microseconds cost = std::chrono::microseconds(info.stepMicros) * ((count + PrefillSpeedup - 1) / PrefillSpeedup);
        busyUntil_ = std::max(busyUntil_, now) + cost;
        loop_.after(busyUntil_ - now + linkDelay_, [this, message = std::move(message), done = std::move(done)]() mutable { compute(message, done); });
    }

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
        session->second.usedAt = std::chrono::steady_clock::now();
        json::array passed;
        std::uint64_t last = 0;
        for (const json::value &activation : message.at("activations").as_array()) {
            last = session->second.layers.pass(activation.to_number<std::uint64_t>());
            passed.push_back(last);
        }
        const json::array own{info.id, info.incarnation, info.firstLayer, info.endLayer};
        const json::array &plan = message.at("plan").as_array();
        if (index + 1 == plan.size()) {
            done({{"token", standin::tokenOf(last)}, {"s", json::array{own}}});
            return;
        }
        const json::object next = plan.at(index + 1).as_object();
        message["index"] = index + 1;
        message["activations"] = std::move(passed);
        callNext(next, json::serialize(message), own, done);
    }

    void callNext(const json::object &next, std::string body, const json::array &own, const std::function<void(const json::object &)> &done)
    {
        const std::string endpoint = json::value_to<std::string>(next.at("endpoint"));
        net::ClientCall call;
        call.address = net::parseAddress(json::value_to<std::string>(next.at("address")));
        call.request = {"POST", "/v1/stage", {}, std::move(body)};
        call.totalTimeout = StageCallTime;
        client_.fetch(
            std::move(call),
            [done, own, endpoint](const net::HttpResponse &response) {
                if (response.status != 200) {
                    done({{"failed", endpoint}, {"how", "refused"}});
                    return;
                }
                json::object result = json::parse(response.body).as_object();
                if (!result.contains("failed")) {
                    json::array reports{own};
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

    void dropIdle()
    {
        const auto oldest = std::chrono::steady_clock::now() - SessionIdle;
        std::erase_if(sessions_, [oldest](const auto &entry) { return entry.second.usedAt < oldest; });
        loop_.after(SessionIdle, [this]() { dropIdle(); });
    }

    net::EventLoop &loop_;
    net::HttpClient client_;
    std::map<std::string, Session> sessions_;
    std::map<net::ExchangeId, Leading> leading_;
    std::chrono::steady_clock::time_point busyUntil_;
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
