#include "CallersDuty.h"

#include "OpenAi.h"
#include "relayhost/MemoryShares.h"

#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <iostream>

using namespace trefoilport;

namespace {

/// How often events that met a full ring are moved into it.
constexpr std::chrono::milliseconds FlushPeriod{50};
/// How long the event loop runs on after stop() at most, so that the last answers reach the callers, and how often it looks whether they have.
constexpr std::chrono::milliseconds FinalAnswersTimeout{5000};
constexpr std::chrono::milliseconds FinalAnswersPeriod{20};
/// One line a reason in this period: a crowd opens thousands of connections a second.
constexpr std::chrono::milliseconds TurnedAwayLogPeriod{1000};
const std::string BearerPrefix = "Bearer ";

net::ServerLimits limitsOf(const settings::DaemonSettings &settings)
{
    net::ServerLimits limits;
    limits.bodyBytes = static_cast<std::size_t>(settings.bodyBytes);
    limits.headerBytes = static_cast<std::size_t>(settings.headerBytes);
    limits.connections = static_cast<std::size_t>(settings.connections);
    limits.requestTimeout = std::chrono::milliseconds(settings.requestMs);
    return limits;
}

std::size_t memoryBytesOf(const settings::DaemonSettings &settings)
{
    constexpr std::size_t Megabyte = 1024UL * 1024;
    return static_cast<std::size_t>(settings.memoryMb) * Megabyte;
}

/// Returns the response to a request that the HTTP server refuses itself.
net::HttpResponse refusalResponse(net::RefusalKind kind)
{
    switch (kind) {
    case net::RefusalKind::Malformed:
        return openai::problemResponse({base::ErrorKind::BadRequest, "the request is not valid HTTP"});
    case net::RefusalKind::HeaderTooLarge:
        return openai::problemResponse({base::ErrorKind::HeaderTooLarge, "the header is over the limit"});
    case net::RefusalKind::BodyTooLarge:
        return openai::problemResponse({base::ErrorKind::BodyTooLarge, "the body is over the limit"});
    case net::RefusalKind::RequestTooSlow:
        return openai::problemResponse({base::ErrorKind::RequestTimeout, "the request did not arrive in time"});
    case net::RefusalKind::HandlerFailed:
        return openai::problemResponse({base::ErrorKind::Internal, "the request met an internal error"});
    case net::RefusalKind::TooMuchHeld:
        return openai::problemResponse({base::ErrorKind::Overloaded, "this instance holds too much for its callers"});
    case net::RefusalKind::Stopping:
        return openai::problemResponse({base::ErrorKind::Stopping, "this instance had to stop before the whole request had arrived"});
    case net::RefusalKind::CallerLeft:
        return openai::problemResponse({base::ErrorKind::AnswerIncomplete, "the caller closed its sending side before the answer, which counts as leaving"});
    }
    return openai::problemResponse({base::ErrorKind::Internal, ""});
}

/// Returns the SHA-256 of the request's bearer key in hexadecimal; empty if the request has none.
std::string bearerKeySha256(const net::HttpRequest &request)
{
    const std::string_view authorization = net::headerIn(request.headers, "Authorization");
    if (authorization.substr(0, BearerPrefix.size()) != BearerPrefix) {
        return {};
    }
    return sha256Hex(authorization.substr(BearerPrefix.size()));
}

net::HttpResponse textResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

net::HttpResponse jsonResponse(std::string body)
{
    return {200, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < length; ++i) {
        hex += Digits[digest[i] >> 4U];
        hex += Digits[digest[i] & 15U];
    }
    return hex;
}

CallersDuty::CallersDuty(const settings::DaemonSettings &settings, DaemonRings &rings, const timeline::EventLog &events)
    : settings_(settings)
    , rings_(rings)
    , events_(events)
    , held_(loop_, relayhost::heldLimitsFor(memoryBytesOf(settings)))
    , residentBound_(held_, memoryBytesOf(settings))
    , server_(loop_,
              net::parseAddress(settings.listen),
              relayhost::withMemory(limitsOf(settings), memoryBytesOf(settings)),
              {[this](net::ExchangeId id, net::HttpRequest request) { onRequest(id, std::move(request)); },
               [this](net::ExchangeId id) {
                   openCalls_.erase(id);
                   rings_.fromCallers.push(CallerGone{id});
               },
               refusalResponse,
               {},
               reportException,
               {},
               {},
               [this](net::TurnedAway reason) {
                   ++turnedAway_.at(static_cast<std::size_t>(reason));
               }},
              &held_)
{
    loop_.reportExceptions(reportException);
    rings_.toCallers.wake = [this]() {
        loop_.post([this]() { handleActions(); });
    };
}

void CallersDuty::run()
{
    flushPeriodically();
    loop_.run();
}

void CallersDuty::stop()
{
    loop_.post([this]() {
        handleActions();
        stopping_ = true;
        rejectOpenCalls();
        server_.stopAccepting();
        server_.closeConnections();
        server_.refuseArriving();
        endWhenDelivered(base::readClocks().mono + FinalAnswersTimeout);
    });
}

void CallersDuty::rejectOpenCalls()
{
    std::vector<net::ExchangeId> unanswered;
    for (const auto &[id, call] : openCalls_) {
        unanswered.push_back(id);
    }
    for (const net::ExchangeId id : unanswered) {
        carryOut(AnswerFailure{id, {base::ErrorKind::Stopping, "this instance is shutting down"}});
    }
}

void CallersDuty::endWhenDelivered(base::Instant deadline)
{
    if (server_.unfinishedConnections() == 0 || base::readClocks().mono >= deadline) {
        return loop_.stop();
    }
    loop_.after(FinalAnswersPeriod, [this, deadline]() { endWhenDelivered(deadline); });
}

void CallersDuty::flushPeriodically()
{
    rings_.fromCallers.flush();
    residentBound_.look(base::readClocks().mono);
    logTurnedAway();
    loop_.after(FlushPeriod, [this]() { flushPeriodically(); });
}

void CallersDuty::logTurnedAway()
{
    const base::Instant now = base::readClocks().mono;
    if (!log || now < turnedAwayLoggedAt_ + TurnedAwayLogPeriod) {
        return;
    }
    turnedAwayLoggedAt_ = now;
    if (const std::uint64_t ended = held_.ended(net::PeerKind::Caller) - loggedEnded_; ended > 0) {
        log("peer_over_limit: " + std::to_string(ended) + " callers given up, past what may be held");
        loggedEnded_ += ended;
    }
    for (const auto &[reason, name] : net::TurnedAwayNames) {
        const auto index = static_cast<std::size_t>(reason);
        if (const std::uint64_t count = turnedAway_.at(index) - loggedTurnedAway_.at(index); count > 0) {
            log("connections_turned_away: " + std::string(name) + ", " + std::to_string(count) + " connections of callers closed");
        }
    }
    loggedTurnedAway_ = turnedAway_;
}

void CallersDuty::onRequest(net::ExchangeId id, net::HttpRequest request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    OpenCall &call = openCalls_[id];
    call.arrivedAt = base::readClocks().mono;
    if (stopping_) {
        return carryOut(AnswerFailure{id, {base::ErrorKind::Stopping, "this instance is shutting down"}});
    }
    if (path == "/healthz") {
        server_.respond(id, textResponse(200, "ok\n"));
        openCalls_.erase(id);
    } else if (path == "/readyz") {
        server_.respond(id, textResponse(ready_ ? 200 : 503, ready_ ? "ready\n" : "not ready\n"));
        openCalls_.erase(id);
    } else if (path == "/metrics") {
        // The counters are part of the kernel's status report.
        call.isMetricsRequest = true;
        rings_.fromCallers.push(StatusRequested{id});
    } else if (path.rfind("/admin/", 0) == 0) {
        onAdmin(id, request, bearerKeySha256(request));
    } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
        onCompletion(id, request, bearerKeySha256(request), path == "/v1/chat/completions");
    } else if (path == "/v1/models") {
        rings_.fromCallers.push(ModelsRequested{id, bearerKeySha256(request)});
    } else {
        const std::string keySha256 = bearerKeySha256(request);
        onService(id, std::move(request), keySha256);
    }
}

