#include "relayhost/RelayHost.h"

#include "base/Hash.h"
#include "base/Time.h"
#include "relayhost/HandOverFields.h"

namespace relayhost {

namespace {

constexpr relay::Ms ConnectTimeout{400};
/// Added to the time left for the call, so that the endpoint can still answer that the request timed out there.
constexpr relay::Ms AnswerTimeoutMargin{300};
constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
/// A larger event of a stream has no end: it is held until it is complete, and the call would go on until its time limit.
constexpr std::size_t MaxEventBytes = 1024 * 1024;

relay::Instant now()
{
    return base::readBootTimeClock();
}

relay::AttemptFailure failureOf(net::CallFailure failure)
{
    switch (failure) {
    case net::CallFailure::NotSent:
        return relay::AttemptFailure::NotSent;
    case net::CallFailure::TimedOut:
        return relay::AttemptFailure::TimedOut;
    case net::CallFailure::Malformed:
    case net::CallFailure::TooMuchHeld:
        return relay::AttemptFailure::Malformed;
    default:
        return relay::AttemptFailure::Broken;
    }
}

} // namespace

void RelayHost::send(relay::Dispatch dispatch)
{
    const auto call = calls_.find(dispatch.call);
    if (call == calls_.end()) {
        return;
    }
    net::ClientCall request;
    request.address = net::parseAddress(dispatch.address);
    request.request = dialect_.encodeDispatch(call->second.request, dispatch);
    request.totalTimeout = dispatch.timeLeft + AnswerTimeoutMargin;
    request.freshConnection = dispatch.freshConnection;
    attempts_[dispatch.attempt].mayStream = dispatch.isStream;
    startAttempt(dispatch.attempt, dispatch.call, dispatch.endpoint, std::move(request));
}

void RelayHost::handOver(relay::HandOver order)
{
    const auto call = calls_.find(order.call);
    if (call == calls_.end()) {
        return;
    }
    net::ClientCall request;
    request.address = net::parseAddress(order.address);
    request.request = dialect_.encodeHandOver(call->second.request, order);
    markHandOver(request.request, order);
    request.totalTimeout = order.timeLeft + AnswerTimeoutMargin;
    request.freshConnection = order.freshConnection;
    attempts_[order.attempt].mayStream = order.isStream;
    attempts_[order.attempt].isHandOver = true;
    startAttempt(order.attempt, order.call, order.instance, std::move(request));
}

void RelayHost::startAttempt(relay::AttemptId id, relay::CallId call, const std::string &receiver, net::ClientCall request)
{
    OpenCall &open = calls_.at(call);
    request.connectTimeout = ConnectTimeout;
    request.bodyLimit = MaxAnswerBytes;
    const net::PeerKind peerKind = attempts_[id].isHandOver ? net::PeerKind::Instance : net::PeerKind::Endpoint;
    request.held = &held_;
    request.peerKind = peerKind;
    request.isStray = [this, requestId = open.requestId, receiver](const net::Headers &headers) {
        const bool isStray = dialect_.answerIdOf(headers, requestId) == AnswerId::Other;
        if (isStray) {
            record({"answer_skipped", requestId, receiver, "it answers an earlier request"});
        }
        return isStray;
    };
    net::ClientHandlers handlers;
    handlers.onKeptConnection = [this, id]() {
        if (const auto attempt = attempts_.find(id); attempt != attempts_.end()) {
            attempt->second.isOnKeptConnection = true;
        }
    };
    handlers.onHead = [this, id, receiver](int status, const net::Headers &headers) {
        onHead(id, receiver, status, headers);
    };
    handlers.onData = [this, id](const std::string &data) {
        onData(id, data);
    };
    handlers.onEnd = [this, id, call]() {
        runForCall(call, [&]() { onEnd(id); });
        attempts_.erase(id);
    };
    handlers.onFailure = [this, id, call](net::CallFailure failure, const net::CallProgress &progress) {
        runForCall(call, [&]() { onFailure(id, failure, net::toText(progress)); });
    };
    attempts_[id].call = call;
    attempts_[id].held = held_.share(peerKind, [this, id]() { giveUp(id, "it takes more memory than is left for it"); });
    attempts_[id].clientCall = endpointClient_.start(std::move(request), std::move(handlers));
}

void RelayHost::onHead(relay::AttemptId id, const std::string &endpoint, int status, const net::Headers &headers)
{
    const auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) {
        return;
    }
    attempt->second.status = status;
    attempt->second.headers = headers;
    const auto open = calls_.find(attempt->second.call);
    if (open == calls_.end()) {
        return;
    }
    const std::string &requestId = open->second.requestId;
    const relay::AnswerHead head = answerHead(attempt->second, requestId);
    if (!head.notRun && dialect_.decodeAnswer(status, headers, requestId).notRun) {
        record({"refusal_doubted", requestId, endpoint, "status " + std::to_string(status) + " without an id on a kept connection"});
    }
    attempt->second.isStream = attempt->second.mayStream && head.verified && dialect_.isEventStream(status, headers);
    kernel_.onHead(now(), id, head);
}

