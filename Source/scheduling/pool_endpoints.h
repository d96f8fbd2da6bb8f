#pragma once
#include "membership/membership.h"
#include "scheduling/circuit_breaker.h"
#include "scheduling/pool_types.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pistachiolatch {

/// The endpoints reserved for one attempt of a request, and the predicted ends of its stages.
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
    /// Upper bound for the end: when an engine at its usual speed has generated the maximum number of tokens.
    time_point decodeEnds {};
};

/// The state of a pool's endpoints: their announcements, which lag, corrected by the pool's own reservations, which are
/// current.
/// Not thread-safe.
class pool_endpoints {
public:
    struct load {
        std::uint32_t requests = 0;
        std::uint32_t pieces = 0;
        /// When a prefill engine has completed its prompts, or a decode engine's link its transfers.
        time_point busyUntil {};
        /// Number of prompts that are long enough to delay short ones noticeably.
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

    void setEvacuated(std::set<std::string> dataCentres) { m_evacuated = std::move(dataCentres); }
    /// Number of serving endpoints in evacuated data centres.
    std::size_t evacuatedCount() const;
    /// Whether endpoints serve, but all of them are in evacuated data centres.
    bool isEvacuated() const { return evacuatedCount() > 0 && evacuatedCount() == m_table.serving().size(); }
    /// Endpoints of a role that may get new work, without the excluded ones. The pointers are valid until the next
    /// announcement.
    std::vector<const wire::endpoint_announcement*> usable(const std::string& role, const std::set<std::string>& exclude, bool useBreaker, time_point now) const;
    /// Load of an endpoint by the reservations of this pool.
    const load& loadOf(const std::string& id) const;
    /// Reserves the endpoints for a request and predicts the ends of its stages.
    void reserve(const pool_request& request, const chosen_endpoints& chosen, time_point now);
    /// Adds a reservation, for example one that an entry reports after a takeover. Ignored if the attempt has one
    /// already.
    void addReservation(reservation added, time_point now);
    /// The reservation of an attempt; null if there is none.
    const reservation* find(const std::string& requestId, std::uint32_t attempt) const;
    /// Records that an attempt reached a stage; a finished or failed one releases its endpoints. Returns the
    /// reservation.
    std::optional<reservation> updateStage(const std::string& requestId, std::uint32_t attempt, wire::progress_stage stage, time_point now);
    /// Removes reservations of entries that are not in the list, and those long past the upper bound of their end.
    void removeStaleReservations(const std::vector<wire::live_process>& live, time_point now);

    /// Time to prefill a prompt; a cached prefix takes none.
    static milliseconds prefillTime(const wire::endpoint_announcement& endpoint, std::uint32_t promptTokens, std::uint64_t prefix);
    /// Time to transfer a prompt's KV cache to a decode engine.
    static milliseconds transferTime(const wire::endpoint_announcement& source, const wire::endpoint_announcement& target, std::uint32_t promptTokens);
    /// Whether a decode engine certainly has a free slot and that much memory at that time, by the upper bounds of its
    /// reservations.
    bool fitsAt(const wire::endpoint_announcement& endpoint, std::uint32_t pieces, time_point at) const;
    /// Prompt tokens per second of all usable prefill engines.
    double prefillRate(time_point now) const;
    /// Earliest time at which a slot is certainly free on any engine; `now` if one is free.
    time_point nextFreeSlot(std::uint32_t pieces, time_point now) const;
    std::uint32_t totalSlots() const;
    std::uint32_t inFlightCount(const std::string& organisation) const;
    bool isRunning(std::uint64_t fingerprint) const;
    const std::map<std::string, reservation>& reservations() const { return m_reservations; }
    std::size_t inFlight() const { return m_reservations.size(); }

private:
    static std::string reservationKey(const std::string& requestId, std::uint32_t attempt);
    void release(const reservation& reserved, time_point now);
    void releasePrefill(const reservation& reserved, time_point now);

    pool_kind m_kind;
    endpoint_table m_table;
    std::set<std::string> m_evacuated;
    circuit_breaker m_breaker;
    std::map<std::string, load> m_loads;
    std::map<std::string, reservation> m_reservations;
    std::map<std::string, std::vector<std::string>> m_reservationsByDecode;
    std::map<std::string, std::uint32_t> m_inFlightByOrganisation;
};

/// Prompts longer than this delay short ones noticeably.
constexpr std::uint32_t longPromptTokens = 8192;

} // namespace pistachiolatch
