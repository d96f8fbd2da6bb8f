#pragma once
#include "coordination/endpoint_limits.h"
#include "coordination/endpoint_listener.h"
#include "forwarding/call_types.h"
#include "forwarding/endpoint_statements.h"
#include "scheduling/slowdown_estimate.h"
#include <map>
#include <random>
#include <set>

namespace pistachiolatch {

/// Requirements of a call for the selection of an endpoint.
struct endpoint_query {
    std::string service;
    wire::endpoint_stage stage = wire::STAGE_ANY;
    /// Tokens that the call occupies in the endpoint's memory; 0 for services without engines.
    std::uint64_t tokens = 0;
    /// Memory of each endpoint in tokens; 0 means unlimited.
    std::uint64_t memoryTokens = 0;
    /// Concurrent requests at which an endpoint counts as full; 0 means its number of slots.
    unsigned requestCapacity = 0;
    /// Maximum of concurrent requests at an endpoint, as far as this entry knows; 0 means unlimited.
    unsigned maxRequests = 0;
    /// Whether only the leader may place calls at endpoints that are still cold, because it alone counts the calls of all
    /// entries.
    bool excludeCold = false;
    /// The limits that endpoints name, of which this entry takes a share for each endpoint that it selects; null for none.
    endpoint_limits* limits = nullptr;
    /// Entries that share the limits.
    unsigned entries = 1;
    /// Preferred data centre; empty means the entry's own.
    std::string preferredDataCentre;
    /// Ids of endpoints that must not be selected, such as those already tried.
    std::set<std::string> exclude;
    version_requirement version {};
    /// How long ago an endpoint may have begun to leave; zero selects none that leaves.
    milliseconds maxLeavingTime { 0 };
};

struct selected_endpoint {
    std::string id;
    std::string address;
    std::string dataCentre;
    /// Identifies the run of the endpoint process.
    std::uint64_t incarnation = 0;
    /// The software version of that run; empty if unknown.
    std::string softwareVersion;
};

/// Outcome of a request to an endpoint as a signal of the endpoint's health.
enum class endpoint_outcome {
    Succeeded,
    /// The endpoint is alive, but full or leaving.
    Refused,
    /// The endpoint returned an error or an invalid response.
    Failed,
    /// The connection failed or broke, or no response arrived.
    Unreachable,
};

/// The endpoints known to an entry, with their load and health, and the selection among them. The selection uses the
/// entry's own load on each endpoint, the load reported by other entries and the load reported in responses. It needs no
/// request to another VM, so it works while any other process is unavailable. Selecting the best of a random sample
/// keeps entries with the same outdated load data from all selecting the same endpoint. Load weighs more at endpoints without
/// engines that stated a moment ago that they are slow.
/// Not thread-safe.
class endpoint_registry final : public endpoint_listener {
public:
    endpoint_registry(const clock_source& clock, std::string dataCentre, std::uint64_t seed);

    void onEndpoints(const google::protobuf::RepeatedPtrField<wire::endpoint_row>& rows, bool complete) override;
    void onLoad(const google::protobuf::RepeatedPtrField<wire::endpoint_load>& others) override;
    void onEvacuated(const std::set<std::string>& dataCentres) override;
    void fillLoad(google::protobuf::RepeatedPtrField<wire::endpoint_load>& own) const override;
    void fillCalls(google::protobuf::RepeatedPtrField<wire::running_call>& calls) const override;

    /// Tracks a running model call and its progress under an id from nextCallId().
    void addRunningCall(std::uint64_t id, const std::string& endpoint, std::uint64_t promptTokens, std::uint64_t outputTokens);
    std::uint64_t nextCallId() { return ++m_lastCallId; }
    void updateGeneratedTokens(std::uint64_t id, std::uint64_t tokens);
    void removeRunningCall(std::uint64_t id) { m_runningCalls.erase(id); }

