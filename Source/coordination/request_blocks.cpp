#include "coordination/request_blocks.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace pistachiolatch {

namespace {
    /// Limits the certain blocks, and so the size of updates to entries. The blocks that expire first are evicted.
    constexpr std::size_t maxBlocks = 1000;
    /// Limits the requests of which entries are to tell. Those with the most crashes come first.
    constexpr std::size_t maxSuspects = 256;
}

bool request_blocks::addSuspectedCrash(const wire::crash_report& report, time_point now)
{
    auto at = now - milliseconds(report.age_ms());
    if (!m_crashTracker.recordCrash(report, at))
        return false;
    if (report.parts_size() > 0)
        m_parts.addCrash(report, at);
    refresh(now);
    return true;
}

void request_blocks::onReport(const wire::endpoint_report& report, time_point now)
{
    if (!hasCrashes())
        return;
    auto changesBefore = m_crashTracker.version() + m_parts.crashes().version();
    for (auto* tracker : { &m_crashTracker, &m_parts.crashes() }) {
        if (report.state() == wire::ENDPOINT_GONE)
            tracker->onShutdown(report.id());
        else
            tracker->onAnnounced(report.id(), report.born_ms(), now);
    }
    // Each of thousands of endpoints reports about once a second.
    if (m_crashTracker.version() + m_parts.crashes().version() != changesBefore)
        refresh(now);
}

void request_blocks::updateFromDirectory(const endpoint_directory& directory, time_point leaderSince, time_point now)
{
    auto suspected = m_crashTracker.suspectedEndpoints();
    for (const auto& [id, suspectedAt] : m_parts.crashes().suspectedEndpoints())
        suspected[id] = std::max(suspected[id], suspectedAt);
    for (const auto& [id, suspectedAt] : suspected) {
        const auto* row = directory.find(id);
        // ENDPOINT_GONE in a report removes the suspicion, so a suspected endpoint that is gone was replaced by another run.
        bool gone = !row || row->report().state() == wire::ENDPOINT_GONE;
        bool silent = row && row->silent() && now - std::max(suspectedAt, leaderSince) > m_settings.silentAfter;
        if (!gone && !silent)
            continue;
        m_crashTracker.onSilent(id);
        m_parts.crashes().onSilent(id);
    }
    m_crashTracker.expire(m_settings.crashLifetime, now);
    if (hasCrashes() || m_blocks.requests_size() > 0 || m_blocks.suspected_requests_size() > 0)
        refresh(now);
}

void request_blocks::adopt(const wire::blocked_requests& held, time_point now)
{
    for (const auto& block : held.requests()) {
        if (block.certain())
            m_certain.try_emplace(block.fingerprint(), now + m_settings.blockLifetime);
    }
    extend(held, now);
    refresh(now);
}

void request_blocks::extend(const wire::blocked_requests& held, time_point now)
{
    for (const auto& block : held.parts())
        m_parts.adopt(block, now);
}

void request_blocks::recordStatuses(std::uint64_t entry, const google::protobuf::RepeatedPtrField<wire::prompt_part_status>& statuses, time_point now)
{
    bool cleared = false;
    for (const auto& status : statuses)
        cleared = m_parts.recordStatus(entry, status, now) || cleared;
    // Hundreds of entries tell the same twice a second; what is decided for lack of successes can wait for the next update.
    if (cleared)
        refresh(now);
}

bool request_blocks::recordSuccesses(const google::protobuf::RepeatedPtrField<wire::request_success>& successes, time_point now)
{
    bool cleared = false;
    for (const auto& success : successes) {
        if (!m_crashTracker.recordSuccess(success.fingerprint(), now - milliseconds(success.begun_age_ms())))
            continue;
        m_certain.erase(success.fingerprint());
        cleared = true;
    }
    if (cleared)
        refresh(now);
    return cleared;
}

void request_blocks::setLeading(bool leading, time_point now)
{
    m_parts.setDeciding(leading);
    refresh(now);
}

void request_blocks::refresh(time_point now)
{
    auto counts = m_crashTracker.countsByFingerprint();
    for (const auto& [fingerprint, count] : counts) {
        if (count.blocksCertainly())
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
        if (count.blocks() && !m_certain.count(fingerprint))
            add(fingerprint, false);
    }
    std::vector<std::pair<std::uint32_t, std::uint64_t>> suspects;
    for (const auto& [fingerprint, count] : counts) {
        if (count.total() > 0)
            suspects.emplace_back(count.total(), fingerprint);
    }
    std::sort(suspects.begin(), suspects.end(), std::greater<>());
    suspects.resize(std::min(suspects.size(), maxSuspects));
    for (const auto& [crashes, fingerprint] : suspects)
        blocks.add_suspected_requests(fingerprint);
    m_parts.refresh(now);
    m_parts.fill(blocks);
    if (blocks.SerializeAsString() == m_blocks.SerializeAsString())
        return;
    m_blocks = std::move(blocks);
    ++m_version;
}

} // namespace pistachiolatch
