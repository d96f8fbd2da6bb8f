#include "Soak/soak_checks.h"

#include <fmt/format.h>

namespace pistachiolatch::test {

namespace {
    /// The time within which a withdrawn key must stop working, as the fleet's settings say.
    constexpr std::chrono::milliseconds withdrawnWithin { 5000 };
    constexpr soak_checks::steady_time never = soak_checks::steady_time::max();

    bool promisesNotRun(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }
}

void soak_checks::fail(const std::string& what)
{
    m_failures.push_back(what);
}

void soak_checks::bookingEnded(const std::string& id, unsigned status)
{
    std::lock_guard lock(m_mutex);
    m_bookings[id] = status;
    ++m_counts[fmt::format("booking {}", status)];
}

void soak_checks::answerCame(const std::string& id, const std::string& body)
{
    std::lock_guard lock(m_mutex);
    ++m_counts["answers"];
    if (body != "answer to " + id)
        fail(fmt::format("call {} got another answer: {}", id, body));
}

void soak_checks::streamEnded(const std::string& id, const std::string& body, int events)
{
    std::lock_guard lock(m_mutex);
    ++m_counts["streams"];
    std::string expected;
    for (int i = 0; i < events; ++i)
        expected += fmt::format("id: {}\ndata: piece {}\n\n", i, i);
    if (body != expected)
        fail(fmt::format("stream {} ended as whole with: {}", id, body));
}

void soak_checks::acknowledged(std::uint64_t version)
{
    std::lock_guard lock(m_mutex);
    ++m_counts["changes"];
    m_acknowledged = std::max(m_acknowledged, version);
}

std::uint64_t soak_checks::newestAcknowledged() const
{
    std::lock_guard lock(m_mutex);
    return m_acknowledged;
}

void soak_checks::readBack(std::uint64_t version, std::uint64_t acknowledgedBefore)
{
    std::lock_guard lock(m_mutex);
    ++m_counts["reads of the configuration"];
    if (version < acknowledgedBefore)
        fail(fmt::format("version {} was read after {} had been acknowledged", version, acknowledgedBefore));
}

void soak_checks::keyWithdrawn(steady_time at)
{
    std::lock_guard lock(m_mutex);
    if (m_withdrawn.empty() || m_withdrawn.back().second != never)
        m_withdrawn.emplace_back(at, never);
}

void soak_checks::keyGiven()
{
    std::lock_guard lock(m_mutex);
    if (!m_withdrawn.empty() && m_withdrawn.back().second == never)
        m_withdrawn.back().second = std::chrono::steady_clock::now();
}

void soak_checks::servedWithKey(steady_time sentAt)
{
    std::lock_guard lock(m_mutex);
    for (const auto& [from, to] : m_withdrawn) {
        if (sentAt > from + withdrawnWithin && sentAt < to)
            fail("a call was served with a key that had been withdrawn for too long");
    }
}

void soak_checks::compareRuns(const std::map<std::string, int>& runs)
{
    std::lock_guard lock(m_mutex);
    for (const auto& [id, status] : m_bookings) {
        auto found = runs.find(id);
        int ran = found == runs.end() ? 0 : found->second;
        if (ran > 1)
            fail(fmt::format("booking {} ran {} times", id, ran));
        if (ran > 0 && promisesNotRun(status))
            fail(fmt::format("booking {} was answered {} and ran", id, status));
        if (ran == 0 && status == 200)
            fail(fmt::format("booking {} was answered 200 and did not run", id));
    }
}

std::vector<std::string> soak_checks::failures() const
{
    std::lock_guard lock(m_mutex);
    return m_failures;
}

std::map<std::string, int> soak_checks::counts() const
{
    std::lock_guard lock(m_mutex);
    return m_counts;
}

} // namespace pistachiolatch::test
