#pragma once
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pistachiolatch::test {

/// Records what clients and the operator observe and checks it against the system's guarantees. Thread-safe.
class soak_checks {
public:
    using steady_time = std::chrono::steady_clock::time_point;

    /// Records the status of a call that must run at most once; 0 means that no complete response arrived.
    void recordBooking(const std::string& id, unsigned status);
    /// Checks that a complete response names the id of its own call.
    void checkResponse(const std::string& id, const std::string& body);
    /// Checks that a stream reported as complete contains all of its events in order.
    void checkStream(const std::string& id, const std::string& body, int events);
    /// Checks what a caller got of a stream over its attempts: events in order, of one software version, to the last if the stream
    /// is reported as complete. Returns the id of the last whole event; empty if there is none.
    std::string checkAttempts(const std::string& id, const std::string& body, int events, bool isComplete);
    /// Adds to a count that is printed with the result.
    void count(const std::string& what);
    /// Records that a configuration change was acknowledged.
    void recordAcknowledged(std::uint64_t version);
    std::uint64_t newestAcknowledgedVersion() const;
    /// Checks the version that a read returned against the newest one that was acknowledged before the read was sent.
    void checkRead(std::uint64_t version, std::uint64_t acknowledgedBefore);
    /// Records when the change that removes the second key was acknowledged, and when the one that restores it is sent.
    void recordKeyWithdrawn(steady_time at);
    void recordKeyRestored();
    /// Checks a call that was served with the second key against the periods in which that key was withdrawn.
    void checkKeyAccepted(steady_time sentAt);
    /// Checks the bookings against how often the endpoints executed each of them.
    void checkExecutions(const std::map<std::string, int>& runs);
    /// Records the limit in calls per second that an endpoint names from now on; 0 for none.
    void recordLimit(double callsPerSecond);
    /// Checks the arrivals at that endpoint against the limits that it named.
    void checkLimits(const std::vector<steady_time>& arrivals);
    void addFailure(const std::string& what);

    std::vector<std::string> failures() const;
    std::map<std::string, int> counts() const;

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_failures;
    std::map<std::string, unsigned> m_bookings;
    std::map<std::string, int> m_counts;
    std::uint64_t m_acknowledgedVersion = 0;
    std::vector<std::pair<steady_time, steady_time>> m_withdrawnPeriods;
    std::vector<std::pair<steady_time, double>> m_limits;
};

} // namespace pistachiolatch::test
