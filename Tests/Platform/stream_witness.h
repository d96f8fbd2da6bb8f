#pragma once
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pistachiolatch::test {

/// Checks for all endpoints of a test that a stream is continued only at the software version that wrote its first event.
/// Thread-safe.
class stream_witness {
public:
    /// Returns a number for a run that begins a stream; runs that begin later have higher ones.
    std::uint64_t beginRun();
    /// Records that a run has written the first event of a stream. Of several runs, the one that began last counts.
    void recordFirstEvent(const std::string& stream, std::uint64_t run, const std::string& version);
    /// Records that an endpoint was asked to continue a stream.
    void recordContinuation(const std::string& stream, const std::string& version);
    /// The streams that endpoints of other versions were asked to continue, one line each.
    std::vector<std::string> violations() const;
    int continuations() const;

private:
    struct first_event {
        std::uint64_t run = 0;
        std::string version;
    };

    mutable std::mutex m_mutex;
    std::uint64_t m_lastRun = 0;
    std::map<std::string, first_event> m_firstEvents;
    std::vector<std::string> m_violations;
    int m_continuations = 0;
};

} // namespace pistachiolatch::test
