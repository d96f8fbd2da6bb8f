#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// Bounds how often endpoints are used until they have warmed up. Load pattern: the endpoints of a data centre come back
/// together, empty, in a burst, and are the best choice for every call; each tolerates only some calls per second at first
/// and crashes beyond them. Only an owner that places the calls of all entries can keep to the rate: entries learn from it
/// alone which endpoints are cold, and shares of a few calls per second for each of many entries would be less than one.
/// In any second an endpoint gets at most its rate: three quarters of it continuously, and the rest in one burst.
/// Pure; not thread-safe.
class cold_start_gate {
public:
    /// Sets the calls per second that a cold endpoint tolerates, by service. Endpoints of other services aren't limited.
    void setRates(std::map<std::string, double> callsPerSecond) { m_rates = std::move(callsPerSecond); }
    /// Applies an endpoint's report, which says how long the endpoint stays cold from now.
    void onReport(const wire::endpoint_report& report, time_point now);
    /// Treats an endpoint as cold until then, such as one whose last report may be outdated.
    void assumeCold(const std::string& endpoint, time_point until);
    void remove(const std::string& endpoint) { m_endpoints.erase(endpoint); }
    /// Whether the endpoint is cold and of a service with a rate.
    bool isLimited(const std::string& endpoint, time_point now) const;
    /// Whether the endpoint may get a call now.
    bool allows(const std::string& endpoint, time_point now) const;
    void onSent(const std::string& endpoint, time_point now);
    /// Number of calls that a cold endpoint may get within that time; 0 if it isn't limited.
    double expectedCalls(const std::string& endpoint, duration within, time_point now) const;

private:
    struct endpoint_state {
        std::string service;
        std::uint64_t incarnation = 0;
        time_point coldUntil {};
        /// When the calls sent so far are used up at the continuous rate.
        time_point usedUntil {};
    };
    /// The endpoint if it is limited now; null otherwise.
    const endpoint_state* findLimited(const std::string& endpoint, time_point now) const;
    /// Time per call at the continuous rate of the service.
    duration interval(const std::string& service) const;
    /// How far the calls sent may be ahead of the continuous rate.
    duration burstAllowance(const std::string& service) const;

    std::map<std::string, double> m_rates;
    std::map<std::string, endpoint_state> m_endpoints;
};

} // namespace pistachiolatch
