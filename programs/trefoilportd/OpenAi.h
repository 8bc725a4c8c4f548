#pragma once

#include "base/Result.h"
#include "net/Http.h"
#include "trefoilport/Action.h"

#include <string>
#include <vector>

/// The OpenAI-style HTTP API for completions: parses requests and renders answers.
namespace openai {

/// Parses the body of /v1/completions or, if `chat` is set, /v1/chat/completions. The messages of a chat are joined to one prompt. Returns a BadRequest error
/// if the body is no JSON object, a required field is missing or malformed, or the token limit is not an unsigned 32-bit whole number.
base::Result<trefoilport::CompletionRequest> parseRequest(const std::string &body, bool chat);

/// Returns one streamed token as a server-sent event.
std::string tokenEvent(const trefoilport::CompletionRequest &request, trefoilport::CallId call, const std::string &text);

/// Returns the end of a stream: an event with the finish reason, and the end marker "[DONE]".
std::string endEvents(const trefoilport::CompletionRequest &request, trefoilport::CallId call);

/// Returns the event that ends a stream with an error. It contains no end marker, so that the client can't take the stream for a complete one.
std::string errorEvent(const base::Error &error);

/// Returns the JSON body of a completion that is not streamed.
std::string completionBody(const trefoilport::CompletionRequest &request, trefoilport::CallId call, const std::vector<std::string> &tokens);

/// Returns the JSON body of /v1/models.
std::string modelsBody(const std::vector<std::string> &models);

/// Returns the response for an error, as application/problem+json. Errors after which the caller may repeat its request get a Retry-After header.
net::HttpResponse problemResponse(const base::Error &error);

} // namespace openai
