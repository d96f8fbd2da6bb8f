#include "coordination/prompt_part_client.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Successes with a popular part that is suspected are told no more often than this.
    constexpr milliseconds minTellInterval { 100 };
}

bool prompt_part_client::apply(const wire::blocked_requests& update, time_point now)
{
    std::map<std::vector<std::uint64_t>, part_block> blocks;
    for (const auto& block : update.parts()) {
        std::vector<std::uint64_t> parts(block.parts().begin(), block.parts().end());
        auto known = m_blocks.find(parts);
        blocks[std::move(parts)] = { block.certain(), known == m_blocks.end() ? now : known->second.usedAt };
    }
    m_blocks = std::move(blocks);
    std::vector<std::uint64_t> suspects(update.suspects().begin(), update.suspects().end());
    m_history.setSuspects(update.suspects());
    bool changed = suspects != m_suspects && !suspects.empty();
    m_suspects = std::move(suspects);
    return changed;
}

request_block prompt_part_client::blockOf(const std::vector<std::uint64_t>& parts, time_point now)
{
    auto worst = request_block::None;
    for (auto& [blocked, block] : m_blocks) {
        bool hasAll = std::all_of(blocked.begin(), blocked.end(), [&](auto part) { return std::find(parts.begin(), parts.end(), part) != parts.end(); });
        if (!hasAll)
            continue;
        block.usedAt = now;
        if (block.certain)
            return request_block::Certain;
        worst = request_block::Suspected;
    }
    return worst;
}

bool prompt_part_client::recordSuccess(const std::vector<std::uint64_t>& parts, time_point now)
{
    if (!m_history.recordSuccess(parts, now) || now - m_toldAt < minTellInterval)
        return false;
    m_toldAt = now;
    return true;
}

void prompt_part_client::fillHeld(wire::blocked_requests& held, time_point now) const
{
    for (const auto& [parts, block] : m_blocks) {
        if (!block.certain)
            continue;
        auto& one = *held.add_parts();
        one.mutable_parts()->Assign(parts.begin(), parts.end());
        one.set_certain(true);
        one.set_idle_ms(saturatingCast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(now - block.usedAt).count()));
    }
}

} // namespace pistachiolatch
