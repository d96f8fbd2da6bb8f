#include "scheduling/pool_endpoints.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    constexpr std::uint32_t fallbackPrefillRate = 20000;
    constexpr std::uint32_t fallbackStepMicros = 40000;
    constexpr std::uint32_t fallbackLinkMbps = 10000;
    constexpr std::uint32_t fallbackKvBytes = 20000;
    /// Over the upper bound of a request's end, before its booking counts as leaked.
    constexpr auto leakAllowance = std::chrono::seconds(30);
    constexpr milliseconds requestOverhead { 2 };

    std::uint32_t orElse(std::uint32_t value, std::uint32_t fallback)
    {
        return value > 0 ? value : fallback;
    }
}

std::string pool_endpoints::keyOf(const std::string& requestId, std::uint32_t attempt)
{
    return fmt::format("{}#{}", requestId, attempt);
}

std::vector<const wire::endpoint_announcement*> pool_endpoints::usable(const std::string& role, const std::set<std::string>& exclude, bool withBreaker, time_point now) const
{
    auto endpoints = m_table.serving();
    std::erase_if(endpoints, [&](const auto* endpoint) {
        return endpoint->role() != role || exclude.count(endpoint->id()) || (withBreaker && !m_breaker.allows(endpoint->id(), now));
    });
    return endpoints;
}

const pool_endpoints::load& pool_endpoints::loadOf(const std::string& id) const
{
    static const load idle;
    auto found = m_loads.find(id);
    return found == m_loads.end() ? idle : found->second;
}

milliseconds pool_endpoints::prefillTime(const wire::endpoint_announcement& endpoint, std::uint32_t promptTokens, std::uint64_t prefix)
{
    auto rate = orElse(endpoint.prefill_tokens_per_s(), fallbackPrefillRate);
    const auto& prefixes = endpoint.cached_prefixes();
    bool cached = prefix != 0 && std::find(prefixes.begin(), prefixes.end(), prefix) != prefixes.end();
    auto tokens = cached ? promptTokens - std::min(promptTokens, tokensPerPiece) : promptTokens;
    return requestOverhead + milliseconds(1000ULL * tokens / rate);
}

milliseconds pool_endpoints::transferTime(const wire::endpoint_announcement& source, const wire::endpoint_announcement& target, std::uint32_t promptTokens)
{
    auto kvBytes = orElse(source.kv_bytes_per_token(), fallbackKvBytes);
    auto sourceMbps = orElse(source.link_mbps(), fallbackLinkMbps);
    auto targetMbps = orElse(target.link_mbps(), fallbackLinkMbps);
    constexpr std::uint64_t bitsPerByte = 8;
    auto bits = bitsPerByte * kvBytes * promptTokens;
    return requestOverhead + milliseconds(bits / 1000 / std::min(sourceMbps, targetMbps));
}

void pool_endpoints::reserve(const pool_request& request, const chosen_endpoints& chosen, time_point now)
{
    reservation booked;
    booked.requestId = request.place.request_id();
    booked.attempt = request.place.attempt();
    booked.organisation = request.place.organisation();
    booked.entryName = request.entryName;
    booked.entryIncarnation = request.entryIncarnation;
    booked.endpoints = chosen;
    booked.promptTokens = request.place.prompt_tokens();
    booked.maxTokens = request.place.max_tokens();
    booked.pieces = request.pieces();
    booked.fingerprint = request.place.fingerprint();
    booked.placedAt = now;
    static const wire::endpoint_announcement unknown;
    auto endpointOf = [this](const std::string& id) -> const wire::endpoint_announcement& {
        const auto* endpoint = m_table.find(id);
        return endpoint ? *endpoint : unknown;
    };
    if (!chosen.prefill.empty()) {
        auto starts = std::max(now, loadOf(chosen.prefill).busyUntil);
        booked.prefillEnds = starts + prefillTime(endpointOf(chosen.prefill), booked.promptTokens, request.place.prefix());
    } else {
        booked.prefillEnds = now;
    }
    auto linkFree = std::max(booked.prefillEnds, m_kind == pool_kind::Model ? loadOf(chosen.decode).busyUntil : now);
    booked.transferEnds = chosen.prefill.empty() ? linkFree : linkFree + transferTime(endpointOf(chosen.prefill), endpointOf(chosen.decode), booked.promptTokens);
    auto step = std::chrono::microseconds(orElse(endpointOf(chosen.decode).step_us(), fallbackStepMicros));
    booked.decodeEnds = booked.transferEnds + step * (booked.maxTokens + 1);
    m_breaker.onSent(chosen.decode, now);
    if (!chosen.prefill.empty())
        m_breaker.onSent(chosen.prefill, now);
    adopt(std::move(booked), now);
}

void pool_endpoints::adopt(reservation held, time_point now)
{
    auto key = keyOf(held.requestId, held.attempt);
    if (m_reservations.count(key))
        return;
    if (!held.endpoints.prefill.empty() && !held.prefilled) {
        auto& prefill = m_loads[held.endpoints.prefill];
        ++prefill.requests;
        prefill.busyUntil = std::max(prefill.busyUntil, held.prefillEnds);
        prefill.longPrompts += held.promptTokens > longPromptTokens ? 1 : 0;
    }
    auto& decode = m_loads[held.endpoints.decode];
    ++decode.requests;
    decode.pieces += held.pieces;
    decode.busyUntil = std::max(decode.busyUntil, held.transferEnds);
    held.decodeEnds = std::max(held.decodeEnds, now);
    m_byDecode[held.endpoints.decode].push_back(key);
    ++m_byOrganisation[held.organisation];
    m_reservations.emplace(std::move(key), std::move(held));
}

