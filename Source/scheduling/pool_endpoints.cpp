#include "scheduling/pool_endpoints.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    constexpr std::uint32_t fallbackPrefillRate = 20000;
    constexpr std::uint32_t fallbackStepMicros = 40000;
    constexpr std::uint32_t fallbackLinkMbps = 10000;
    constexpr std::uint32_t fallbackKvBytes = 20000;
    /// Time after the upper bound of a request's end when its reservation counts as leaked.
    constexpr auto leakTimeout = std::chrono::seconds(30);
    constexpr milliseconds requestOverhead { 2 };

    std::uint32_t valueOr(std::uint32_t value, std::uint32_t fallback)
    {
        return value > 0 ? value : fallback;
    }
}

std::string pool_endpoints::reservationKey(const std::string& requestId, std::uint32_t attempt)
{
    return fmt::format("{}#{}", requestId, attempt);
}

std::vector<const wire::endpoint_announcement*> pool_endpoints::usable(const std::string& role, const std::set<std::string>& exclude, bool useBreaker, time_point now) const
{
    auto endpoints = m_table.serving();
    std::erase_if(endpoints, [&](const auto* endpoint) {
        return endpoint->role() != role || m_evacuated.count(endpoint->data_centre()) || exclude.count(endpoint->id()) || (useBreaker && !m_breaker.allows(endpoint->id(), now));
    });
    return endpoints;
}

std::size_t pool_endpoints::evacuatedCount() const
{
    if (m_evacuated.empty())
        return 0;
    auto serving = m_table.serving();
    return static_cast<std::size_t>(std::count_if(serving.begin(), serving.end(), [&](const auto* endpoint) { return m_evacuated.count(endpoint->data_centre()) > 0; }));
}

const pool_endpoints::load& pool_endpoints::loadOf(const std::string& id) const
{
    static const load idle;
    auto found = m_loads.find(id);
    return found == m_loads.end() ? idle : found->second;
}

milliseconds pool_endpoints::prefillTime(const wire::endpoint_announcement& endpoint, std::uint32_t promptTokens, std::uint64_t prefix)
{
    auto rate = valueOr(endpoint.prefill_tokens_per_s(), fallbackPrefillRate);
    const auto& prefixes = endpoint.cached_prefixes();
    bool cached = prefix != 0 && std::find(prefixes.begin(), prefixes.end(), prefix) != prefixes.end();
    auto tokens = cached ? promptTokens - std::min(promptTokens, tokensPerPiece) : promptTokens;
    return requestOverhead + milliseconds(1000ULL * tokens / rate);
}

milliseconds pool_endpoints::transferTime(const wire::endpoint_announcement& source, const wire::endpoint_announcement& target, std::uint32_t promptTokens)
{
    auto kvBytes = valueOr(source.kv_bytes_per_token(), fallbackKvBytes);
    auto sourceMbps = valueOr(source.link_mbps(), fallbackLinkMbps);
    auto targetMbps = valueOr(target.link_mbps(), fallbackLinkMbps);
    constexpr std::uint64_t bitsPerByte = 8;
    auto bits = bitsPerByte * kvBytes * promptTokens;
    return requestOverhead + milliseconds(bits / 1000 / std::min(sourceMbps, targetMbps));
}