void CallersDuty::onAdmin(net::ExchangeId id, const net::HttpRequest &request, const std::string &keySha256)
{
    const bool allowed = !settings_.operatorKeySha256.empty() && keySha256 == settings_.operatorKeySha256;
    const std::string drainPath = "/admin/drain/";
    const std::string timelinePath = "/admin/timeline";
    if (!allowed) {
        carryOut(AnswerFailure{id, {base::ErrorKind::Forbidden, "the operators' key is missing or wrong"}});
    } else if (request.target == "/admin/status") {
        rings_.fromCallers.push(StatusRequested{id});
    } else if (request.target.rfind(drainPath, 0) == 0 && request.method == "POST") {
        rings_.fromCallers.push(DrainRequested{id, request.target.substr(drainPath.size())});
    } else if (request.target.rfind(timelinePath, 0) == 0) {
        server_.respond(id, jsonResponse(timeline::toJson(events_.eventsSince(0))));
        openCalls_.erase(id);
    } else {
        carryOut(AnswerFailure{id, {base::ErrorKind::UnknownRoute, "no such operators' endpoint"}});
    }
}

void CallersDuty::onCompletion(net::ExchangeId id, const net::HttpRequest &request, const std::string &keySha256, bool chat)
{
    if (request.method != "POST") {
        carryOut(AnswerFailure{id, {base::ErrorKind::MethodNotAllowed, "completions are asked for with POST"}});
        return;
    }
    const auto parsed = openai::parseRequest(request.body, chat);
    if (!base::isOk(parsed)) {
        carryOut(AnswerFailure{id, base::errorOf(parsed)});
        return;
    }
    openCalls_[id].completion = base::valueOf(parsed);
    rings_.fromCallers.push(CompletionArrived{id, keySha256, base::valueOf(parsed)});
}

