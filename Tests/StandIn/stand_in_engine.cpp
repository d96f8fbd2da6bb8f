#include "StandIn/stand_in_engine.h"

#include "load/expected_output.h"
#include <boost/asio.hpp>
#include <xxhash.h>

namespace pistachiolatch::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {
    constexpr const char* jsonType = "application/json";
    constexpr std::uint32_t tokensPerPiece = 4096;
    constexpr std::size_t prefixLength = 16UL * 1024;
    constexpr std::size_t maxCachedPrefixes = 32;
    constexpr milliseconds announceInterval { 400 };
    constexpr milliseconds progressInterval { 50 };

    time_point now()
    {
        return std::chrono::steady_clock::now();
    }

    std::string stringField(const json::object& body, const char* name)
    {
        const auto* value = body.if_contains(name);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    std::uint64_t numberField(const json::object& body, const char* name)
    {
        const auto* value = body.if_contains(name);
        json::error_code error;
        return value ? value->to_number<std::uint64_t>(error) : 0;
    }

    bool boolField(const json::object& body, const char* name)
    {
        const auto* value = body.if_contains(name);
        return value && value->is_bool() && value->get_bool();
    }

    json::object parseObject(const std::string& body)
    {
        json::error_code error;
        auto value = json::parse(body, error);
        return !error && value.is_object() ? value.get_object() : json::object();
    }

    std::string formatEvent(json::object body)
    {
        return sseEvent(json::serialize(body));
    }

    std::string flagEvent(const std::string& tag, const char* flagName)
    {
        json::object body;
        body["tag"] = tag;
        body[flagName] = true;
        return formatEvent(std::move(body));
    }
}

stand_in_engine::stand_in_engine(traffic_threads& threads, endpoint_settings settings, shared_state& shared, std::vector<std::string> entryAddresses)
    : m_threads(threads)
    , m_settings(std::move(settings))
    , m_shared(shared)
    , m_entryAddresses(std::move(entryAddresses))
    , m_server(
          threads, http_limits {}, [this](http_exchange& exchange) { return handleRequest(exchange); }, [](reason why) { return http_error_response { httpStatus(why), jsonType, "{}", {} }; })
    , m_incarnation(generateIncarnation())
{
}

result<void> stand_in_engine::start()
{
    BOOST_OUTCOME_TRYV(m_server.listen(m_settings.listen));
    asio::co_spawn(m_threads.first(), sendAnnouncements(), asio::detached);
    return ok();
}

std::string stand_in_engine::address() const
{
    if (!m_settings.advertise.empty())
        return m_settings.advertise;
    return m_settings.listen.substr(0, m_settings.listen.rfind(':') + 1) + std::to_string(m_server.port());
}

task_of<void> stand_in_engine::sleepFor(duration length)
{
    asio::steady_timer timer(m_threads.first(), length);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

task_of<void> stand_in_engine::handleRequest(http_exchange& exchange)
{
    auto path = exchange.path();
    auto body = parseObject(exchange.message().body());
    m_shared.callerKeySeen = m_shared.callerKeySeen || !exchange.header("Authorization").empty() || exchange.message().body().find("pl-") != std::string::npos;
    if (path == "/test") {
        setFaults(body);
        co_await exchange.respond(200, jsonType, "{}");
        co_return;
    }
    if (path == "/stats") {
        auto response = json::serialize(stats());
        co_await exchange.respond(200, jsonType, response);
        co_return;
    }
    if (m_down || m_ignoreCalls) {
        while (m_ignoreCalls)
            co_await sleepFor(milliseconds(20));
        exchange.abortStream();
        co_return;
    }
    if (m_settings.role == "service")
        co_await handleService(exchange);
    else if (path == "/prefill")
        co_await handlePrefill(exchange, body);
    else if (path == "/kv/export")
        co_await handleKvExport(exchange, body);
    else if (path == "/kv/import")
        co_await handleKvImport(exchange, body);
    else if (path == "/decode")
        co_await handleDecode(exchange, body);
    else if (path == "/cancel")
        co_await handleCancel(exchange, body);
    else if (path == "/orders")
        co_await handleOrder(exchange, body);
    else if (path == "/requests") {
        removeExpiredKv();
        json::array items;
        for (const auto& [id, kv] : m_kvCache)
            items.push_back(json::object { { "tag", kv.tag }, { "attached", m_runningByTag.count(kv.tag) > 0 } });
        json::object response;
        response["requests"] = std::move(items);
        auto bytes = json::serialize(response);
        co_await exchange.respond(200, jsonType, bytes);
    } else
        co_await exchange.respond(404, jsonType, "{}");
}

task_of<void> stand_in_engine::handlePrefill(http_exchange& exchange, json_object body)
{
    auto incarnation = m_incarnation;
    kv_cache_entry kv;
    kv.tag = stringField(body, "tag");
    kv.prompt = stringField(body, "prompt");
    kv.fromIndex = static_cast<std::uint32_t>(numberField(body, "from_index"));
    kv.tokens = static_cast<std::uint32_t>((kv.prompt.size() + 3) / 4) + kv.fromIndex;
    kv.pieces = (kv.tokens + tokensPerPiece - 1) / tokensPerPiece;
    auto computedTokens = kv.tokens;
    if (kv.prompt.size() >= prefixLength) {
        auto prefix = XXH3_64bits(kv.prompt.data(), prefixLength);
        bool cached = std::find(m_cachedPrefixes.begin(), m_cachedPrefixes.end(), prefix) != m_cachedPrefixes.end();
        computedTokens -= cached ? tokensPerPiece : 0;
        if (!cached)
            m_cachedPrefixes.push_back(prefix);
        if (m_cachedPrefixes.size() > maxCachedPrefixes)
            m_cachedPrefixes.pop_front();
    }
    ++m_prefillWaiting;
    m_prefillBusyUntil = std::max(m_prefillBusyUntil, now()) + std::chrono::microseconds(1'000'000ULL * computedTokens / m_settings.prefillTokensPerSecond);
    auto finishTime = m_prefillBusyUntil;
    co_await sleepFor(finishTime - now());
    --m_prefillWaiting;
    if (kv.prompt.find(crashMark) != std::string::npos)
        crash();
    if (hasCrashedSince(incarnation)) {
        exchange.abortStream();
        co_return;
    }
    m_tokensPrefilled += computedTokens;
    ++m_prefills;
    if (m_cancelledTags.count(kv.tag)) {
        m_tokensWasted += kv.tokens;
        co_await exchange.respond(409, jsonType, "{}");
        co_return;
    }
    auto id = fmt::format("{}-kv{}", m_settings.id, ++m_lastKvNumber);
    kv.expires = now() + m_settings.kvExpiry;
    json::object response;
    response["tag"] = kv.tag;
    response["kv"] = id;
    response["prompt_tokens"] = kv.tokens - kv.fromIndex;
    response["expires_ms"] = m_settings.kvExpiry.count();
    m_kvCache[id] = kv;
    auto bytes = json::serialize(response);
    co_await exchange.respond(200, jsonType, bytes);
}

void stand_in_engine::removeExpiredKv()
{
    for (auto it = m_kvCache.begin(); it != m_kvCache.end();) {
        bool expired = !it->second.imported && !it->second.pinned && it->second.expires <= now();
        m_tokensWasted += expired ? it->second.tokens : 0;
        it = expired ? m_kvCache.erase(it) : std::next(it);
    }
}

task_of<void> stand_in_engine::handleKvExport(http_exchange& exchange, json_object body)
{
    removeExpiredKv();
    auto found = m_kvCache.find(stringField(body, "kv"));
    if (found == m_kvCache.end()) {
        co_await exchange.respond(410, jsonType, "{}");
        co_return;
    }
    json::object response;
    response["prompt"] = found->second.prompt;
    response["tokens"] = found->second.tokens;
    response["from_index"] = found->second.fromIndex;
    found->second.pinned = true;
    if (stringField(body, "phase") == "end")
        m_kvCache.erase(found);
    auto bytes = json::serialize(response);
    co_await exchange.respond(200, jsonType, bytes);
}

task_of<bool> stand_in_engine::requestKvExport(std::string source, std::string kv, std::string phase, json_object& response)
{
    http_request call;
    call.target = "/kv/export";
    json::object body;
    body["kv"] = kv;
    body["phase"] = phase;
    call.body = json::serialize(body);
    auto received = co_await http_client::fetch(source, call, milliseconds(500), milliseconds(2000));
    response = parseObject(received.body);
    co_return received.succeeded();
}

task_of<void> stand_in_engine::handleKvImport(http_exchange& exchange, json_object body)
{
    auto incarnation = m_incarnation;
    auto tag = stringField(body, "tag");
    auto id = stringField(body, "kv");
    auto source = stringField(body, "source");
    if (!co_await exchange.beginStream(200, "text/event-stream"))
        co_return;
    // The request waits for a free slot; meanwhile the KV cache can expire at its source.
    ++m_importWaiting;
    while (batchSize() >= m_settings.slots && !hasCrashedSince(incarnation) && !m_cancelledTags.count(tag)) {
        auto waiting = flagEvent(tag, "waiting");
        if (!co_await exchange.writeChunk(waiting))
            break;
        co_await sleepFor(milliseconds(20));
    }
    --m_importWaiting;
    json_object response;
    bool exported = !hasCrashedSince(incarnation) && !m_cancelledTags.count(tag) && co_await requestKvExport(source, id, "begin", response);
    if (hasCrashedSince(incarnation)) {
        exchange.abortStream();
        co_return;
    }
    kv_cache_entry kv;
    kv.tag = tag;
    kv.prompt = stringField(response, "prompt");
    kv.tokens = static_cast<std::uint32_t>(numberField(response, "tokens"));
    kv.fromIndex = static_cast<std::uint32_t>(numberField(response, "from_index"));
    kv.pieces = (kv.tokens + static_cast<std::uint32_t>(numberField(body, "max_tokens")) + tokensPerPiece - 1) / tokensPerPiece;
    kv.imported = true;
    bool fits = m_settings.memoryPieces == 0 || usedPieces() + kv.pieces <= m_settings.memoryPieces;
    if (!exported || !fits) {
        auto expired = flagEvent(tag, "expired");
        if (co_await exchange.writeChunk(expired))
            co_await exchange.endStream();
        co_return;
    }
    m_kvCache[id] = kv;
    auto micros = 8ULL * kv.tokens * m_settings.kvBytesPerToken / m_settings.linkMbps;
    m_linkBusyUntil = std::max(m_linkBusyUntil, now()) + std::chrono::microseconds(micros);
    auto finishTime = m_linkBusyUntil;
    while (now() < finishTime && !hasCrashedSince(incarnation) && m_kvCache.count(id)) {
        co_await sleepFor(std::min<duration>(progressInterval, finishTime - now()));
        while (m_stallTransfers && m_kvCache.count(id))
            co_await sleepFor(milliseconds(20));
        json::object progress;
        progress["tag"] = tag;
        progress["left_us"] = std::chrono::duration_cast<std::chrono::microseconds>(finishTime - now()).count();
        auto bytes = formatEvent(std::move(progress));
        if (!co_await exchange.writeChunk(bytes))
            break;
    }
    if (hasCrashedSince(incarnation) || !m_kvCache.count(id)) {
        exchange.abortStream();
        co_return;
    }
    co_await requestKvExport(source, id, "end", response);
    auto done = flagEvent(tag, "done");
    if (co_await exchange.writeChunk(done))
        co_await exchange.endStream();
}

task_of<void> stand_in_engine::handleDecode(http_exchange& exchange, json_object body)
{
    auto incarnation = m_incarnation;
    auto id = stringField(body, "kv");
    auto tag = stringField(body, "tag");
    auto found = m_kvCache.find(id);
    if (found == m_kvCache.end()) {
        co_await exchange.respond(410, jsonType, "{}");
        co_return;
    }
    auto prompt = found->second.prompt;
    auto count = expectedTokenCount(prompt, static_cast<std::uint32_t>(numberField(body, "max_tokens")));
    if (!co_await exchange.beginStream(200, "text/event-stream"))
        co_return;
    ++m_runningByTag[tag];
    bool connected = true;
    std::uint32_t generatedTokens = 0;
    for (auto index = static_cast<std::uint32_t>(numberField(body, "from_index")); index < count && connected; ++index) {
        co_await sleepFor(std::chrono::microseconds(m_settings.stepMicros + m_settings.stepMicrosPerRequest * batchSize()));
        connected = !hasCrashedSince(incarnation) && m_kvCache.count(id);
        bool crashes = m_crashAfterTokens > 0 && ++generatedTokens > m_crashAfterTokens;
        if (crashes)
            crash();
        if (!connected || crashes)
            break;
        constexpr std::uint32_t lostTokenIndex = 4;
        if (m_loseToken && index == lostTokenIndex)
            continue;
        json::object token;
        token["tag"] = m_wrongTags ? std::string("another/1/request/0") : tag;
        token["index"] = index;
        token["text"] = expectedToken(prompt, index);
        auto bytes = formatEvent(std::move(token));
        if (m_duplicateTokens)
            bytes += bytes;
        connected = co_await exchange.writeChunk(bytes);
    }
    if (auto running = m_runningByTag.find(tag); running != m_runningByTag.end() && --running->second == 0)
        m_runningByTag.erase(running);
    if (!connected || hasCrashedSince(incarnation)) {
        // As in an engine that notices a lost connection late, the KV cache stays in memory until the request is cancelled.
        exchange.abortStream();
        co_return;
    }
    m_kvCache.erase(id);
    json::object end;
    end["tag"] = tag;
    end["done"] = true;
    end["reason"] = "stop";
    end["tokens"] = count;
    auto bytes = formatEvent(std::move(end));
    if (co_await exchange.writeChunk(bytes))
        co_await exchange.endStream();
}

task_of<void> stand_in_engine::handleCancel(http_exchange& exchange, json_object body)
{
    if (m_loseCancels > 0) {
        --m_loseCancels;
        exchange.abortStream();
        co_return;
    }
    auto tag = stringField(body, "tag");
    m_cancelledTags.insert(tag);
    for (auto it = m_kvCache.begin(); it != m_kvCache.end();) {
        bool match = it->second.tag == tag;
        m_tokensWasted += match && !it->second.imported ? it->second.tokens : 0;
        it = match ? m_kvCache.erase(it) : std::next(it);
    }
    co_await exchange.respond(200, jsonType, "{\"held\":false}");
}

task_of<void> stand_in_engine::handleOrder(http_exchange& exchange, json_object body)
{
    auto fence = numberField(body, "fence");
    if (m_settings.fencing && fence < m_fence) {
        co_await exchange.respond(409, jsonType, "{}");
        co_return;
    }
    m_fence = fence;
    ++m_ordersAccepted;
    co_await exchange.respond(200, jsonType, "{}");
    m_shared.peakModelLoads = std::max(m_shared.peakModelLoads, ++m_shared.activeModelLoads);
    co_await sleepFor(m_settings.loadTime);
    --m_shared.activeModelLoads;
    m_settings.role = stringField(body, "role");
    m_settings.model = stringField(body, "model");
    m_settings.version = stringField(body, "version");
}

task_of<void> stand_in_engine::handleService(http_exchange& exchange)
{
    auto incarnation = m_incarnation;
    auto key = exchange.header("Idempotency-Key");
    auto organisation = exchange.header("X-Organisation");
    std::string path(exchange.message().target());
    auto body = exchange.message().body();
    ++m_runningByTag["service"];
    // The effect precedes the response, so a booking can take place although its confirmation is lost.
    ++m_shared.serviceExecutions;
    auto count = key.empty() ? 1 : ++m_shared.executionsByKey[organisation + "/" + key];
    co_await sleepFor(m_settings.serviceTime);
    --m_runningByTag["service"];
    if (body.find(crashMark) != std::string::npos)
        crash();
    if (hasCrashedSince(incarnation)) {
        exchange.abortStream();
        co_return;
    }
    json::object response;
    response["service"] = m_settings.model;
    response["path"] = path;
    response["echo"] = body;
    response["executions"] = count;
    auto bytes = json::serialize(response);
    co_await exchange.respond(200, jsonType, bytes);
}

void stand_in_engine::crash()
{
    if (m_down)
        return;
    m_down = true;
    ++m_crashes;
    m_kvCache.clear();
    m_runningByTag.clear();
    m_prefillBusyUntil = {};
    m_linkBusyUntil = {};
    auto restart = [this]() -> task_of<void> {
        co_await sleepFor(m_settings.restartTime);
        m_incarnation = generateIncarnation();
        m_sequence = 0;
        m_cancelledTags.clear();
        m_down = false;
    };
    asio::co_spawn(m_threads.first(), restart, asio::detached);
}

void stand_in_engine::setFaults(const json_object& body)
{
    m_stallTransfers = boolField(body, "stall_transfers");
    m_duplicateTokens = boolField(body, "duplicate_tokens");
    m_wrongTags = boolField(body, "cross_answers");
    m_ignoreCalls = boolField(body, "ignore_calls");
    m_loseToken = boolField(body, "lose_token");
    m_leaving = boolField(body, "leaving");
    m_loseCancels = static_cast<std::uint32_t>(numberField(body, "lose_cancels"));
    m_crashAfterTokens = static_cast<std::uint32_t>(numberField(body, "break_after_tokens"));
    if (boolField(body, "crash"))
        crash();
}

json::object stand_in_engine::stats() const
{
    json::object body;
    body["held"] = m_kvCache.size();
    body["pieces"] = usedPieces();
    body["batch"] = batchSize();
    body["prefills"] = m_prefills;
    body["tokens_prefilled"] = m_tokensPrefilled;
    body["tokens_wasted"] = m_tokensWasted;
    body["orders"] = m_ordersAccepted;
    body["crashes"] = m_crashes;
    body["role"] = m_settings.role;
    body["version"] = m_settings.version;
    body["service_runs"] = m_shared.serviceExecutions;
    body["key_seen"] = m_shared.callerKeySeen;
    body["loads_peak"] = m_shared.peakModelLoads;
    std::uint32_t maxExecutions = 0;
    for (const auto& [key, count] : m_shared.executionsByKey)
        maxExecutions = std::max(maxExecutions, count);
    body["most_executions"] = maxExecutions;
    return body;
}

std::uint32_t stand_in_engine::usedPieces() const
{
    std::uint32_t used = 0;
    for (const auto& [id, kv] : m_kvCache)
        used += kv.pieces;
    return used;
}

std::uint32_t stand_in_engine::batchSize() const
{
    std::uint32_t count = 0;
    for (const auto& [id, kv] : m_kvCache)
        count += kv.imported ? 1 : 0;
    return count;
}

json::object stand_in_engine::makeAnnouncement()
{
    removeExpiredKv();
    auto service = m_runningByTag.find("service");
    auto running = m_settings.role == "service" ? (service == m_runningByTag.end() ? 0 : service->second) : batchSize();
    m_recentLoads.push_back({ now(), running, m_prefillWaiting + m_importWaiting, usedPieces() });
    while (m_recentLoads.size() > 1 && m_recentLoads[1].at + m_settings.reportLag <= now())
        m_recentLoads.pop_front();
    const auto& report = m_recentLoads.front();
    json::object body;
    body["id"] = m_settings.id;
    body["incarnation"] = m_incarnation;
    body["sequence"] = ++m_sequence;
    body["address"] = address();
    body["role"] = m_settings.role;
    body["model"] = m_settings.model;
    body["version"] = m_settings.version;
    body["data_centre"] = m_settings.dataCentre;
    body["slots"] = m_settings.slots;
    body["memory_pieces"] = m_settings.memoryPieces;
    body["fencing"] = m_settings.fencing;
    body["fence"] = m_fence;
    body["leaving"] = m_leaving;
    body["running"] = report.running;
    body["waiting"] = report.waiting;
    body["used_pieces"] = report.pieces;
    body["link_mbps"] = m_settings.linkMbps;
    body["kv_bytes_per_token"] = m_settings.kvBytesPerToken;
    body["prefill_tokens_per_s"] = m_settings.prefillTokensPerSecond;
    body["step_us"] = m_settings.stepMicros + m_settings.stepMicrosPerRequest * m_settings.slots;
    body["cached_prefixes"] = json::array(m_cachedPrefixes.begin(), m_cachedPrefixes.end());
    return body;
}

task_of<void> stand_in_engine::sendAnnouncements()
{
    std::size_t nextEntry = XXH3_64bits(m_settings.id.data(), m_settings.id.size()) % std::max<std::size_t>(1, m_entryAddresses.size());
    while (!m_entryAddresses.empty()) {
        // Tries each entry once, round robin as behind a load balancer, until one accepts the announcement.
        for (std::size_t i = 0; i < m_entryAddresses.size() && !m_down && !m_ignoreCalls; ++i) {
            http_request call;
            call.target = "/announce";
            call.headers = { { "Content-Type", jsonType } };
            call.body = json::serialize(makeAnnouncement());
            auto target = m_entryAddresses[nextEntry++ % m_entryAddresses.size()];
            auto response = co_await http_client::fetch(target, call, milliseconds(200), milliseconds(400));
            if (response.succeeded())
                break;
        }
        co_await sleepFor(announceInterval);
    }
}

} // namespace pistachiolatch::test