void pool_endpoints::reserve(const pool_request& request, const chosen_endpoints& chosen, time_point now)
{
    reservation reserved;
    reserved.requestId = request.place.request_id();
    reserved.attempt = request.place.attempt();
    reserved.organisation = request.place.organisation();
    reserved.entryName = request.entryName;
    reserved.entryIncarnation = request.entryIncarnation;
    reserved.endpoints = chosen;
    reserved.promptTokens = request.place.prompt_tokens();
    reserved.maxTokens = request.place.max_tokens();
    reserved.pieces = request.pieces();
    reserved.fingerprint = request.place.fingerprint();
    reserved.placedAt = now;
    static const wire::endpoint_announcement unknown;
    auto endpointOf = [this](const std::string& id) -> const wire::endpoint_announcement& {
        const auto* endpoint = m_table.find(id);
        return endpoint ? *endpoint : unknown;
    };
    if (!chosen.prefill.empty()) {
        auto starts = std::max(now, loadOf(chosen.prefill).busyUntil);
        reserved.prefillEnds = starts + prefillTime(endpointOf(chosen.prefill), reserved.promptTokens, request.place.prefix());
    } else {
        reserved.prefillEnds = now;
    }
    auto linkFree = std::max(reserved.prefillEnds, m_kind == pool_kind::Model ? loadOf(chosen.decode).busyUntil : now);
    reserved.transferEnds = chosen.prefill.empty() ? linkFree : linkFree + transferTime(endpointOf(chosen.prefill), endpointOf(chosen.decode), reserved.promptTokens);
    auto step = std::chrono::microseconds(valueOr(endpointOf(chosen.decode).step_us(), fallbackStepMicros));
    reserved.decodeEnds = reserved.transferEnds + step * (reserved.maxTokens + 1);
    m_breaker.onSent(chosen.decode, now);
    if (!chosen.prefill.empty())
        m_breaker.onSent(chosen.prefill, now);
    addReservation(std::move(reserved), now);
}

void pool_endpoints::addReservation(reservation added, time_point now)
{
    auto key = reservationKey(added.requestId, added.attempt);
    if (m_reservations.count(key))
        return;
    if (!added.endpoints.prefill.empty() && !added.prefilled) {
        auto& prefill = m_loads[added.endpoints.prefill];
        ++prefill.requests;
        prefill.busyUntil = std::max(prefill.busyUntil, added.prefillEnds);
        prefill.longPrompts += added.promptTokens > longPromptTokens ? 1 : 0;
    }
    auto& decode = m_loads[added.endpoints.decode];
    ++decode.requests;
    decode.pieces += added.pieces;
    decode.busyUntil = std::max(decode.busyUntil, added.transferEnds);
    added.decodeEnds = std::max(added.decodeEnds, now);
    m_reservationsByDecode[added.endpoints.decode].push_back(key);
    ++m_inFlightByOrganisation[added.organisation];
    m_reservations.emplace(std::move(key), std::move(added));
}

void pool_endpoints::releasePrefill(const reservation& reserved, time_point now)
{
    if (reserved.prefilled || reserved.endpoints.prefill.empty())
        return;
    auto& prefill = m_loads[reserved.endpoints.prefill];
    --prefill.requests;
    prefill.longPrompts -= reserved.promptTokens > longPromptTokens ? 1 : 0;
    // Correct the prediction by the actual end: an empty engine is free now, and a late prefill delays those behind it.
    if (prefill.requests == 0)
        prefill.busyUntil = now;
    else
        prefill.busyUntil += std::max(now, reserved.prefillEnds) - reserved.prefillEnds;
}

const reservation* pool_endpoints::find(const std::string& requestId, std::uint32_t attempt) const
{
    auto found = m_reservations.find(reservationKey(requestId, attempt));
    return found == m_reservations.end() ? nullptr : &found->second;
}

std::optional<reservation> pool_endpoints::updateStage(const std::string& requestId, std::uint32_t attempt, wire::progress_stage stage, time_point now)
{
    auto found = m_reservations.find(reservationKey(requestId, attempt));
    if (found == m_reservations.end())
        return std::nullopt;
    auto& reserved = found->second;
    reserved.stage = stage;
    if (stage == wire::STAGE_PREFILLED) {
        releasePrefill(reserved, now);
        reserved.prefilled = true;
        return reserved;
    }
    if (stage == wire::STAGE_TRANSFERRED) {
        auto shift = now - reserved.transferEnds;
        reserved.transferEnds = now;
        reserved.decodeEnds += shift;
        return reserved;
    }
    auto ended = reserved;
    release(ended, now);
    m_reservations.erase(found);
    return ended;
}