relay::AnswerHead RelayHost::answerHead(const OpenAttempt &attempt, const std::string &requestId) const
{
    relay::AnswerHead head = dialect_.decodeAnswer(attempt.status, attempt.headers, requestId);
    const bool mayAnswerAnother = attempt.isOnKeptConnection && dialect_.answerIdOf(attempt.headers, requestId) != AnswerId::Own;
    head.notRun = head.notRun && !mayAnswerAnother;
    head.isOnNewConnection = !attempt.isOnKeptConnection;
    if (attempt.isHandOver) {
        readRejection(attempt.headers, head);
    }
    return head;
}

void RelayHost::onData(relay::AttemptId id, const std::string &data)
{
    auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) {
        return;
    }
    attempt->second.body += data;
    if (!attempt->second.isStream) {
        return attempt->second.held.set(attempt->second.body.capacity());
    }
    const relay::CallId call = attempt->second.call;
    std::string forwardedBytes;
    std::size_t consumedBytes = 0;
    bool isDamaged = false;
    while (attempt != attempts_.end()) {
        const auto frame = attempt->second.events.next(std::string_view(attempt->second.body).substr(consumedBytes));
        isDamaged = frame && frame->kind == net::FrameKind::Unreadable;
        if (!frame || isDamaged) {
            break;
        }
        consumedBytes += frame->length;
        const std::string bytes(frame->bytes);
        // Comments are not forwarded. onEvent() may end the call and cancel the attempt, so the attempt is looked up again below.
        if (frame->kind == net::FrameKind::Event && kernel_.onEvent(now(), id, frame->id, base::hashOf(bytes))) {
            forwardedBytes += bytes;
        }
        attempt = attempts_.find(id);
    }
    if (!forwardedBytes.empty()) {
        recordEventLatency(call);
        const auto open = calls_.find(call);
        if (open != calls_.end() && !open->second.response.write(id, forwardedBytes)) {
            recordMisfit(call, "events of an attempt that the stream doesn't belong to");
            kernel_.onCallerGone(now(), call);
        }
    }
    attempt = attempts_.find(id);
    if (attempt == attempts_.end()) {
        return;
    }
    if (isDamaged) {
        return giveUp(id, "an event has no id that can be read");
    }
    attempt->second.body.erase(0, consumedBytes);
    attempt->second.held.set(attempt->second.body.capacity());
    if (attempt->second.body.size() > MaxEventBytes) {
        giveUp(id, "an event has more than " + std::to_string(MaxEventBytes) + " bytes");
    }
}

void RelayHost::recordEventLatency(relay::CallId call)
{
    const auto open = calls_.find(call);
    if (open == calls_.end()) {
        return;
    }
    const relay::Instant time = now();
    if (open->second.lastEventAt.count() == 0) {
        firstEventLatency_.add(time - open->second.arrivedAt);
    } else {
        eventIntervals_.add(time - open->second.lastEventAt);
    }
    open->second.lastEventAt = time;
}

void RelayHost::onEnd(relay::AttemptId id)
{
    const auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) {
        return;
    }
    if (attempt->second.isStream) {
        if (attempt->second.events.isWithinFrame()) {
            kernel_.onFailure(now(), id, relay::AttemptFailure::Broken, "its answer ended within an event");
        } else {
            kernel_.onStreamEnd(now(), id);
        }
    } else {
        const auto call = calls_.find(attempt->second.call);
        const std::string requestId = call == calls_.end() ? "" : call->second.requestId;
        kernel_.onAnswer(now(), id, answerHead(attempt->second, requestId));
    }
}

void RelayHost::onFailure(relay::AttemptId id, net::CallFailure failure, const std::string &progress)
{
    if (attempts_.erase(id) > 0) {
        kernel_.onFailure(now(), id, failureOf(failure), progress);
    }
}

void RelayHost::giveUp(relay::AttemptId id, const std::string &reason)
{
    const auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) {
        return;
    }
    const relay::CallId call = attempt->second.call;
    cancel(id);
    runForCall(call, [&]() { kernel_.onFailure(now(), id, relay::AttemptFailure::Malformed, reason); });
}

void RelayHost::cancel(relay::AttemptId attempt)
{
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end()) {
        const net::ClientCallId clientCall = found->second.clientCall;
        attempts_.erase(found);
        endpointClient_.cancel(clientCall);
    }
}

} // namespace relayhost
