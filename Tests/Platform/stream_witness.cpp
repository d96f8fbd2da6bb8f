#include "Platform/stream_witness.h"

#include <fmt/format.h>

namespace pistachiolatch::test {

std::uint64_t stream_witness::beginRun()
{
    std::lock_guard lock(m_mutex);
    return ++m_lastRun;
}

void stream_witness::recordFirstEvent(const std::string& stream, std::uint64_t run, const std::string& version)
{
    std::lock_guard lock(m_mutex);
    auto& first = m_firstEvents[stream];
    if (run > first.run)
        first = { run, version };
}

void stream_witness::recordContinuation(const std::string& stream, const std::string& version)
{
    std::lock_guard lock(m_mutex);
    ++m_continuations;
    auto first = m_firstEvents.find(stream);
    if (first == m_firstEvents.end())
        m_violations.push_back(fmt::format("{}, which no endpoint began, at {}", stream, version));
    else if (first->second.version != version)
        m_violations.push_back(fmt::format("{}, which {} began, at {}", stream, first->second.version, version));
}

std::vector<std::string> stream_witness::violations() const
{
    std::lock_guard lock(m_mutex);
    return m_violations;
}

int stream_witness::continuations() const
{
    std::lock_guard lock(m_mutex);
    return m_continuations;
}

} // namespace pistachiolatch::test
