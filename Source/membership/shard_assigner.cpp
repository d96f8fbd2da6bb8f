#include "membership/shard_assigner.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    struct candidate {
        wire::live_process process;
        std::size_t ownedShards = 0;
    };

    std::vector<candidate> findCandidates(const std::map<std::string, wire::shard_owner>& current, const session_table& sessions, time_point now)
    {
        std::vector<candidate> candidates;
        for (const auto& process : sessions.liveProcesses()) {
            if (process.kind() != wire::PROCESS_SCHEDULER || !sessions.mayOwnShards(process.name(), process.incarnation(), now))
                continue;
            candidate scheduler { process, 0 };
            for (const auto& [name, owner] : current)
                scheduler.ownedShards += owner.scheduler() == process.name() && owner.incarnation() == process.incarnation() ? 1 : 0;
            candidates.push_back(std::move(scheduler));
        }
        return candidates;
    }
}

std::vector<wire::shard_owner> assignShards(const std::vector<std::string>& shards, const std::map<std::string, wire::shard_owner>& current,
    const session_table& sessions, time_point now)
{
    std::vector<wire::shard_owner> assigned;
    auto candidates = findCandidates(current, sessions, now);
    if (candidates.empty())
        return assigned;
    for (const auto& shard : shards) {
        auto found = current.find(shard);
        if (found != current.end() && sessions.mayOwnShards(found->second.scheduler(), found->second.incarnation(), now))
            continue;
        auto chosen = std::min_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.ownedShards < b.ownedShards; });
        ++chosen->ownedShards;
        wire::shard_owner owner;
        owner.set_shard(shard);
        owner.set_scheduler(chosen->process.name());
        owner.set_address(chosen->process.address());
        owner.set_incarnation(chosen->process.incarnation());
        assigned.push_back(std::move(owner));
    }
    return assigned;
}

} // namespace pistachiolatch
