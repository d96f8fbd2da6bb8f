#pragma once
#include "kernel/kernel.h"
#include <map>
#include <optional>
#include <string>

namespace pistachiolatch {

/// How long the organisations' calls wait for endpoints, and which share of them is refused.
struct organisation_wait_summary {
    /// Number of organisations with enough recent calls to be compared; the other values cover only these.
    std::size_t organisations = 0;
    /// Mean wait of the calls of an organisation: the longest, and the mean over all organisations.
    milliseconds worstWait { 0 };
    milliseconds meanWait { 0 };
    /// Refused share of the calls of an organisation: the largest, and the mean over all organisations.
    double worstRefusedShare = 0;
    double meanRefusedShare = 0;
    /// The organisation with the largest refused share and the one with the smallest; waits decide between equal shares.
    std::string worst;
    std::string best;
    double bestRefusedShare = 0;
};

/// Keeps what each organisation recently waited and was refused, so that operators see whether shortage is shared fairly.
/// Load pattern: few large organisations among many small ones, of which each sends a few calls a second. So calls count
/// less and less as they age, rather than in intervals that would hold hardly a call of a small one.
/// Calls of no organisation are ignored.
/// Pure; not thread-safe.
class organisation_waits {
public:
    /// Age at which a call counts half.
    static constexpr std::chrono::seconds halfLife { 10 };
    /// Organisations with fewer recent calls are not compared: one refused call of one says little.
    static constexpr double minCalls = 5;
    /// Bound of the organisations that are kept.
    static constexpr std::size_t maxOrganisations = 1024;
    /// Shortest interval between two reports.
    static constexpr milliseconds reportInterval { 1000 };

    /// Records a call that was placed after a wait.
    void recordPlaced(const std::string& organisation, duration waited, time_point now);
    void recordRefused(const std::string& organisation, time_point now);
    organisation_wait_summary summary(time_point now) const;
    /// Returns the summary if the last one that was returned is old enough.
    std::optional<organisation_wait_summary> dueSummary(time_point now);
    /// Whether a call was refused since this was last asked.
    bool takeRefused();
    void clear();

private:
    struct history {
        double placed = 0;
        double refused = 0;
        /// Sum of the waits of placed calls.
        std::chrono::duration<double, std::milli> waited { 0 };
        time_point updatedAt {};
    };
    /// The weight that calls counted at a time still have.
    static double weight(time_point since, time_point now);
    /// Finds or adds the organisation's history and lets it age. Returns null if there is no room for it.
    history* findAged(const std::string& organisation, time_point now);

    std::map<std::string, history> m_organisations;
    time_point m_reportedAt {};
    bool m_refused = false;
};

} // namespace pistachiolatch
