#pragma once

#include "net/Http.h"
#include "relay/RelayKernel.h"

#include <string_view>

namespace relayhost {

/// Header fields that instances add to the requests that they hand over to each other, and to the answers. Callers and endpoints never get them.
namespace handover {

/// Runs of the request that count against its route's limit, as a whole number; marks a request as handed over.
inline constexpr std::string_view Runs = "Trefoilport-Runs";
/// Version of the configuration under which the sender has admitted the request, or by which the other instance has rejected it, as a whole number.
inline constexpr std::string_view ConfigVersion = "Trefoilport-Config";
/// Name of the error kind for which the instance itself has rejected the request.
inline constexpr std::string_view Error = "Trefoilport-Error";
/// Time in milliseconds after which the request may be sent again.
inline constexpr std::string_view RetryAfterMs = "Trefoilport-Retry-Ms";

} // namespace handover

/// Adds to a request what another instance needs to take it over.
void markHandOver(net::HttpRequest &request, const relay::HandOver &order);
/// Takes from a request that another instance has handed over what it has added, and removes that from the request.
void takeHandOver(net::HttpRequest &request, relay::CallArrival &arrival);
/// Adds to the answer to a request of another instance why this one rejects it.
void markRejection(net::HttpResponse &response, const relay::Rejection &rejection);
/// Takes from the header of another instance's answer whether it rejects the request, and why.
void readRejection(const net::Headers &headers, relay::AnswerHead &head);

} // namespace relayhost
