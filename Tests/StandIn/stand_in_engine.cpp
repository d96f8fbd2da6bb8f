#include "StandIn/stand_in_engine.h"

#include "load/expected_output.h"
#include <boost/asio.hpp>
#include <xxhash.h>

namespace pistachiolatch::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {
    constexpr const char* jsonType = "application/json";
    constexpr std::uint32_t piece = 4096;
    constexpr std::size_t prefixBytes = 16UL * 1024;
    constexpr std::size_t mostPrefixes = 32;
    constexpr milliseconds announceInterval { 400 };
    constexpr milliseconds progressInterval { 50 };

    time_point now()
    {
        return std::chrono::steady_clock::now();
    }

    std::string text(const json::object& body, const char* name)
    {
        const auto* value = body.if_contains(name);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    std::uint64_t number(const json::object& body, const char* name)
    {
        const auto* value = body.if_contains(name);
        json::error_code error;
        return value ? value->to_number<std::uint64_t>(error) : 0;
    }

    bool flag(const json::object& body, const char* name)
    {
        const auto* value = body.if_contains(name);
        return value && value->is_bool() && value->get_bool();
    }

    json::object object(const std::string& body)
    {
        json::error_code error;
        auto value = json::parse(body, error);
        return !error && value.is_object() ? value.get_object() : json::object();
    }

    std::string event(json::object body)
    {
        return sseEvent(json::serialize(body));
    }

    std::string tagged(const std::string& tag, const char* mark)
    {
        json::object body;
        body["tag"] = tag;
        body[mark] = true;
        return event(std::move(body));
    }
}

stand_in_engine::stand_in_engine(traffic_threads& threads, engine_profile profile, shared_world& world, std::vector<std::string> announceTo)
    : m_threads(threads)
    , m_profile(std::move(profile))
    , m_world(world)
    , m_announceTo(std::move(announceTo))
    , m_server(
          threads, http_limits {}, [this](http_exchange& exchange) { return handle(exchange); }, [](reason why) { return http_error_response { httpStatus(why), jsonType, "{}", {} }; })
    , m_incarnation(generateIncarnation())
{
}

result<void> stand_in_engine::start()
{
    BOOST_OUTCOME_TRYV(m_server.listen(m_profile.listen));
    asio::co_spawn(m_threads.first(), announceForever(), asio::detached);
    return ok();
}

std::string stand_in_engine::address() const
{
    if (!m_profile.advertise.empty())
        return m_profile.advertise;
    return m_profile.listen.substr(0, m_profile.listen.rfind(':') + 1) + std::to_string(m_server.port());
}

task_of<void> stand_in_engine::pause(duration length)
{
    asio::steady_timer timer(m_threads.first(), length);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

task_of<void> stand_in_engine::handle(http_exchange& exchange)
{
    auto path = exchange.path();
    auto body = object(exchange.message().body());
    m_world.keySeen = m_world.keySeen || !exchange.header("Authorization").empty() || exchange.message().body().find("pl-") != std::string::npos;
    if (path == "/test") {
        control(body);
        co_await exchange.respond(200, jsonType, "{}");
        co_return;
    }
    if (path == "/stats") {
        auto answer = json::serialize(stats());
        co_await exchange.respond(200, jsonType, answer);
        co_return;
    }
    if (m_down || m_ignoreCalls) {
        while (m_ignoreCalls)
            co_await pause(milliseconds(20));
        exchange.abortStream();
        co_return;
    }
    if (m_profile.role == "service")
        co_await service(exchange);
    else if (path == "/prefill")
        co_await prefill(exchange, body);
    else if (path == "/kv/export")
        co_await exportKv(exchange, body);
    else if (path == "/kv/import")
        co_await importKv(exchange, body);
    else if (path == "/decode")
        co_await decode(exchange, body);
    else if (path == "/cancel")
        co_await cancel(exchange, body);
    else if (path == "/orders")
        co_await order(exchange, body);
    else if (path == "/requests") {
        expireKv();
        json::array items;
        for (const auto& [id, kv] : m_kv)
            items.push_back(json::object { { "tag", kv.tag }, { "attached", m_running.count(kv.tag) > 0 } });
        json::object answer;
        answer["requests"] = std::move(items);
        auto bytes = json::serialize(answer);
        co_await exchange.respond(200, jsonType, bytes);
    } else
        co_await exchange.respond(404, jsonType, "{}");
}

task_of<void> stand_in_engine::prefill(http_exchange& exchange, json_object body)
{
    auto life = m_incarnation;
    held_kv kv;
    kv.tag = text(body, "tag");
    kv.prompt = text(body, "prompt");
    kv.fromIndex = static_cast<std::uint32_t>(number(body, "from_index"));
    kv.tokens = static_cast<std::uint32_t>((kv.prompt.size() + 3) / 4) + kv.fromIndex;
    kv.pieces = (kv.tokens + piece - 1) / piece;
    auto cost = kv.tokens;
    if (kv.prompt.size() >= prefixBytes) {
        auto prefix = XXH3_64bits(kv.prompt.data(), prefixBytes);
        bool cached = std::find(m_prefixes.begin(), m_prefixes.end(), prefix) != m_prefixes.end();
        cost -= cached ? piece : 0;
        if (!cached)
            m_prefixes.push_back(prefix);
        if (m_prefixes.size() > mostPrefixes)
            m_prefixes.pop_front();
    }
    ++m_prefillWaiting;
    m_prefillBusyUntil = std::max(m_prefillBusyUntil, now()) + std::chrono::microseconds(1'000'000ULL * cost / m_profile.prefillTokensPerSecond);
    auto ends = m_prefillBusyUntil;
    co_await pause(ends - now());
    --m_prefillWaiting;
    if (kv.prompt.find(crashMark) != std::string::npos)
        crash();
    if (dead(life)) {
        exchange.abortStream();
        co_return;
    }
    m_tokensPrefilled += cost;
    ++m_prefills;
    if (m_cancelled.count(kv.tag)) {
        m_tokensExpired += kv.tokens;
        co_await exchange.respond(409, jsonType, "{}");
        co_return;
    }
    auto id = fmt::format("{}-kv{}", m_profile.id, ++m_lastKv);
    kv.expires = now() + m_profile.kvExpiry;
    json::object answer;
    answer["tag"] = kv.tag;
    answer["kv"] = id;
    answer["prompt_tokens"] = kv.tokens - kv.fromIndex;
    answer["expires_ms"] = m_profile.kvExpiry.count();
    m_kv[id] = kv;
    auto bytes = json::serialize(answer);
    co_await exchange.respond(200, jsonType, bytes);
}

void stand_in_engine::expireKv()
{
    for (auto it = m_kv.begin(); it != m_kv.end();) {
        bool expired = !it->second.imported && !it->second.pinned && it->second.expires <= now();
        m_tokensExpired += expired ? it->second.tokens : 0;
        it = expired ? m_kv.erase(it) : std::next(it);
    }
}

task_of<void> stand_in_engine::exportKv(http_exchange& exchange, json_object body)
{
    expireKv();
    auto found = m_kv.find(text(body, "kv"));
    if (found == m_kv.end()) {
        co_await exchange.respond(410, jsonType, "{}");
        co_return;
    }
    json::object answer;
    answer["prompt"] = found->second.prompt;
    answer["tokens"] = found->second.tokens;
    answer["from_index"] = found->second.fromIndex;
    found->second.pinned = true;
    if (text(body, "phase") == "end")
        m_kv.erase(found);
    auto bytes = json::serialize(answer);
    co_await exchange.respond(200, jsonType, bytes);
}

task_of<bool> stand_in_engine::callSource(std::string source, std::string kv, std::string phase, json_object& answer)
{
    http_request call;
    call.target = "/kv/export";
    json::object body;
    body["kv"] = kv;
    body["phase"] = phase;
    call.body = json::serialize(body);
    auto got = co_await http_client::fetch(source, call, milliseconds(500), milliseconds(2000));
    answer = object(got.body);
    co_return got.succeeded();
}

task_of<void> stand_in_engine::importKv(http_exchange& exchange, json_object body)
{
    auto life = m_incarnation;
    auto tag = text(body, "tag");
    auto id = text(body, "kv");
    auto source = text(body, "source");
    if (!co_await exchange.beginStream(200, "text/event-stream"))
        co_return;
    // The engine takes the request in once a slot is free; until then the KV cache ages at its source.
    ++m_importWaiting;
    while (batch() >= m_profile.slots && !dead(life) && !m_cancelled.count(tag)) {
        auto beat = tagged(tag, "waiting");
        if (!co_await exchange.writeChunk(beat))
            break;
        co_await pause(milliseconds(20));
    }
    --m_importWaiting;
    json_object answer;
    bool there = !dead(life) && !m_cancelled.count(tag) && co_await callSource(source, id, "begin", answer);
    if (dead(life)) {
        exchange.abortStream();
        co_return;
    }
    held_kv kv;
    kv.tag = tag;
    kv.prompt = text(answer, "prompt");
    kv.tokens = static_cast<std::uint32_t>(number(answer, "tokens"));
    kv.fromIndex = static_cast<std::uint32_t>(number(answer, "from_index"));
    kv.pieces = (kv.tokens + static_cast<std::uint32_t>(number(body, "max_tokens")) + piece - 1) / piece;
    kv.imported = true;
    bool fits = m_profile.memoryPieces == 0 || usedPieces() + kv.pieces <= m_profile.memoryPieces;
    if (!there || !fits) {
        auto gone = tagged(tag, "expired");
        if (co_await exchange.writeChunk(gone))
            co_await exchange.endStream();
        co_return;
    }
    m_kv[id] = kv;
    auto micros = 8ULL * kv.tokens * m_profile.kvBytesPerToken / m_profile.linkMbps;
    m_linkBusyUntil = std::max(m_linkBusyUntil, now()) + std::chrono::microseconds(micros);
    auto ends = m_linkBusyUntil;
    while (now() < ends && !dead(life) && m_kv.count(id)) {
        co_await pause(std::min<duration>(progressInterval, ends - now()));
        while (m_stallTransfers && m_kv.count(id))
            co_await pause(milliseconds(20));
        json::object progress;
        progress["tag"] = tag;
        progress["left_us"] = std::chrono::duration_cast<std::chrono::microseconds>(ends - now()).count();
        auto bytes = event(std::move(progress));
        if (!co_await exchange.writeChunk(bytes))
            break;
    }
    if (dead(life) || !m_kv.count(id)) {
        exchange.abortStream();
        co_return;
    }
    co_await callSource(source, id, "end", answer);
    auto done = tagged(tag, "done");
    if (co_await exchange.writeChunk(done))
        co_await exchange.endStream();
}

task_of<void> stand_in_engine::decode(http_exchange& exchange, json_object body)
{
    auto life = m_incarnation;
    auto id = text(body, "kv");
    auto tag = text(body, "tag");
    auto found = m_kv.find(id);
    if (found == m_kv.end()) {
        co_await exchange.respond(410, jsonType, "{}");
        co_return;
    }
    auto prompt = found->second.prompt;
    auto count = expectedTokenCount(prompt, static_cast<std::uint32_t>(number(body, "max_tokens")));
    if (!co_await exchange.beginStream(200, "text/event-stream"))
        co_return;
    ++m_running[tag];
    bool open = true;
    std::uint32_t made = 0;
    for (auto index = static_cast<std::uint32_t>(number(body, "from_index")); index < count && open; ++index) {
        co_await pause(std::chrono::microseconds(m_profile.stepMicros + m_profile.stepMicrosPerRequest * batch()));
        open = !dead(life) && m_kv.count(id);
        bool breaks = m_breakAfterTokens > 0 && ++made > m_breakAfterTokens;
        if (breaks)
            crash();
        if (!open || breaks)
            break;
        constexpr std::uint32_t lostIndex = 4;
        if (m_loseToken && index == lostIndex)
            continue;
        json::object token;
        token["tag"] = m_crossAnswers ? std::string("another/1/request/0") : tag;
        token["index"] = index;
        token["text"] = expectedToken(prompt, index);
        auto bytes = event(std::move(token));
        if (m_duplicateTokens)
            bytes += bytes;
        open = co_await exchange.writeChunk(bytes);
    }
    if (auto running = m_running.find(tag); running != m_running.end() && --running->second == 0)
        m_running.erase(running);
    if (!open || dead(life)) {
        // Like an engine that only notices a lost reader late: what it holds stays until it is cancelled.
        exchange.abortStream();
        co_return;
    }
    m_kv.erase(id);
    json::object end;
    end["tag"] = tag;
    end["done"] = true;
    end["reason"] = "stop";
    end["tokens"] = count;
    auto bytes = event(std::move(end));
    if (co_await exchange.writeChunk(bytes))
        co_await exchange.endStream();
}

task_of<void> stand_in_engine::cancel(http_exchange& exchange, json_object body)
{
    if (m_loseCancels > 0) {
        --m_loseCancels;
        exchange.abortStream();
        co_return;
    }
    auto tag = text(body, "tag");
    m_cancelled.insert(tag);
    for (auto it = m_kv.begin(); it != m_kv.end();) {
        bool match = it->second.tag == tag;
        m_tokensExpired += match && !it->second.imported ? it->second.tokens : 0;
        it = match ? m_kv.erase(it) : std::next(it);
    }
    co_await exchange.respond(200, jsonType, "{\"held\":false}");
}

task_of<void> stand_in_engine::order(http_exchange& exchange, json_object body)
{
    auto fence = number(body, "fence");
    if (m_profile.fencing && fence < m_fence) {
        co_await exchange.respond(409, jsonType, "{}");
        co_return;
    }
    m_fence = fence;
    ++m_ordersTaken;
    co_await exchange.respond(200, jsonType, "{}");
    m_world.loadsPeak = std::max(m_world.loadsPeak, ++m_world.loadsNow);
    co_await pause(m_profile.loadTime);
    --m_world.loadsNow;
    m_profile.role = text(body, "role");
    m_profile.model = text(body, "model");
    m_profile.version = text(body, "version");
}

task_of<void> stand_in_engine::service(http_exchange& exchange)
{
    auto life = m_incarnation;
    auto key = exchange.header("Idempotency-Key");
    auto organisation = exchange.header("X-Organisation");
    std::string path(exchange.message().target());
    auto body = exchange.message().body();
    ++m_running["service"];
    // The effect comes first and the answer later, as with a booking whose confirmation gets lost.
    ++m_world.serviceRuns;
    auto count = key.empty() ? 1 : ++m_world.executions[organisation + "/" + key];
    co_await pause(m_profile.serviceTime);
    --m_running["service"];
    if (body.find(crashMark) != std::string::npos)
        crash();
    if (dead(life)) {
        exchange.abortStream();
        co_return;
    }
    json::object answer;
    answer["service"] = m_profile.model;
    answer["path"] = path;
    answer["echo"] = body;
    answer["executions"] = count;
    auto bytes = json::serialize(answer);
    co_await exchange.respond(200, jsonType, bytes);
}

void stand_in_engine::crash()
{
    if (m_down)
        return;
    m_down = true;
    ++m_crashes;
    m_kv.clear();
    m_running.clear();
    m_prefillBusyUntil = {};
    m_linkBusyUntil = {};
    auto restart = [this]() -> task_of<void> {
        co_await pause(m_profile.restartTime);
        m_incarnation = generateIncarnation();
        m_sequence = 0;
        m_cancelled.clear();
        m_down = false;
    };
    asio::co_spawn(m_threads.first(), restart, asio::detached);
}

void stand_in_engine::control(const json_object& body)
{
    m_stallTransfers = flag(body, "stall_transfers");
    m_duplicateTokens = flag(body, "duplicate_tokens");
    m_crossAnswers = flag(body, "cross_answers");
    m_ignoreCalls = flag(body, "ignore_calls");
    m_loseToken = flag(body, "lose_token");
    m_leaving = flag(body, "leaving");
    m_loseCancels = static_cast<std::uint32_t>(number(body, "lose_cancels"));
    m_breakAfterTokens = static_cast<std::uint32_t>(number(body, "break_after_tokens"));
    if (flag(body, "crash"))
        crash();
}

json::object stand_in_engine::stats() const
{
    json::object body;
    body["held"] = m_kv.size();
    body["pieces"] = usedPieces();
    body["batch"] = batch();
    body["prefills"] = m_prefills;
    body["tokens_prefilled"] = m_tokensPrefilled;
    body["tokens_wasted"] = m_tokensExpired;
    body["orders"] = m_ordersTaken;
    body["crashes"] = m_crashes;
    body["role"] = m_profile.role;
    body["version"] = m_profile.version;
    body["service_runs"] = m_world.serviceRuns;
    body["key_seen"] = m_world.keySeen;
    body["loads_peak"] = m_world.loadsPeak;
    std::uint32_t most = 0;
    for (const auto& [key, count] : m_world.executions)
        most = std::max(most, count);
    body["most_executions"] = most;
    return body;
}

std::uint32_t stand_in_engine::usedPieces() const
{
    std::uint32_t used = 0;
    for (const auto& [id, kv] : m_kv)
        used += kv.pieces;
    return used;
}

std::uint32_t stand_in_engine::batch() const
{
    std::uint32_t count = 0;
    for (const auto& [id, kv] : m_kv)
        count += kv.imported ? 1 : 0;
    return count;
}

json::object stand_in_engine::announcement()
{
    expireKv();
    auto service = m_running.find("service");
    auto running = m_profile.role == "service" ? (service == m_running.end() ? 0 : service->second) : batch();
    m_reports.push_back({ now(), running, m_prefillWaiting + m_importWaiting, usedPieces() });
    while (m_reports.size() > 1 && m_reports[1].at + m_profile.reportLag <= now())
        m_reports.pop_front();
    const auto& report = m_reports.front();
    json::object body;
    body["id"] = m_profile.id;
    body["incarnation"] = m_incarnation;
    body["sequence"] = ++m_sequence;
    body["address"] = address();
    body["role"] = m_profile.role;
    body["model"] = m_profile.model;
    body["version"] = m_profile.version;
    body["data_centre"] = m_profile.dataCentre;
    body["slots"] = m_profile.slots;
    body["memory_pieces"] = m_profile.memoryPieces;
    body["fencing"] = m_profile.fencing;
    body["fence"] = m_fence;
    body["leaving"] = m_leaving;
    body["running"] = report.running;
    body["waiting"] = report.waiting;
    body["used_pieces"] = report.pieces;
    body["link_mbps"] = m_profile.linkMbps;
    body["kv_bytes_per_token"] = m_profile.kvBytesPerToken;
    body["prefill_tokens_per_s"] = m_profile.prefillTokensPerSecond;
    body["step_us"] = m_profile.stepMicros + m_profile.stepMicrosPerRequest * m_profile.slots;
    body["cached_prefixes"] = json::array(m_prefixes.begin(), m_prefixes.end());
    return body;
}

task_of<void> stand_in_engine::announceForever()
{
    std::size_t turn = XXH3_64bits(m_profile.id.data(), m_profile.id.size()) % std::max<std::size_t>(1, m_announceTo.size());
    while (!m_announceTo.empty()) {
        // One try at each entry in turn, as behind the platform's balancer, until one takes it.
        for (std::size_t i = 0; i < m_announceTo.size() && !m_down && !m_ignoreCalls; ++i) {
            http_request call;
            call.target = "/announce";
            call.headers = { { "Content-Type", jsonType } };
            call.body = json::serialize(announcement());
            auto target = m_announceTo[turn++ % m_announceTo.size()];
            auto answer = co_await http_client::fetch(target, call, milliseconds(200), milliseconds(400));
            if (answer.succeeded())
                break;
        }
        co_await pause(announceInterval);
    }
}

} // namespace pistachiolatch::test
