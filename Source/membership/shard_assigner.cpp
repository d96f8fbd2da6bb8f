#include "membership/shard_assigner.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    struct candidate {
        wire::live_process process;
        std::size_t shards = 0;
    };

    std::vector<candidate> candidates(const std::map<std::string, wire::shard_owner>& current, const session_table& sessions, time_point now)
    {
        std::vector<candidate> list;
        for (const auto& process : sessions.liveProcesses()) {
            if (process.kind() != wire::PROCESS_SCHEDULER || !sessions.mayAct(process.name(), process.incarnation(), now))
                continue;
            candidate one { process, 0 };
            for (const auto& [name, owner] : current)
                one.shards += owner.scheduler() == process.name() && owner.incarnation() == process.incarnation() ? 1 : 0;
            list.push_back(std::move(one));
        }
        return list;
    }
}

std::vector<wire::shard_owner> assignShards(const std::vector<std::string>& wanted, const std::map<std::string, wire::shard_owner>& current,
    const session_table& sessions, time_point now)
{
    std::vector<wire::shard_owner> assigned;
    auto list = candidates(current, sessions, now);
    if (list.empty())
        return assigned;
    for (const auto& shard : wanted) {
        auto found = current.find(shard);
        if (found != current.end() && sessions.mayAct(found->second.scheduler(), found->second.incarnation(), now))
            continue;
        auto chosen = std::min_element(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.shards < b.shards; });
        ++chosen->shards;
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
