#include "EndpointsDuty.h"

#include <boost/json.hpp>

using namespace trefoilport;
namespace json = boost::json;

namespace {

/// Time limit for a whole load probe, and for opening its connection.
constexpr std::chrono::milliseconds ProbeTimeout{300};
/// How often events that met a full ring are moved into it.
constexpr std::chrono::milliseconds FlushPeriod{50};
/// Limit for one line of a pipeline's answer.
constexpr std::size_t MaxLineBytes = 256 * 1024;
/// Limit for the whole answer of a pipeline.
constexpr std::size_t MaxAnswerBytes = 64 * 1024 * 1024;

/// Renders a pipeline order as the body of POST /v1/pipeline.
std::string orderToJson(const wire::PipelineOrder &order)
{
    json::array plan;
    for (const wire::PlanStage &stage : order.plan) {
        plan.push_back(json::object{{"endpoint", stage.endpoint},
                                    {"address", stage.address},
                                    {"incarnation", stage.incarnation},
                                    {"first", stage.firstLayer},
                                    {"end", stage.endLayer}});
    }
    const json::array delivered(order.delivered.begin(), order.delivered.end());
    const json::object body{{"tag", order.tag},
                            {"model", order.model},
                            {"plan", plan},
                            {"prompt", order.prompt},
                            {"delivered", delivered},
                            {"max_tokens", order.maxTokens},
                            {"class", base::nameIn(settings::CallClassNames, order.callClass)}};
    return json::serialize(body);
}

/// Returns which failure an unsuccessful response means. It proves that the attempt has not run only if the endpoint says so, by X-Leaving or X-Not-Run.
wire::AttemptFailure failureOfResponse(int status, const net::Headers &headers)
{
    if (net::headerIn(headers, "X-Leaving") == "yes") {
        return wire::AttemptFailure::RefusedLeaving;
    }
    const bool notRun = net::headerIn(headers, "X-Not-Run") == "yes";
    return notRun && status >= 400 ? wire::AttemptFailure::Refused : wire::AttemptFailure::Inconsistent;
}

wire::AttemptFailure toAttemptFailure(net::CallFailure failure)
{
    switch (failure) {
    case net::CallFailure::NotSent:
        return wire::AttemptFailure::NotSent;
    case net::CallFailure::TimedOut:
        return wire::AttemptFailure::TimedOut;
    case net::CallFailure::Broken:
    case net::CallFailure::Malformed:
    case net::CallFailure::TooMuchHeld:
    case net::CallFailure::Cancelled:
        return wire::AttemptFailure::Broken;
    }
    return wire::AttemptFailure::Broken;
}

/// Parses a token frame: position "p", text "t" and, in "s", an array [endpoint, incarnation, first layer, end layer] for each stage. Throws if it is
/// malformed.
TokenArrived parseToken(AttemptId attempt, const json::object &frame)
{
    TokenArrived token{attempt, frame.at("p").to_number<std::uint32_t>(), json::value_to<std::string>(frame.at("t")), {}};
    for (const json::value &stage : frame.at("s").as_array()) {
        const json::array &fields = stage.as_array();
        token.stages.push_back({json::value_to<std::string>(fields.at(0)),
                                fields.at(1).to_number<std::uint64_t>(),
                                fields.at(2).to_number<std::uint32_t>(),
                                fields.at(3).to_number<std::uint32_t>()});
    }
    return token;
}

} // namespace

EndpointsDuty::EndpointsDuty(DaemonRings &rings)
    : rings_(rings)
    , client_(loop_)
{
    rings_.toEndpoints.wake = [this]() {
        loop_.post([this]() { handleActions(); });
    };
}

void EndpointsDuty::run()
{
    flushPeriodically();
    loop_.run();
}

void EndpointsDuty::stop()
{
    loop_.stop();
}

void EndpointsDuty::flushPeriodically()
{
    rings_.fromEndpoints.flush();
    loop_.after(FlushPeriod, [this]() { flushPeriodically(); });
}

void EndpointsDuty::handleActions()
{
    Action action;
    while (rings_.toEndpoints.pop(action)) {
        if (const auto *pipeline = std::get_if<StartPipeline>(&action)) {
            start(*pipeline);
        } else if (const auto *service = std::get_if<StartService>(&action)) {
            start(*service);
        } else if (const auto *cancelled = std::get_if<CancelAttempt>(&action)) {
            cancel(cancelled->attempt);
        } else if (const auto *probed = std::get_if<ProbeEndpoint>(&action)) {
            probe(*probed);
        }
    }
}

void EndpointsDuty::fail(AttemptId attempt, wire::AttemptFailure failure, const std::string &endpoint)
{
    running_.erase(attempt);
    rings_.fromEndpoints.push(AttemptFailed{attempt, failure, endpoint});
}

