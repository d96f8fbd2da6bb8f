#include "command/report_commands.h"

#include "program/program_main.h"
#include <array>
#include <boost/json.hpp>
#include <fmt/chrono.h>
#include <zmq.h>

namespace pistachiolatch {

namespace json = boost::json;

namespace {
    constexpr unsigned statusOk = 200;

    /// Sends a GET request and parses the response. Prints the error and returns null on failure.
    json::value fetchJson(const operator_client& client, const std::string& target)
    {
        auto response = client.sendRequest("GET", target, "");
        if (!response) {
            fmt::print(stderr, "{}\n", response.error().message);
            return nullptr;
        }
        json::error_code error;
        auto value = json::parse(response.value().body, error);
        if (!error && response.value().status == statusOk)
            return value;
        bool hasMessage = !error && value.is_object() && value.get_object().contains("message");
        fmt::print(stderr, "{}\n", hasMessage ? value.at("message").as_string().c_str() : "control's response is not the expected JSON");
        return nullptr;
    }
}

int commandStatus(const operator_client& client)
{
    auto status = fetchJson(client, "/v1/status");
    auto pools = fetchJson(client, "/v1/pools");
    if (status.is_null() || pools.is_null())
        return exitFailed;
    fmt::print("leader={} term={} revision={} in_force={} ledger_entries={}\n", status.at("leader").as_string().c_str(), status.at("term").to_number<std::uint64_t>(),
        status.at("revision").to_number<std::uint64_t>(), status.at("in_force").as_bool(), status.at("ledger_entries").to_number<std::uint64_t>());
    for (const auto& replica : status.at("replicas").as_array())
        fmt::print("replica vm={} address={}\n", replica.at("vm").as_string().c_str(), replica.at("address").as_string().c_str());
    for (const auto& process : status.at("processes").as_array())
        fmt::print("process {} data_centre={} live={} leaving={} applied_revision={} schema={}\n", process.at("process").as_string().c_str(), process.at("data_centre").as_string().c_str(),
            process.at("live").as_bool(), process.at("leaving").as_bool(), process.at("applied_revision").to_number<std::uint64_t>(), process.at("schema").to_number<std::uint64_t>());
    for (const auto& shard : status.at("shards").as_array())
        fmt::print("shard {} owner={} epoch={}\n", shard.at("shard").as_string().c_str(), shard.at("owner").as_string().c_str(), shard.at("epoch").to_number<std::uint64_t>());
    for (const auto& line : pools.at("pools").as_array())
        fmt::print("{}\n", line.as_string().c_str());
    return exitOk;
}

int commandEvents(const operator_client& client)
{
    auto events = fetchJson(client, "/v1/events");
    if (events.is_null())
        return exitFailed;
    for (const auto& event : events.at("events").as_array()) {
        auto millis = event.at("at_ms").to_number<std::int64_t>();
        fmt::print("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {}: {}\n", fmt::gmtime(static_cast<std::time_t>(millis / 1000)), millis % 1000, event.at("process").as_string().c_str(), event.at("text").as_string().c_str());
    }
    return exitOk;
}

int commandExplain(const operator_client& client, const std::string& requestId)
{
    if (requestId.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_") != std::string::npos) {
        fmt::print(stderr, "\"{}\" is not a request id; copy it from X-Request-Id or from an error's request_id\n", requestId);
        return exitBadInput;
    }
    auto explanation = fetchJson(client, "/v1/explain/" + requestId);
    if (explanation.is_null())
        return exitFailed;
    for (const auto& line : explanation.at("lines").as_array())
        fmt::print("{}\n", line.as_string().c_str());
    return exitOk;
}

int commandWireKeys()
{
    constexpr std::size_t z85Size = 41;
    std::array<char, z85Size> publicKey {};
    std::array<char, z85Size> secretKey {};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        fmt::print(stderr, "this ZeroMQ library was built without CURVE\n");
        return exitFailed;
    }
    // TOML literal strings, because Z85 keys contain characters that a basic string treats as escapes.
    fmt::print("public_key = '{}'\nsecret_key = '{}'\n", publicKey.data(), secretKey.data());
    return exitOk;
}

int commandOperatorToken()
{
    constexpr std::size_t tokenBytes = 32;
    auto token = randomHex(tokenBytes);
    fmt::print("token = \"{}\"\ntoken_sha256 = \"{}\"\n", token, sha256Hex(token));
    return exitOk;
}

} // namespace pistachiolatch