void pool_endpoints::releasePrefill(const reservation& booked, time_point now)
{
    if (booked.prefilled || booked.endpoints.prefill.empty())
        return;
    auto& prefill = m_loads[booked.endpoints.prefill];
    --prefill.requests;
    prefill.longPrompts -= booked.promptTokens > longPromptTokens ? 1 : 0;
    // The prediction is corrected by what happened: an empty engine is free now, and one that ran late
    // pushes what follows on it.
    if (prefill.requests == 0)
        prefill.busyUntil = now;
    else
        prefill.busyUntil += std::max(now, booked.prefillEnds) - booked.prefillEnds;
}

const reservation* pool_endpoints::find(const std::string& requestId, std::uint32_t attempt) const
{
    auto found = m_reservations.find(keyOf(requestId, attempt));
    return found == m_reservations.end() ? nullptr : &found->second;
}

std::optional<reservation> pool_endpoints::progress(const std::string& requestId, std::uint32_t attempt, wire::progress_stage stage, time_point now)
{
    auto found = m_reservations.find(keyOf(requestId, attempt));
    if (found == m_reservations.end())
        return std::nullopt;
    auto& booked = found->second;
    booked.stage = stage;
    if (stage == wire::STAGE_PREFILLED) {
        releasePrefill(booked, now);
        booked.prefilled = true;
        return booked;
    }
    if (stage == wire::STAGE_TRANSFERRED) {
        auto shift = now - booked.transferEnds;
        booked.transferEnds = now;
        booked.decodeEnds += shift;
        return booked;
    }
    auto ended = booked;
    release(ended, now);
    m_reservations.erase(found);
    return ended;
}

void pool_endpoints::release(const reservation& booked, time_point now)
{
    releasePrefill(booked, now);
    auto& decode = m_loads[booked.endpoints.decode];
    --decode.requests;
    decode.pieces -= booked.pieces;
    if (decode.requests == 0)
        decode.busyUntil = std::min(decode.busyUntil, now);
    auto& keys = m_byDecode[booked.endpoints.decode];
    std::erase(keys, keyOf(booked.requestId, booked.attempt));
    auto organisation = m_byOrganisation.find(booked.organisation);
    if (organisation != m_byOrganisation.end() && --organisation->second == 0)
        m_byOrganisation.erase(organisation);
}

void pool_endpoints::sweep(const std::vector<wire::live_process>& live, time_point now)
{
    auto alive = [&](const reservation& booked) {
        return std::any_of(live.begin(), live.end(), [&](const auto& process) {
            return process.kind() == wire::PROCESS_ENTRY && process.name() == booked.entryName && process.incarnation() == booked.entryIncarnation;
        });
    };
    for (auto it = m_reservations.begin(); it != m_reservations.end();) {
        // A lost end report must not hold a slot for ever; the entry that sent it may also be gone.
        bool leaked = now > it->second.decodeEnds + leakAllowance;
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
    const auto& held = loadOf(endpoint.id());
    auto requests = held.requests;
    auto used = held.pieces;
    auto hasRoom = [&] {
        bool memoryFree = endpoint.memory_pieces() == 0 || used + pieces <= endpoint.memory_pieces();
        return requests < endpoint.slots() && memoryFree;
    };
    auto running = m_byDecode.find(endpoint.id());
    if (hasRoom() || running == m_byDecode.end())
        return hasRoom();
    for (const auto& key : running->second) {
        const auto& booked = m_reservations.at(key);
        if (booked.decodeEnds > at)
            continue;
        --requests;
        used -= booked.pieces;
    }
    return hasRoom();
}

double pool_endpoints::prefillRate(time_point now) const
{
    double rate = 0;
    for (const auto* endpoint : usable("prefill", {}, true, now))
        rate += orElse(endpoint->prefill_tokens_per_s(), fallbackPrefillRate);
    return rate;
}

time_point pool_endpoints::nextSlot(std::uint32_t pieces, time_point now) const
{
    time_point earliest = time_point::max();
    for (const auto* endpoint : usable(m_kind == pool_kind::Model ? "decode" : "service", {}, true, now)) {
        if (fitsAt(*endpoint, pieces, now))
            return now;
        auto running = m_byDecode.find(endpoint->id());
        if (running == m_byDecode.end())
            continue;
        for (const auto& key : running->second)
            earliest = std::min(earliest, std::max(now, m_reservations.at(key).decodeEnds));
    }
    return earliest;
}

std::uint32_t pool_endpoints::slotsTotal() const
{
    std::uint32_t slots = 0;
    for (const auto* endpoint : m_table.serving()) {
        slots += endpoint->role() == "prefill" ? 0 : endpoint->slots();
    }
    return slots;
}

std::uint32_t pool_endpoints::inFlightOf(const std::string& organisation) const
{
    auto found = m_byOrganisation.find(organisation);
    return found == m_byOrganisation.end() ? 0 : found->second;
}

bool pool_endpoints::runsFingerprint(std::uint64_t fingerprint) const
{
    return std::any_of(m_reservations.begin(), m_reservations.end(), [&](const auto& item) { return item.second.fingerprint == fingerprint; });
}

} // namespace pistachiolatch