void EndpointsDuty::start(const StartPipeline &action)
{
    // After a pause of the process, the kernel's choice may be out of date. NotSent lets it choose again.
    if (base::readClocks().mono > action.sendDeadline) {
        fail(action.attempt, wire::AttemptFailure::NotSent);
        return;
    }
    net::ClientCall call;
    call.address = net::parseAddress(action.order.plan.front().address);
    call.request = {"POST", "/v1/pipeline", {{"Content-Type", "application/json"}}, orderToJson(action.order)};
    // No limit on the duration of the answer: the kernel detects streams that stall.
    call.totalTimeout = std::chrono::milliseconds(0);
    call.bodyLimit = MaxAnswerBytes;
    const AttemptId attempt = action.attempt;
    net::ClientHandlers handlers;
    handlers.onHead = [this, attempt](int status, const net::Headers &headers) {
        running_[attempt].status = status;
        running_[attempt].headers = headers;
    };
    handlers.onData = [this, attempt](const std::string &data) {
        onPipelineData(attempt, data);
    };
    handlers.onEnd = [this, attempt]() {
        const auto found = running_.find(attempt);
        if (found == running_.end()) {
            return;
        }
        const RunningAttempt &running = found->second;
        fail(attempt, running.status == 200 ? wire::AttemptFailure::Inconsistent : failureOfResponse(running.status, running.headers));
    };
    handlers.onFailure = [this, attempt](net::CallFailure failure, const net::CallProgress &) {
        if (running_.count(attempt) > 0) {
            fail(attempt, toAttemptFailure(failure));
        }
    };
    running_[attempt].call = client_.start(std::move(call), std::move(handlers));
}

void EndpointsDuty::onPipelineData(AttemptId attempt, const std::string &data)
{
    auto found = running_.find(attempt);
    if (found == running_.end() || found->second.status != 200) {
        return;
    }
    found->second.buffer += data;
    while (found != running_.end()) {
        std::string &buffer = found->second.buffer;
        const auto end = buffer.find('\n');
        if (end == std::string::npos) {
            break;
        }
        const std::string line = buffer.substr(0, end);
        buffer.erase(0, end + 1);
        onPipelineLine(attempt, line);
        found = running_.find(attempt);
    }
    if (found != running_.end() && found->second.buffer.size() > MaxLineBytes) {
        client_.cancel(found->second.call);
        fail(attempt, wire::AttemptFailure::Inconsistent);
    }
}

void EndpointsDuty::onPipelineLine(AttemptId attempt, const std::string &line)
{
    try {
        const json::object frame = json::parse(line).as_object();
        if (frame.contains("t")) {
            rings_.fromEndpoints.push(parseToken(attempt, frame));
        } else if (frame.contains("end")) {
            const auto tokens = frame.at("end").to_number<std::uint32_t>();
            running_.erase(attempt);
            rings_.fromEndpoints.push(AttemptEnded{attempt, tokens});
        } else {
            const std::string how = json::value_to<std::string>(frame.at("how"));
            const auto failure = how == "broken" ? wire::AttemptFailure::StageBroken : wire::AttemptFailure::StageRefused;
            fail(attempt, failure, json::value_to<std::string>(frame.at("failed")));
        }
    } catch (const std::exception &) {
        if (running_.count(attempt) > 0) {
            client_.cancel(running_.at(attempt).call);
            fail(attempt, wire::AttemptFailure::Inconsistent);
        }
    }
}

void EndpointsDuty::start(const StartService &action)
{
    if (base::readClocks().mono > action.sendDeadline) {
        fail(action.attempt, wire::AttemptFailure::NotSent);
        return;
    }
    net::ClientCall call;
    call.address = net::parseAddress(action.address);
    call.request = {action.request.method, action.request.target, action.request.headers, action.request.body};
    if (!action.request.contentType.empty()) {
        call.request.headers.emplace_back("Content-Type", action.request.contentType);
    }
    if (!action.request.idempotencyKey.empty()) {
        call.request.headers.emplace_back("Idempotency-Key", action.request.idempotencyKey);
    }
    call.totalTimeout = std::chrono::milliseconds(action.timeoutMs);
    call.freshConnection = action.atMostOnce;
    const AttemptId attempt = action.attempt;
    running_[attempt].call = client_.fetch(
        std::move(call),
        [this, attempt](net::HttpResponse response) {
            if (running_.count(attempt) == 0) {
                return;
            }
            const wire::AttemptFailure refusal = failureOfResponse(response.status, response.headers);
            if (response.status >= 400 && refusal != wire::AttemptFailure::Inconsistent) {
                fail(attempt, refusal);
                return;
            }
            running_.erase(attempt);
            const std::string contentType(net::headerIn(response.headers, "Content-Type"));
            net::Headers headers = net::endToEndHeaders(response.headers, {"Content-Type"});
            rings_.fromEndpoints.push(ServiceAnswered{attempt, {response.status, contentType, std::move(response.body), std::move(headers)}});
        },
        [this, attempt](net::CallFailure failure) {
            if (running_.count(attempt) > 0) {
                fail(attempt, toAttemptFailure(failure));
            }
        });
}

void EndpointsDuty::cancel(AttemptId attempt)
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return;
    }
    const net::ClientCallId call = found->second.call;
    running_.erase(found);
    client_.cancel(call);
}

void EndpointsDuty::probe(const ProbeEndpoint &action)
{
    net::ClientCall call;
    call.address = net::parseAddress(action.address);
    call.request.target = "/load";
    call.connectTimeout = ProbeTimeout;
    call.totalTimeout = ProbeTimeout;
    const std::string endpoint = action.endpoint;
    const auto failed = [this, endpoint]() {
        rings_.fromEndpoints.push(ProbeFailed{endpoint});
    };
    client_.fetch(
        std::move(call),
        [this, endpoint, failed](const net::HttpResponse &response) {
            try {
                const json::object load = json::parse(response.body).as_object();
                if (json::value_to<std::string>(load.at("endpoint")) != endpoint) {
                    failed();
                    return;
                }
                rings_.fromEndpoints.push(LoadReported{endpoint,
                                                       load.at("incarnation").to_number<std::uint64_t>(),
                                                       load.at("in_flight").to_number<std::uint32_t>(),
                                                       load.at("leaving").as_bool()});
            } catch (const std::exception &) {
                failed();
            }
        },
        [failed](net::CallFailure) { failed(); });
}
