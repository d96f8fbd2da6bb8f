#pragma once
#include "coordination/endpoint_listener.h"
#include "forwarding/call_types.h"
#include <map>
#include <random>
#include <set>

namespace pistachiolatch {

/// What a call needs of an endpoint.
struct endpoint_query {
    std::string service;
    wire::endpoint_stage stage = wire::STAGE_ANY;
    /// Tokens that the call will hold in the endpoint's memory; 0 for plain services.
    std::uint64_t tokens = 0;
    /// The memory of each endpoint in tokens; 0 means no bound.
    std::uint64_t memoryTokens = 0;
    /// Calls at once at which an endpoint counts as full; 0 means as many as it has slots.
    unsigned fullAt = 0;
    /// Calls at once that an endpoint is given at the most, as far as this entry knows; 0 means no bound.
    unsigned mostRequests = 0;
    /// The data centre to prefer; empty means the entry's own.
    std::string nearTo;
    /// Endpoints already tried for this call.
    std::set<std::string> exclude;
};

/// An endpoint that was picked.
struct picked_endpoint {
    std::string id;
    std::string address;
    std::string dataCentre;
    /// Tells this run of the endpoint from others.
    std::uint64_t born = 0;
};

/// What became of a call at an endpoint, as far as it tells of the endpoint's health.
enum class endpoint_verdict {
    Good,
    /// Full or leaving: alive, yet of no use for the moment.
    Refused,
    /// An error of its own, or an answer that can't be read.
    Failed,
    /// The connection broke or could not be made, or nothing came.
    Lost,
};

/// The endpoints as an entry knows them, and the choice among them. An entry chooses by itself, from the load that it
/// has put on each endpoint, what the other entries report, and what endpoints say with their answers: no question to
/// another VM stands between a call and its endpoint, so placing goes on while any other process is away. Choosing the
/// better of a few at random keeps many entries with the same old figures from all running to the same endpoint.
/// Not thread-safe.
class endpoint_registry final : public endpoint_listener {
public:
    endpoint_registry(const clock_source& clock, std::string dataCentre, std::uint64_t seed);

    void onEndpoints(const google::protobuf::RepeatedPtrField<wire::endpoint_row>& rows, bool everything) override;
    void onLoad(const google::protobuf::RepeatedPtrField<wire::endpoint_load>& others) override;
    void fillLoad(google::protobuf::RepeatedPtrField<wire::endpoint_load>& own) const override;
    void fillCalls(google::protobuf::RepeatedPtrField<wire::running_call>& calls) const override;

    /// Notes a model call that runs, under an id from nextCallId(), and how far it has come.
    void beginCall(std::uint64_t id, const std::string& endpoint, std::uint64_t promptTokens, std::uint64_t outputTokens);
    std::uint64_t nextCallId() { return ++m_lastCall; }
    void noteGenerated(std::uint64_t id, std::uint64_t tokens);
    void endCall(std::uint64_t id) { m_calls.erase(id); }

    /// The endpoint for a call, or nothing when none can take it.
    std::optional<picked_endpoint> pick(const endpoint_query& query);
    /// The endpoint of that id, if it may be used; nothing when it is unknown or has left.
    std::optional<picked_endpoint> find(const std::string& id) const;
    /// Endpoints of the service that fail or can't be reached just now.
    std::vector<std::string> avoided(const std::string& service) const;
    /// Whether the endpoint fails a good part of its calls, or is left alone after a failure.
    bool failsNow(const std::string& id) const;
    const std::string& dataCentre() const { return m_dataCentre; }
    /// Whether the service has an endpoint of that stage that serves, full or not.
    bool hasAny(const std::string& service, wire::endpoint_stage stage) const;
    /// Books a call on an endpoint, and takes the booking back. Unknown endpoints are ignored: they may have left meanwhile.
    void begin(const std::string& id, std::uint64_t tokens);
    void end(const std::string& id, std::uint64_t tokens);
    void judge(const std::string& id, endpoint_verdict verdict);
    /// Bytes of an answer came from the endpoint.
    void noteHeard(const std::string& id);
    /// When bytes last came from the endpoint; zero when none ever did.
    time_point heardAt(const std::string& id) const;
    void noteLoad(const std::string& id, const reported_load& load);
    std::size_t size() const { return m_endpoints.size(); }

private:
    struct known_endpoint {
        wire::endpoint_report report;
        bool silent = false;
        unsigned ownRequests = 0;
        std::uint64_t ownTokens = 0;
        unsigned otherRequests = 0;
        std::uint64_t otherTokens = 0;
        /// Share of recent calls that failed, weighted towards the newest.
        double failures = 0;
        unsigned failuresInARow = 0;
        time_point avoidUntil {};
        time_point succeededAt {};
        time_point heardAt {};
        /// Since when the present leader has not confirmed the endpoint; zero when it has.
        time_point unconfirmedSince {};
    };
    bool usable(const known_endpoint& one, const endpoint_query& query, time_point now) const;
    bool avoided(const known_endpoint& one, time_point now) const;
    static double cost(const known_endpoint& one, const endpoint_query& query);
    const known_endpoint* bestOfFew(const std::vector<const known_endpoint*>& candidates, const endpoint_query& query);
    void takeRow(const wire::endpoint_row& row);

    const clock_source& m_clock;
    std::string m_dataCentre;
    std::mt19937_64 m_random;
    std::map<std::string, known_endpoint> m_endpoints;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, wire::running_call> m_calls;
};

/// Books a call on an endpoint for as long as it lives.
class endpoint_booking {
public:
    endpoint_booking(endpoint_registry& roster, std::string id, std::uint64_t tokens)
        : m_roster(&roster)
        , m_id(std::move(id))
        , m_tokens(tokens)
    {
        m_roster->begin(m_id, m_tokens);
    }
    ~endpoint_booking() { m_roster->end(m_id, m_tokens); }
    endpoint_booking(const endpoint_booking&) = delete;
    endpoint_booking& operator=(const endpoint_booking&) = delete;

private:
    endpoint_registry* m_roster;
    std::string m_id;
    std::uint64_t m_tokens;
};

} // namespace pistachiolatch
