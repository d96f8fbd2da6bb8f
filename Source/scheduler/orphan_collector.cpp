#include "scheduler/orphan_collector.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// An entry without a current lease may still serve callers, so its requests are cancelled only after these delays;
    /// requests with an open connection get the longer one.
    constexpr milliseconds unattachedGracePeriod { 2000 };
    constexpr milliseconds attachedGracePeriod { 60000 };
}

task_of<void> orphan_collector::collect(collection_input input)
{
    // Skips this pass while an earlier one is still running.
    if (m_running)
        co_return;
    m_running = true;
    for (const auto& endpoint : input.endpoints)
        co_await collectFrom(endpoint, input);
    std::erase_if(m_missingSince, [&](const auto& item) { return input.now - item.second > attachedGracePeriod * 2; });
    m_running = false;
}

task_of<void> orphan_collector::collectFrom(const orphan_endpoint& endpoint, const collection_input& input)
{
    http_json_endpoint engine(endpoint.address, {});
    auto requests = co_await engine.listRequests();
    for (const auto& request : requests.items) {
        if (!isOrphaned(request, input))
            continue;
        bool freed = co_await engine.cancel(request.tag);
        m_metrics.count(freed ? "orphan_freed" : "orphan_cancel_failed");
        logEvent("orphan_cancelled", { { "endpoint", endpoint.id }, { "tag", request.tag }, { "freed", freed } });
    }
}

bool orphan_collector::isOrphaned(const endpoint_request& request, const collection_input& input)
{
    auto tag = request_tag::parse(request.tag);
    if (!tag)
        return false;
    auto sameVm = std::find_if(input.live.begin(), input.live.end(), [&](const auto& process) {
        return process.kind() == wire::PROCESS_ENTRY && process.name() == tag->entry;
    });
    auto missing = fmt::format("{}/{}", tag->entry, tag->incarnation);
    if (sameVm != input.live.end() && sameVm->incarnation() == tag->incarnation) {
        m_missingSince.erase(missing);
        return false;
    }
    // A newer incarnation on the same VM proves that the earlier process has ended.
    if (sameVm != input.live.end() && sameVm->incarnation() > tag->incarnation)
        return true;
    auto since = m_missingSince.try_emplace(missing, input.now).first->second;
    return input.now - since >= (request.attached ? attachedGracePeriod : unattachedGracePeriod);
}

} // namespace pistachiolatch
