#pragma once
#include "membership/membership.h"
#include "scheduling/circuit_breaker.h"
#include "scheduling/pool_types.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pistachiolatch {

/// One request on its endpoints.
struct reservation {
    std::string requestId;
    std::uint32_t attempt = 0;
    std::string organisation;
    std::string entryName;
    std::uint64_t entryIncarnation = 0;
    chosen_endpoints endpoints;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::uint32_t pieces = 0;
    std::uint64_t fingerprint = 0;
    wire::progress_stage stage = wire::STAGE_FAILED;
    bool prefilled = false;
    time_point placedAt {};
    time_point prefillEnds {};
    time_point transferEnds {};
    /// The latest moment at which an engine that keeps its pace has made all allowed tokens.
    time_point decodeEnds {};
};

/// What a pool knows of its endpoints: their announcements, which lag, corrected by its own reservations, which don't.
/// Not thread-safe.
class pool_endpoints {
public:
    struct load {
        std::uint32_t requests = 0;
        std::uint32_t pieces = 0;
        /// When a prefill engine has worked off its prompts, or a decode engine's link its transfers.
        time_point busyUntil {};
        /// A prompt long enough to hold up short ones is among them.
        std::uint32_t longPrompts = 0;
    };

    explicit pool_endpoints(pool_kind kind)
        : m_kind(kind)
    {
    }

    endpoint_table& table() { return m_table; }
    const endpoint_table& table() const { return m_table; }
    circuit_breaker& breaker() { return m_breaker; }
    const circuit_breaker& breaker() const { return m_breaker; }

    /// Endpoints of a role that may get new work, less the excluded ones. The pointers hold until the next announcement.
    std::vector<const wire::endpoint_announcement*> usable(const std::string& role, const std::set<std::string>& exclude, bool withBreaker, time_point now) const;
    /// Own bookkeeping of an endpoint.
    const load& loadOf(const std::string& id) const;
    /// Books a request onto its endpoints and predicts its stages.
    void reserve(const pool_request& request, const chosen_endpoints& chosen, time_point now);
    /// Books what an entry reports to hold, after a takeover.
    void adopt(reservation held, time_point now);
    /// What is booked for an attempt, or null.
    const reservation* find(const std::string& requestId, std::uint32_t attempt) const;
    /// Takes in a stage reached; a finished or failed request frees its endpoints. Returns what was booked.
    std::optional<reservation> progress(const std::string& requestId, std::uint32_t attempt, wire::progress_stage stage, time_point now);
    /// Drops reservations whose entry is not in the list any more, and those long past any possible end.
    void sweep(const std::vector<wire::live_process>& live, time_point now);

    /// Time for a prompt on a prefill engine, counting a cached prefix as free.
    static milliseconds prefillTime(const wire::endpoint_announcement& endpoint, std::uint32_t promptTokens, std::uint64_t prefix);
    /// Time for a prompt's KV cache on the link to a decode engine.
    static milliseconds transferTime(const wire::endpoint_announcement& source, const wire::endpoint_announcement& target, std::uint32_t promptTokens);
    /// Slots of a decode engine that are surely free at a moment, by the upper bounds of what runs on it.
    bool fitsAt(const wire::endpoint_announcement& endpoint, std::uint32_t pieces, time_point at) const;
    /// Prompt tokens a second that the usable prefill engines work off together.
    double prefillRate(time_point now) const;
    /// When the next decode slot is surely free, over all engines; `now` when one is.
    time_point nextSlot(std::uint32_t pieces, time_point now) const;
    std::uint32_t slotsTotal() const;
    std::uint32_t inFlightOf(const std::string& organisation) const;
    bool runsFingerprint(std::uint64_t fingerprint) const;
    const std::map<std::string, reservation>& reservations() const { return m_reservations; }
    std::size_t inFlight() const { return m_reservations.size(); }

private:
    static std::string keyOf(const std::string& requestId, std::uint32_t attempt);
    void release(const reservation& booked, time_point now);
    void releasePrefill(const reservation& booked, time_point now);

    pool_kind m_kind;
    endpoint_table m_table;
    circuit_breaker m_breaker;
    std::map<std::string, load> m_loads;
    std::map<std::string, reservation> m_reservations;
    std::map<std::string, std::vector<std::string>> m_byDecode;
    std::map<std::string, std::uint32_t> m_byOrganisation;
};

/// Prompts longer than this hold up short ones for noticeable time.
constexpr std::uint32_t longPromptTokens = 8192;

} // namespace pistachiolatch
