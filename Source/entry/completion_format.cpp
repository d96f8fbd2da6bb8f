#include "entry/completion_format.h"

#include <boost/json.hpp>

namespace pistachiolatch {

namespace json = boost::json;

namespace {
    constexpr std::size_t bytesPerToken = 4;
    constexpr std::int64_t maxTokensLimit = 1'000'000;

    result<std::string> buildChatPrompt(const json::object& body)
    {
        const auto* messages = body.if_contains("messages");
        if (!messages || !messages->is_array() || messages->get_array().empty())
            return failure { "messages must be a list that is not empty" };
        std::string prompt;
        for (const auto& item : messages->get_array()) {
            const auto* role = item.is_object() ? item.get_object().if_contains("role") : nullptr;
            const auto* content = item.is_object() ? item.get_object().if_contains("content") : nullptr;
            if (!role || !role->is_string() || !content || !content->is_string())
                return failure { "each message needs the strings role and content" };
            prompt += fmt::format("{}: {}\n", role->get_string().c_str(), std::string_view(content->get_string()));
        }
        return prompt;
    }

    result<std::uint32_t> parseMaxTokens(const json::object& body)
    {
        const auto* value = body.if_contains("max_completion_tokens");
        if (!value)
            value = body.if_contains("max_tokens");
        if (!value || value->is_null())
            return 0U;
        if (!value->is_int64() || value->get_int64() < 1 || value->get_int64() > maxTokensLimit)
            return failure { fmt::format("max_tokens must be an integer from 1 to {}", maxTokensLimit) };
        return static_cast<std::uint32_t>(value->get_int64());
    }

    json::object makeResponse(const completion_metadata& metadata, const char* chatObject, const char* textObject)
    {
        json::object body;
        body["id"] = metadata.requestId;
        body["object"] = metadata.chat ? chatObject : textObject;
        body["created"] = metadata.created;
        body["model"] = metadata.model;
        return body;
    }

    json::object makeUsage(const completion_usage& usage)
    {
        json::object body;
        body["prompt_tokens"] = usage.promptTokens;
        body["completion_tokens"] = usage.completionTokens;
        body["total_tokens"] = usage.promptTokens + usage.completionTokens;
        return body;
    }

    json::object makeChoice(const char* field, json::value value, const std::string& finishReason)
    {
        json::object choice;
        choice["index"] = 0;
        choice[field] = std::move(value);
        if (finishReason.empty())
            choice["finish_reason"] = nullptr;
        else
            choice["finish_reason"] = finishReason;
        return choice;
    }

    std::string serializeWithChoice(json::object body, json::object choice)
    {
        json::array choices;
        choices.push_back(std::move(choice));
        body["choices"] = std::move(choices);
        return json::serialize(body);
    }
}

std::uint32_t estimateTokens(const std::string& prompt)
{
    return static_cast<std::uint32_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken);
}

result<completion_request> parseCompletion(const std::string& text, bool chat)
{
    json::error_code error;
    auto value = json::parse(text, error);
    if (error)
        return failure { fmt::format("the body is not JSON: {}", error.message()) };
    if (!value.is_object())
        return failure { "the body must be a JSON object" };
    auto& body = value.get_object();
    completion_request request;
    request.chat = chat;
    const auto* model = body.if_contains("model");
    if (!model || !model->is_string() || model->get_string().empty())
        return failure { "model must be a string that is not empty" };
    request.model = model->get_string().c_str();
    const auto* stream = body.if_contains("stream");
    if (stream && !stream->is_bool())
        return failure { "stream must be true or false" };
    request.stream = stream && stream->get_bool();
    if (chat) {
        BOOST_OUTCOME_TRY(request.prompt, buildChatPrompt(body));
    } else {
        const auto* prompt = body.if_contains("prompt");
        if (!prompt || !prompt->is_string() || prompt->get_string().empty())
            return failure { "prompt must be a string that is not empty" };
        request.prompt = std::string(prompt->get_string());
    }
    const auto* count = body.if_contains("n");
    if (count && (!count->is_int64() || count->get_int64() != 1))
        return failure { "n must be 1: this router gives one answer to one request" };
    BOOST_OUTCOME_TRY(request.maxTokens, parseMaxTokens(body));
    for (const char* known : { "model", "stream", "prompt", "messages", "max_tokens", "max_completion_tokens", "n" })
        body.erase(known);
    request.parameters = json::serialize(body);
    return request;
}

std::string formatChunk(const completion_metadata& metadata, const std::string& text)
{
    auto body = makeResponse(metadata, "chat.completion.chunk", "text_completion");
    if (!metadata.chat)
        return serializeWithChoice(std::move(body), makeChoice("text", json::string(text), ""));
    json::object delta;
    delta["content"] = text;
    return serializeWithChoice(std::move(body), makeChoice("delta", std::move(delta), ""));
}

std::string formatFinalChunk(const completion_metadata& metadata, const std::string& finishReason, const completion_usage& usage)
{
    auto body = makeResponse(metadata, "chat.completion.chunk", "text_completion");
    body["usage"] = makeUsage(usage);
    if (!metadata.chat)
        return serializeWithChoice(std::move(body), makeChoice("text", json::string(), finishReason));
    return serializeWithChoice(std::move(body), makeChoice("delta", json::object(), finishReason));
}

std::string formatCompletion(const completion_metadata& metadata, const std::string& text, const std::string& finishReason, const completion_usage& usage)
{
    auto body = makeResponse(metadata, "chat.completion", "text_completion");
    body["usage"] = makeUsage(usage);
    if (!metadata.chat)
        return serializeWithChoice(std::move(body), makeChoice("text", json::string(text), finishReason));
    json::object message;
    message["role"] = "assistant";
    message["content"] = text;
    return serializeWithChoice(std::move(body), makeChoice("message", std::move(message), finishReason));
}

} // namespace pistachiolatch
