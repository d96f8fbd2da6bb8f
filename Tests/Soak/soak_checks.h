#pragma once
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pistachiolatch::test {

/// What the soak's clients and operator saw, and the promises that it must agree with. Thread safety: any thread.
class soak_checks {
public:
    using steady_time = std::chrono::steady_clock::time_point;

    /// A call that must run at most once ended with this status; 0 when no whole answer came.
    void bookingEnded(const std::string& id, unsigned status);
    /// A whole answer arrived. Whose id it names must be the caller's.
    void answerCame(const std::string& id, const std::string& body);
    /// A stream ended as whole with these events.
    void streamEnded(const std::string& id, const std::string& body, int events);
    /// The operator's change was acknowledged.
    void acknowledged(std::uint64_t version);
    std::uint64_t newestAcknowledged() const;
    /// A read that was sent when `acknowledgedBefore` was the newest acknowledged version returned this one.
    void readBack(std::uint64_t version, std::uint64_t acknowledgedBefore);
    /// A key was taken away by a change that was acknowledged now, or given back by one sent now.
    void keyWithdrawn(steady_time at);
    void keyGiven();
    /// A call with the key that comes and goes was sent then, and was answered by an endpoint.
    void servedWithKey(steady_time sentAt);
    /// Compares with how often the endpoints ran each call.
    void compareRuns(const std::map<std::string, int>& runs);
    void fail(const std::string& what);

    std::vector<std::string> failures() const;
    std::map<std::string, int> counts() const;

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_failures;
    std::map<std::string, unsigned> m_bookings;
    std::map<std::string, int> m_counts;
    std::uint64_t m_acknowledged = 0;
    std::vector<std::pair<steady_time, steady_time>> m_withdrawn;
};

} // namespace pistachiolatch::test