void CallersDuty::onService(net::ExchangeId id, net::HttpRequest request, const std::string &keySha256)
{
    ServiceRequest service;
    service.contentType = net::headerIn(request.headers, "Content-Type");
    service.idempotencyKey = net::headerIn(request.headers, "Idempotency-Key");
    // Authorization is left out, since the caller's API key must not reach the endpoint; the other two have fields of their own.
    service.headers = net::endToEndHeaders(request.headers, {"Authorization", "Content-Type", "Idempotency-Key"});
    service.method = std::move(request.method);
    service.target = std::move(request.target);
    service.body = std::move(request.body);
    rings_.fromCallers.push(ServiceCallArrived{id, keySha256, std::move(service)});
}

void CallersDuty::handleActions()
{
    Action action;
    while (rings_.toCallers.pop(action)) {
        try {
            std::visit([this](const auto &typed) { carryOut(typed); }, action);
        } catch (const std::exception &exception) {
            reportException(exception.what());
            std::visit([this](const auto &typed) { failCallOf(typed); }, action);
        }
    }
}

void CallersDuty::reportException(std::string_view text)
{
    std::cerr << "a request could not be answered: " << text << "\n";
}

void CallersDuty::fail(net::ExchangeId id)
{
    const auto found = openCalls_.find(id);
    if (found == openCalls_.end()) {
        return;
    }
    if (found->second.streaming) {
        server_.abort(id);
    } else {
        server_.respond(id, openai::problemResponse({base::ErrorKind::Internal, "the request met an internal error"}));
    }
    openCalls_.erase(found);
    rings_.fromCallers.push(CallerGone{id});
}

void CallersDuty::carryOut(const AnswerToken &action)
{
    const auto found = openCalls_.find(action.call);
    if (found == openCalls_.end() || !found->second.completion) {
        return;
    }
    OpenCall &call = found->second;
    const base::Instant now = base::readClocks().mono;
    const bool isFirst = call.lastTokenAt.count() == 0;
    if (isFirst) {
        firstTokenLatency_.add(now - call.arrivedAt);
    } else {
        interTokenLatency_.add(now - call.lastTokenAt);
    }
    call.lastTokenAt = now;
    if (!call.completion->stream) {
        call.tokens.push_back(action.text);
        return;
    }
    if (!call.streaming) {
        call.streaming = true;
        server_.beginStream(action.call, 200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}});
    }
    server_.writeChunk(action.call, openai::tokenEvent(*call.completion, action.call, action.text));
}