void pool_endpoints::release(const reservation& reserved, time_point now)
{
    releasePrefill(reserved, now);
    auto& decode = m_loads[reserved.endpoints.decode];
    --decode.requests;
    decode.pieces -= reserved.pieces;
    if (decode.requests == 0)
        decode.busyUntil = std::min(decode.busyUntil, now);
    auto& keys = m_reservationsByDecode[reserved.endpoints.decode];
    std::erase(keys, reservationKey(reserved.requestId, reserved.attempt));
    auto organisation = m_inFlightByOrganisation.find(reserved.organisation);
    if (organisation != m_inFlightByOrganisation.end() && --organisation->second == 0)
        m_inFlightByOrganisation.erase(organisation);
}

void pool_endpoints::removeStaleReservations(const std::vector<wire::live_process>& live, time_point now)
{
    auto alive = [&](const reservation& reserved) {
        return std::any_of(live.begin(), live.end(), [&](const auto& process) {
            return process.kind() == wire::PROCESS_ENTRY && process.name() == reserved.entryName && process.incarnation() == reserved.entryIncarnation;
        });
    };
    for (auto it = m_reservations.begin(); it != m_reservations.end();) {
        // A lost report of the end or a lost entry must not hold the slot forever.
        bool leaked = now > it->second.decodeEnds + leakTimeout;
        if (alive(it->second) && !leaked) {
            ++it;
            continue;
        }
        release(it->second, now);
        it = m_reservations.erase(it);
    }
}

bool pool_endpoints::fitsAt(const wire::endpoint_announcement& endpoint, std::uint32_t pieces, time_point at) const
{
    const auto& current = loadOf(endpoint.id());
    auto requests = current.requests;
    auto used = current.pieces;
    auto hasRoom = [&] {
        bool memoryFree = endpoint.memory_pieces() == 0 || used + pieces <= endpoint.memory_pieces();
        return requests < endpoint.slots() && memoryFree;
    };
    auto running = m_reservationsByDecode.find(endpoint.id());
    if (hasRoom() || running == m_reservationsByDecode.end())
        return hasRoom();
    for (const auto& key : running->second) {
        const auto& reserved = m_reservations.at(key);
        if (reserved.decodeEnds > at)
            continue;
        --requests;
        used -= reserved.pieces;
    }
    return hasRoom();
}

double pool_endpoints::prefillRate(time_point now) const
{
    double rate = 0;
    for (const auto* endpoint : usable("prefill", {}, true, now))
        rate += valueOr(endpoint->prefill_tokens_per_s(), fallbackPrefillRate);
    return rate;
}

time_point pool_endpoints::nextFreeSlot(std::uint32_t pieces, time_point now) const
{
    time_point earliest = time_point::max();
    for (const auto* endpoint : usable(m_kind == pool_kind::Model ? "decode" : "service", {}, true, now)) {
        if (fitsAt(*endpoint, pieces, now))
            return now;
        auto running = m_reservationsByDecode.find(endpoint->id());
        if (running == m_reservationsByDecode.end())
            continue;
        for (const auto& key : running->second)
            earliest = std::min(earliest, std::max(now, m_reservations.at(key).decodeEnds));
    }
    return earliest;
}

std::uint32_t pool_endpoints::totalSlots() const
{
    std::uint32_t slots = 0;
    for (const auto* endpoint : m_table.serving()) {
        slots += endpoint->role() == "prefill" ? 0 : endpoint->slots();
    }
    return slots;
}

std::uint32_t pool_endpoints::inFlightCount(const std::string& organisation) const
{
    auto found = m_inFlightByOrganisation.find(organisation);
    return found == m_inFlightByOrganisation.end() ? 0 : found->second;
}

bool pool_endpoints::isRunning(std::uint64_t fingerprint) const
{
    return std::any_of(m_reservations.begin(), m_reservations.end(), [&](const auto& item) { return item.second.fingerprint == fingerprint; });
}

} // namespace pistachiolatch
