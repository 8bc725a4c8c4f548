#include "OpenAi.h"

#include <boost/json.hpp>

namespace openai {

namespace json = boost::json;
using trefoilport::CallId;
using trefoilport::CompletionRequest;

namespace {

/// Maximum number of tokens to generate for a request that states none.
constexpr std::uint32_t DefaultMaxTokens = 16;
/// Maximum nesting of a request's JSON.
constexpr std::size_t MaxJsonDepth = 32;

base::Error badRequest(const std::string &detail)
{
    return {base::ErrorKind::BadRequest, detail};
}

std::string idOf(const CompletionRequest &request, CallId call)
{
    return (request.chat ? "chatcmpl-" : "cmpl-") + std::to_string(call);
}

/// Returns the text of a chat message's content, which is a string or an array of parts; parts without text are skipped.
std::string contentOf(const json::value &content)
{
    if (content.is_string()) {
        return std::string(content.as_string());
    }
    std::string text;
    for (const json::value &part : content.as_array()) {
        if (const json::value *found = part.as_object().if_contains("text")) {
            text += json::value_to<std::string>(*found);
        }
    }
    return text;
}

/// Returns the prompt of a request; a chat gives "ROLE: CONTENT" and a newline for each message.
std::string promptOf(const json::object &object, bool chat)
{
    if (!chat) {
        return json::value_to<std::string>(object.at("prompt"));
    }
    std::string prompt;
    for (const json::value &message : object.at("messages").as_array()) {
        prompt += json::value_to<std::string>(message.as_object().at("role")) + ": " + contentOf(message.as_object().at("content")) + "\n";
    }
    return prompt;
}

/// Returns the value of "max_tokens" or, if that is missing or null, "max_completion_tokens"; DefaultMaxTokens if both are.
base::Result<std::uint32_t> maxTokensOf(const json::object &object)
{
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        const json::value *found = object.if_contains(name);
        if (found == nullptr || found->is_null()) {
            continue;
        }
        boost::system::error_code error;
        const auto number = found->is_number() ? found->to_number<std::uint32_t>(error) : 0;
        if (error || !found->is_number()) {
            return badRequest(std::string(name) + " must be a whole number");
        }
        return number;
    }
    return DefaultMaxTokens;
}

/// Returns the only entry of "choices". In a chat the text is a message below `field`, otherwise it is the field "text".
json::object choiceOf(const CompletionRequest &request, const char *field, const std::string &text, json::value finishReason)
{
    json::object choice{{"index", 0}, {"finish_reason", std::move(finishReason)}};
    if (request.chat) {
        choice[field] = json::object{{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    return choice;
}

std::string serverSentEvent(const json::object &body)
{
    return "data: " + json::serialize(body) + "\n\n";
}

/// Returns the JSON object around a choice. `chatObject` is the value of "object" in a chat.
json::object completionObject(const CompletionRequest &request, CallId call, const char *chatObject, json::object choice)
{
    return {{"id", idOf(request, call)},
            {"object", request.chat ? chatObject : "text_completion"},
            {"model", request.model},
            {"choices", json::array{std::move(choice)}}};
}

} // namespace

base::Result<CompletionRequest> parseRequest(const std::string &body, bool chat)
{
    json::parse_options options;
    options.max_depth = MaxJsonDepth;
    boost::system::error_code error;
    const json::value root = json::parse(body, error, {}, options);
    if (error || !root.is_object()) {
        return badRequest("the body must be a JSON object");
    }
    try {
        const json::object &object = root.get_object();
        CompletionRequest request;
        request.chat = chat;
        request.model = json::value_to<std::string>(object.at("model"));
        request.prompt = promptOf(object, chat);
        const base::Result<std::uint32_t> maxTokens = maxTokensOf(object);
        if (!base::isOk(maxTokens)) {
            return base::errorOf(maxTokens);
        }
        request.maxTokens = base::valueOf(maxTokens);
        const json::value *stream = object.if_contains("stream");
        request.stream = stream != nullptr && stream->is_bool() && stream->as_bool();
        if (const json::value *tier = object.if_contains("service_tier"); tier != nullptr && tier->is_string()) {
            request.callClass = base::valueIn(settings::CallClassNames, std::string_view(tier->as_string()));
        }
        return request;
    } catch (const std::exception &) {
        return badRequest(chat ? "'model' and 'messages' (role, content) are required" : "'model' and 'prompt' (one text) are required");
    }
}

std::string tokenEvent(const CompletionRequest &request, CallId call, const std::string &text)
{
    return serverSentEvent(completionObject(request, call, "chat.completion.chunk", choiceOf(request, "delta", text, nullptr)));
}

std::string endEvents(const CompletionRequest &request, CallId call)
{
    return serverSentEvent(completionObject(request, call, "chat.completion.chunk", choiceOf(request, "delta", "", "length"))) + "data: [DONE]\n\n";
}

std::string errorEvent(const base::Error &error)
{
    const base::ErrorAnswer &answer = base::errorAnswer(error.kind);
    return serverSentEvent({{"error", json::object{{"kind", answer.name}, {"message", error.detail}, {"ran", base::nameOf(answer.ran)}}}});
}

std::string completionBody(const CompletionRequest &request, CallId call, const std::vector<std::string> &tokens)
{
    std::string text;
    for (const std::string &token : tokens) {
        text += token;
    }
    json::object body = completionObject(request, call, "chat.completion", choiceOf(request, "message", text, "length"));
    body["usage"] = json::object{{"completion_tokens", tokens.size()}};
    return json::serialize(body);
}

std::string modelsBody(const std::vector<std::string> &models)
{
    json::array data;
    for (const std::string &model : models) {
        data.push_back(json::object{{"id", model}, {"object", "model"}, {"owned_by", "trefoilport"}});
    }
    return json::serialize(json::object{{"object", "list"}, {"data", data}});
}

net::HttpResponse problemResponse(const base::Error &error)
{
    const base::ErrorAnswer &answer = base::errorAnswer(error.kind);
    const json::object body{{"type", "about:blank"},
                            {"title", answer.name},
                            {"kind", answer.name},
                            {"status", answer.status},
                            {"detail", error.detail},
                            {"ran", base::nameOf(answer.ran)}};
    net::HttpResponse response{answer.status, {{"Content-Type", "application/problem+json"}}, json::serialize(body)};
    if (answer.retriable) {
        response.headers.emplace_back("Retry-After", std::to_string(answer.retryAfterSeconds));
    }
    return response;
}

} // namespace openai
