#include "scheduler/orphan_collector.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// An entry that control has not heard for a while may still serve a caller. Its unattached leftovers are
    /// freed after this; what still has a connection to it gets longer.
    constexpr milliseconds unattachedGrace { 2000 };
    constexpr milliseconds attachedGrace { 60000 };
}

task_of<void> orphan_collector::run(sweep given)
{
    // A sweep that is slower than the interval is not overtaken by the next.
    if (m_running)
        co_return;
    m_running = true;
    for (const auto& endpoint : given.endpoints)
        co_await runOne(endpoint, given);
    std::erase_if(m_missingSince, [&](const auto& item) { return given.now - item.second > attachedGrace * 2; });
    m_running = false;
}

task_of<void> orphan_collector::runOne(const orphan_endpoint& endpoint, const sweep& given)
{
    http_json_endpoint engine(endpoint.address, {});
    auto held = co_await engine.held();
    for (const auto& item : held.items) {
        if (!orphaned(item, given))
            continue;
        bool freed = co_await engine.cancel(item.tag);
        m_metrics.count(freed ? "orphan_freed" : "orphan_cancel_failed");
        logEvent("orphan_cancelled", { { "endpoint", endpoint.id }, { "tag", item.tag }, { "freed", freed } });
    }
}

bool orphan_collector::orphaned(const held_item& item, const sweep& given)
{
    auto tag = request_tag::parse(item.tag);
    if (!tag)
        return false;
    auto sameVm = std::find_if(given.live.begin(), given.live.end(), [&](const auto& process) {
        return process.kind() == wire::PROCESS_ENTRY && process.name() == tag->entry;
    });
    auto missing = fmt::format("{}/{}", tag->entry, tag->incarnation);
    if (sameVm != given.live.end() && sameVm->incarnation() == tag->incarnation) {
        m_missingSince.erase(missing);
        return false;
    }
    // A newer incarnation on the VM proves that the earlier process has ended.
    if (sameVm != given.live.end() && sameVm->incarnation() > tag->incarnation)
        return true;
    auto since = m_missingSince.try_emplace(missing, given.now).first->second;
    return given.now - since >= (item.attached ? attachedGrace : unattachedGrace);
}

} // namespace pistachiolatch
