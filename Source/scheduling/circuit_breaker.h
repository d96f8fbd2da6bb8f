#pragma once
#include "kernel/kernel.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// Keeps work away from endpoints that fail repeatedly: opens after consecutive failures, then lets one probe at a time
/// through. docs/DESIGN.md cites the article that describes a breaker with a single probe.
/// Not thread-safe.
class circuit_breaker {
public:
    /// Whether new work may go to the endpoint now. Does not start a probe.
    bool allows(const std::string& endpoint, time_point now) const;
    /// Records that work was sent to the endpoint. If its breaker is open, this work is the probe.
    void onSent(const std::string& endpoint, time_point now);
    /// Work ended without showing whether the endpoint is healthy: it was refused as full, or its caller disconnected.
    /// Allows another probe.
    void onInconclusive(const std::string& endpoint);
    void onSuccess(const std::string& endpoint) { m_records.erase(endpoint); }
    void onFailure(const std::string& endpoint, time_point now);
    void reset(const std::string& endpoint) { m_records.erase(endpoint); }

private:
    struct endpoint_record {
        unsigned failures = 0;
        time_point openUntil {};
        /// When a probe without a reported outcome times out.
        time_point probeUntil {};
    };
    std::map<std::string, endpoint_record> m_records;
};

} // namespace pistachiolatch
