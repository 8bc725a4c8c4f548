#include "relayhost/HandOverFields.h"

#include <algorithm>
#include <charconv>

namespace relayhost {

namespace {

/// Parses a whole number; 0 if the text is none.
template<typename Number = std::uint32_t>
Number numberIn(std::string_view text)
{
    Number number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Returns the error kind with that name. One that this version doesn't know says nothing of whether the request has run.
base::ErrorKind errorKindNamed(std::string_view name)
{
    const auto &answers = base::errorAnswers();
    const auto found = std::find_if(answers.begin(), answers.end(), [&](const base::ErrorAnswer &answer) { return answer.name == name; });
    return found == answers.end() ? base::ErrorKind::UpstreamBroken : found->kind;
}

} // namespace

void markHandOver(net::HttpRequest &request, const relay::HandOver &order)
{
    net::removeHeader(request.headers, handover::Runs);
    net::removeHeader(request.headers, handover::ConfigVersion);
    request.headers.emplace_back(std::string(handover::Runs), std::to_string(order.runs));
    request.headers.emplace_back(std::string(handover::ConfigVersion), std::to_string(order.configVersion));
}

void takeHandOver(net::HttpRequest &request, relay::CallArrival &arrival)
{
    arrival.isHandedOver = true;
    arrival.priorRuns = numberIn(net::headerIn(request.headers, handover::Runs));
    arrival.configVersion = numberIn<std::uint64_t>(net::headerIn(request.headers, handover::ConfigVersion));
    net::removeHeader(request.headers, handover::Runs);
    net::removeHeader(request.headers, handover::ConfigVersion);
}

void markRejection(net::HttpResponse &response, const relay::Rejection &rejection)
{
    response.headers.emplace_back(std::string(handover::Error), std::string(base::nameOf(rejection.kind)));
    response.headers.emplace_back(std::string(handover::RetryAfterMs), std::to_string(rejection.retryAfter.count()));
    response.headers.emplace_back(std::string(handover::ConfigVersion), std::to_string(rejection.configVersion));
}

void readRejection(const net::Headers &headers, relay::AnswerHead &head)
{
    const std::string_view name = net::headerIn(headers, handover::Error);
    if (!name.empty()) {
        head.peerError = errorKindNamed(name);
        head.peerRetryAfter = relay::Ms(numberIn(net::headerIn(headers, handover::RetryAfterMs)));
        head.peerConfigVersion = numberIn<std::uint64_t>(net::headerIn(headers, handover::ConfigVersion));
    }
}

} // namespace relayhost
