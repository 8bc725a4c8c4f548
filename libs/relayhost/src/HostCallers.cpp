#include "relayhost/RelayHost.h"

#include "base/Time.h"
#include "relayhost/HandOverFields.h"

namespace relayhost {

namespace {

relay::Instant now()
{
    return base::readBootTimeClock();
}

base::ErrorKind kindOf(net::RefusalKind refusal)
{
    switch (refusal) {
    case net::RefusalKind::HeaderTooLarge:
        return base::ErrorKind::HeaderTooLarge;
    case net::RefusalKind::BodyTooLarge:
        return base::ErrorKind::BodyTooLarge;
    case net::RefusalKind::RequestTooSlow:
        return base::ErrorKind::RequestTimeout;
    case net::RefusalKind::HandlerFailed:
        return base::ErrorKind::Internal;
    case net::RefusalKind::TooMuchHeld:
        return base::ErrorKind::Overloaded;
    case net::RefusalKind::Stopping:
        return base::ErrorKind::Stopping;
    case net::RefusalKind::CallerLeft:
        return base::ErrorKind::AnswerIncomplete;
    case net::RefusalKind::Malformed:
        break;
    }
    return base::ErrorKind::BadRequest;
}

/// Returns what callers are told about a request that the server answers itself.
std::string detailOf(net::RefusalKind refusal)
{
    switch (refusal) {
    case net::RefusalKind::HandlerFailed:
        return "the request met an internal error";
    case net::RefusalKind::TooMuchHeld:
        return "this instance holds too much for its callers";
    case net::RefusalKind::Stopping:
        return "this instance had to stop before the whole request had arrived";
    case net::RefusalKind::CallerLeft:
        return "the caller closed its sending side before the answer, which counts as leaving";
    default:
        return "the request can't be read";
    }
}

/// Returns the event by which such a request is logged; empty if it isn't, since callers that leave are logged with their exchange.
std::string eventOf(net::RefusalKind refusal)
{
    switch (refusal) {
    case net::RefusalKind::HandlerFailed:
        return "request_failed";
    case net::RefusalKind::Stopping:
    case net::RefusalKind::TooMuchHeld:
        return "arrival_cut";
    case net::RefusalKind::CallerLeft:
        return "";
    default:
        return "malformed_request";
    }
}

} // namespace

net::HttpServer::Handlers RelayHost::callerHandlers(Origin origin)
{
    net::HttpServer::Handlers handlers;
    handlers.onRequest = [this, origin](net::ExchangeId exchange, net::HttpRequest request) {
        onRequest(origin, exchange, std::move(request));
    };
    handlers.onAbort = [this, origin](net::ExchangeId exchange) {
        kernel_.onCallerGone(now(), callOf(origin, exchange));
    };
    handlers.onEnded = [this, origin](net::ExchangeId exchange, net::ExchangeEnd end) {
        onExchangeEnded(callOf(origin, exchange), end);
    };
    handlers.refusal = [this](net::RefusalKind refusal) {
        countUnreadable(kindOf(refusal));
        if (const std::string event = eventOf(refusal); !event.empty()) {
            record({event, "", std::string(base::nameOf(kindOf(refusal))), ""});
        }
        return dialect_.encodeRejection({kindOf(refusal), detailOf(refusal), relay::Ms(0)}, "");
    };
    handlers.onDeliveryFailed = [this](const net::DeliveryFailure &failure) {
        recordDeliveryFailure(failure);
    };
    handlers.onDiscarded = [this](const std::string &requestId, std::size_t bytes) {
        record({"input_discarded", requestId, "", std::to_string(bytes) + " bytes behind the last request of its connection"});
    };
    handlers.onTurnedAway = [this](net::TurnedAway reason) {
        ++turnedAway_.at(static_cast<std::size_t>(reason));
    };
    handlers.onException = [this](std::string_view text) {
        record({"exception", "", "callers", std::string(text)});
    };
    return handlers;
}

net::HttpServer::Handlers RelayHost::operatorHandlers(std::unique_ptr<net::HttpServer> &server)
{
    net::HttpServer::Handlers handlers;
    handlers.onRequest = [this, &server](net::ExchangeId exchange, const net::HttpRequest &request) {
        onOperatorRequest(*server, exchange, request);
    };
    handlers.onAbort = [](net::ExchangeId) {
    };
    handlers.refusal = [this](net::RefusalKind refusal) {
        return dialect_.encodeRejection({kindOf(refusal), "", relay::Ms(0)}, "");
    };
    return handlers;
}

relay::CallId RelayHost::callOf(Origin origin, net::ExchangeId exchange)
{
    constexpr relay::CallId HandOverBit = 1ULL << 63U;
    return origin == Origin::Instance ? exchange | HandOverBit : exchange;
}

void RelayHost::onRequest(Origin origin, net::ExchangeId exchange, net::HttpRequest request)
{
    const relay::CallId id = callOf(origin, exchange);
    DecodedCall decoded = dialect_.decodeCall(id, request);
    net::HttpServer &server = origin == Origin::Instance ? *handOverServer_ : *callerServer_;
    server.describe(exchange, {decoded.arrival.requestId, decoded.arrival.timeLimit});
    OpenCall call{CallerResponse<net::HttpServer>(server, exchange)};
    if (origin == Origin::Instance) {
        call.isHandedOver = true;
        takeHandOver(request, decoded.arrival);
    }
    call.requestId = decoded.arrival.requestId;
    call.arrivedAt = now();
    call.request = std::move(request);
    calls_.emplace(id, std::move(call));
    if (decoded.isMalformed) {
        countUnreadable(base::ErrorKind::BadRequest);
        return reject(id, {base::ErrorKind::BadRequest, "the request lacks an id, a host or an absolute path", relay::Ms(0)});
    }
    kernel_.onCall(now(), decoded.arrival);
}

void RelayHost::onExchangeEnded(relay::CallId call, net::ExchangeEnd end)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    if (end != net::ExchangeEnd::Answered) {
        ++unansweredExchanges_;
        record({"exchange_unanswered", found->second.requestId, std::string(base::nameIn(net::ExchangeEndNames, end)), ""});
    }
    calls_.erase(found);
}

void RelayHost::recordDeliveryFailure(const net::DeliveryFailure &failure)
{
    const std::string state = failure.isWritten ? " bytes of a written answer not taken" : " bytes of an unfinished answer not taken";
    record({"delivery_failed", failure.requestId, failure.error, std::to_string(failure.untakenBytes) + state});
}

void RelayHost::recordCutExchanges()
{
    for (const auto &[exchange, call] : calls_) {
        record({"exchange_unanswered", call.requestId, "cut_at_exit", ""});
    }
    if (!calls_.empty()) {
        record({"exchanges_cut", "", settings_.relay.instance, std::to_string(calls_.size()) + " answers were not written when the process ended"});
    }
}

} // namespace relayhost