void CallersDuty::carryOut(const AnswerEnd &action)
{
    const auto found = openCalls_.find(action.call);
    if (found == openCalls_.end() || !found->second.completion) {
        return;
    }
    const OpenCall &call = found->second;
    if (call.streaming) {
        server_.writeChunk(action.call, openai::endEvents(*call.completion, action.call));
        server_.endStream(action.call);
    } else {
        server_.respond(action.call, jsonResponse(openai::completionBody(*call.completion, action.call, call.tokens)));
    }
    openCalls_.erase(found);
}

void CallersDuty::carryOut(const AnswerFailure &action)
{
    const auto found = openCalls_.find(action.call);
    if (found == openCalls_.end()) {
        return;
    }
    if (found->second.streaming) {
        server_.writeChunk(action.call, openai::errorEvent(action.error));
        server_.endStream(action.call);
    } else {
        server_.respond(action.call, openai::problemResponse(action.error));
    }
    openCalls_.erase(found);
}

void CallersDuty::carryOut(const AnswerService &action)
{
    net::HttpResponse response{action.answer.status, action.answer.headers, action.answer.body};
    if (!action.answer.contentType.empty()) {
        response.headers.emplace_back("Content-Type", action.answer.contentType);
    }
    if (action.replayed) {
        response.headers.emplace_back("Idempotency-Replayed", "true");
    }
    server_.respond(action.call, response);
    openCalls_.erase(action.call);
}

void CallersDuty::carryOut(const AnswerModels &action)
{
    server_.respond(action.call, jsonResponse(openai::modelsBody(action.models)));
    openCalls_.erase(action.call);
}

void CallersDuty::carryOut(const AnswerStatus &action)
{
    const auto found = openCalls_.find(action.call);
    if (found == openCalls_.end()) {
        return;
    }
    if (found->second.isMetricsRequest) {
        server_.respond(action.call, textResponse(200, metricsBody(action.status)));
    } else {
        server_.respond(action.call, jsonResponse(toJson(action.status)));
    }
    openCalls_.erase(found);
}

void CallersDuty::carryOut(const SetReady &action)
{
    ready_ = action.ready;
}

void CallersDuty::carryOut(const StopAccepting &)
{
    server_.stopAccepting();
}

std::string CallersDuty::metricsBody(const StatusReport &status) const
{
    std::string body;
    for (std::size_t i = 0; i < CounterCount; ++i) {
        const std::string name = "trefoilport_" + std::string(CounterNames[i]) + "_total";
        const std::uint64_t value = status.counters.value(static_cast<Counter>(i));
        body.append("# TYPE ").append(name).append(" counter\n").append(name).append(" ").append(std::to_string(value)).append("\n");
    }
    const auto gauge = [&](const std::string &name, std::uint64_t value) {
        body += "# TYPE trefoilport_" + name + " gauge\ntrefoilport_" + name + " " + std::to_string(value) + "\n";
    };
    gauge("config_revision", status.revision);
    gauge("config_confirmed", status.confirmed ? 1 : 0);
    gauge("open_calls", status.openCalls);
    gauge("ring_overflows", rings_.overflowCount());
    gauge("held_bytes", held_.bytes());
    body +=
        "# TYPE trefoilport_peers_over_limit_total counter\ntrefoilport_peers_over_limit_total " + std::to_string(held_.ended(net::PeerKind::Caller)) + "\n";
    body += "# TYPE trefoilport_connections_turned_away_total counter\n";
    for (const auto &[reason, name] : net::TurnedAwayNames) {
        body += "trefoilport_connections_turned_away_total{reason=\"" + std::string(name) + "\"} "
            + std::to_string(turnedAway_.at(static_cast<std::size_t>(reason))) + "\n";
    }
    body += firstTokenLatency_.exposition("trefoilport_first_token_seconds");
    body += interTokenLatency_.exposition("trefoilport_between_tokens_seconds");
    return body + (extraMetrics ? extraMetrics() : std::string());
}