    /// Selects an endpoint for a call; empty if none is eligible or this entry's shares of their limits are used up.
    std::optional<selected_endpoint> select(endpoint_query query);
    /// Records that an endpoint wants no requests from this VM for some time.
    void recordRest(const selected_endpoint& endpoint, milliseconds rest);
    /// Records whether an endpoint said that it leaves, in a response to a request that was sent at `sentAt`.
    void recordLeaving(const selected_endpoint& endpoint, bool leaves, time_point sentAt);
    /// Whether an endpoint wants no requests from this VM now.
    bool isResting(const std::string& id) const;
    /// Whether an endpoint said that it leaves.
    bool saidLeaving(const std::string& id) const;
    /// Endpoints that asked for no new calls, whether because they rest or leave.
    std::vector<std::string> unwillingEndpoints() const { return m_statements.unwilling(m_clock.now()); }
    /// How long no endpoint of the service's stage takes a call because all that serve rest; zero if one does or none serves.
    duration restLeft(const std::string& service, wire::endpoint_stage stage) const;
    /// Returns the endpoint with this id; empty if it is unknown, not serving, not willing or in an evacuated data centre.
    std::optional<selected_endpoint> find(const std::string& id) const;
    /// Ids of the service's endpoints for which isUnhealthy() holds.
    std::vector<std::string> unhealthyEndpoints(const std::string& service) const;
    /// Whether the endpoint has a high failure rate or is in backoff.
    bool isUnhealthy(const std::string& id) const;
    /// Whether the endpoint is unhealthy, or failed or refused the last request of this entry.
    bool mayFail(const std::string& id) const;
    const std::string& dataCentre() const { return m_dataCentre; }
    /// Whether the service has a serving endpoint for this stage, regardless of its load.
    bool hasServing(const std::string& service, wire::endpoint_stage stage) const;
    /// Whether the service has an endpoint of this software version that serves, or began to leave less than a time ago,
    /// regardless of its load.
    bool hasVersion(const std::string& service, const std::string& version, milliseconds maxLeavingTime) const;
    /// Whether the endpoint leaves and began to do so longer ago than a time.
    bool isLeavingLongerThan(const std::string& id, milliseconds time) const;
    /// Adds or removes a request's load on an endpoint. Unknown endpoints are ignored: they may have left meanwhile.
    void addRequest(const std::string& id, std::uint64_t tokens);
    void removeRequest(const std::string& id, std::uint64_t tokens);
    void recordOutcome(const std::string& id, endpoint_outcome outcome);
    /// Ends the backoff of an endpoint that is reachable after all.
    void recordReachable(const std::string& id);
    /// Records that response data arrived from the endpoint.
    void recordActivity(const std::string& id);
    /// When response data last arrived from the endpoint; zero if never.
    time_point lastActivityAt(const std::string& id) const;
    void updateLoad(const std::string& id, const reported_load& load);
    std::size_t size() const { return m_endpoints.size(); }
    /// Whether the endpoint with this id is known and in an evacuated data centre.
    bool isEvacuated(const std::string& id) const;
    /// Whether the service has serving endpoints, but all of them are in evacuated data centres.
    bool isServiceEvacuated(const std::string& service) const;

private:
    struct endpoint_record {
        wire::endpoint_report report;
        bool silent = false;
        time_point coldUntil {};
        /// When it began to leave; zero while it serves.
        time_point leavingSince {};
        unsigned ownRequests = 0;
        std::uint64_t ownTokens = 0;
        unsigned otherRequests = 0;
        std::uint64_t otherTokens = 0;
        /// Exponentially weighted share of failed calls.
        double failureRate = 0;
        unsigned consecutiveFailures = 0;
        /// Whether the last outcome was another than a success.
        bool failedLast = false;
        time_point backoffUntil {};
        time_point lastSuccessAt {};
        time_point lastActivityAt {};
        slowdown_estimate slowdown;
        /// Since when the endpoint has not been confirmed by the current leader; zero if it has been.
        time_point unconfirmedSince {};
        /// The directory whose row this is, as a count of those that have been read.
        std::uint64_t directory = 0;
        /// The newest row of another directory that counts as earlier, and since when that directory has had such rows; zero if it has none.
        wire::endpoint_row earlierRow;
        time_point earlierSince {};
    };
    bool isEligible(const endpoint_record& endpoint, const endpoint_query& query, time_point now) const;
    /// Whether the endpoint serves, or began to leave less than a time ago.
    bool isServing(const endpoint_record& endpoint, milliseconds maxLeavingTime, time_point now) const;
    bool isResting(const endpoint_record& endpoint, time_point now) const { return now < m_statements.restsUntil(endpoint.report.id(), endpoint.report.born_ms()); }
    bool isEvacuated(const endpoint_record& endpoint) const { return m_evacuated.count(endpoint.report.data_centre()) > 0; }
    bool isInBackoff(const endpoint_record& endpoint, time_point now) const;
    static double cost(const endpoint_record& endpoint, const endpoint_query& query, time_point now);
    const endpoint_record* selectBest(const endpoint_query& query);
    const endpoint_record* selectFromSample(const std::vector<const endpoint_record*>& candidates, const endpoint_query& query);
    void applyRow(const wire::endpoint_row& row);
    /// Whether a row counts as earlier than what is known. Keeps the row for applyEarlierRows() if so.
    bool isStale(const wire::endpoint_row& row);
    /// Applies the rows that the current leader has kept for a while although they count as earlier.
    void applyEarlierRows();
    static selected_endpoint makeSelected(const wire::endpoint_report& report);

    const clock_source& m_clock;
    std::string m_dataCentre;
    std::mt19937_64 m_random;
    endpoint_statements m_statements;
    std::map<std::string, endpoint_record> m_endpoints;
    std::uint64_t m_directory = 0;
    std::set<std::string> m_evacuated;
    std::uint64_t m_lastCallId = 0;
    std::map<std::uint64_t, wire::running_call> m_runningCalls;
};

/// Adds a request's load to an endpoint for the lifetime of the object.
class endpoint_reservation {
public:
    endpoint_reservation(endpoint_registry& registry, std::string id, std::uint64_t tokens)
        : m_registry(&registry)
        , m_id(std::move(id))
        , m_tokens(tokens)
    {
        m_registry->addRequest(m_id, m_tokens);
    }
    ~endpoint_reservation() { m_registry->removeRequest(m_id, m_tokens); }
    endpoint_reservation(const endpoint_reservation&) = delete;
    endpoint_reservation& operator=(const endpoint_reservation&) = delete;

private:
    endpoint_registry* m_registry;
    std::string m_id;
    std::uint64_t m_tokens;
};

} // namespace pistachiolatch
