#pragma once
#include "kernel/kernel.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// Keeps work away from endpoints that fail again and again: opens after consecutive failures, then lets exactly
/// one trial through (the breaker with one trial is the idea of the article cited in docs/DESIGN.md).
/// Not thread-safe.
class circuit_breaker {
public:
    /// Whether new work may go to the endpoint now. Does not start a trial.
    bool allows(const std::string& endpoint, time_point now) const;
    /// Tells that work was sent to the endpoint; an open breaker thereby starts its one trial.
    void onSent(const std::string& endpoint, time_point now);
    /// Work on the endpoint ended without telling whether it is sound: refused as full, or its caller left. A trial may
    /// begin anew.
    void onUndecided(const std::string& endpoint);
    void onSuccess(const std::string& endpoint) { m_rows.erase(endpoint); }
    void onFailure(const std::string& endpoint, time_point now);
    void forget(const std::string& endpoint) { m_rows.erase(endpoint); }

private:
    struct row {
        unsigned failures = 0;
        time_point openUntil {};
        /// A trial that never reports ends by itself.
        time_point trialUntil {};
    };
    std::map<std::string, row> m_rows;
};

} // namespace pistachiolatch
