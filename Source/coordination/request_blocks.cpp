#include "coordination/request_blocks.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Limits the certain blocks, and so the size of updates to entries. The blocks that expire first are evicted.
    constexpr std::size_t maxBlocks = 1000;
}

bool request_blocks::addSuspectedCrash(const wire::crash_report& report, time_point now)
{
    if (!m_crashTracker.recordCrash(report, now - milliseconds(report.age_ms())))
        return false;
    refresh(now);
    return true;
}

void request_blocks::onReport(const wire::endpoint_report& report, time_point now)
{
    if (m_crashTracker.empty())
        return;
    if (report.state() == wire::ENDPOINT_GONE)
        m_crashTracker.onShutdown(report.id());
    else
        m_crashTracker.onAnnounced(report.id(), report.born_ms(), now);
    refresh(now);
}

void request_blocks::updateFromDirectory(const endpoint_directory& directory, time_point leaderSince, time_point now)
{
    for (const auto& [id, suspectedAt] : m_crashTracker.suspectedEndpoints()) {
        const auto* row = directory.find(id);
        // ENDPOINT_GONE in a report removes the suspicion, so a suspected endpoint that is gone was replaced by another run.
        bool gone = !row || row->report().state() == wire::ENDPOINT_GONE;
        bool silent = row && row->silent() && now - std::max(suspectedAt, leaderSince) > m_settings.silentAfter;
        if (gone || silent)
            m_crashTracker.onSilent(id);
    }
    m_crashTracker.expire(m_settings.crashLifetime, now);
    if (!m_crashTracker.empty() || m_blocks.requests_size() > 0)
        refresh(now);
}

void request_blocks::adopt(const wire::blocked_requests& held, time_point now)
{
    for (const auto& block : held.requests()) {
        if (block.certain())
            m_certain.try_emplace(block.fingerprint(), now + m_settings.blockLifetime);
    }
    refresh(now);
}

void request_blocks::refresh(time_point now)
{
    auto counts = m_crashTracker.countsByFingerprint();
    for (const auto& [fingerprint, count] : counts) {
        if (count.certain >= crash_tracker::crashesToBlock)
            m_certain.try_emplace(fingerprint, now + m_settings.blockLifetime);
    }
    std::erase_if(m_certain, [now](const auto& item) { return item.second < now; });
    while (m_certain.size() > maxBlocks)
        m_certain.erase(std::min_element(m_certain.begin(), m_certain.end(), [](const auto& a, const auto& b) { return a.second < b.second; }));

    wire::blocked_requests blocks;
    auto add = [&blocks](std::uint64_t fingerprint, bool certain) {
        auto* block = blocks.add_requests();
        block->set_fingerprint(fingerprint);
        block->set_certain(certain);
    };
    for (const auto& [fingerprint, until] : m_certain)
        add(fingerprint, true);
    for (const auto& [fingerprint, count] : counts) {
        if (count.total() >= crash_tracker::crashesToBlock && !m_certain.count(fingerprint))
            add(fingerprint, false);
    }
    if (blocks.SerializeAsString() == m_blocks.SerializeAsString())
        return;
    m_blocks = std::move(blocks);
    ++m_version;
}

} // namespace pistachiolatch
