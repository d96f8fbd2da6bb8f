#include "replication/replica_identity.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// The identity that every founder has; fresh identities hold a time and are far larger.
    constexpr std::uint64_t founderIncarnation = 1;

    wire::replica_id founderAt(const std::string& address)
    {
        wire::replica_id id;
        id.set_vm(vmOfAddress(address));
        id.set_incarnation(founderIncarnation);
        id.set_address(address);
        return id;
    }
}

std::string vmOfAddress(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

result<replica_start> openReplica(file_log_store& store, const std::string& folder, const founding_facts& facts, bool afterFailure)
{
    bool isFounder = std::find(facts.founders.begin(), facts.founders.end(), facts.ownAddress) != facts.founders.end();
    bool mayFound = facts.firstStart && isFounder;
    auto identity = mayFound ? std::optional(founderIncarnation) : std::nullopt;
    BOOST_OUTCOME_TRY(auto stored, afterFailure ? store.openAfterFailure(folder, identity) : store.open(folder, identity));
    replica_start start;
    start.self.set_vm(vmOfAddress(facts.ownAddress));
    start.self.set_incarnation(stored.incarnation);
    start.self.set_address(facts.ownAddress);
    start.tornBytes = stored.tornBytes;
    bool empty = stored.restored.entries.empty() && stored.restored.snapshot.index() == 0 && stored.restored.hardState.voted_for_vm().empty();
    if (mayFound && empty && stored.incarnation == founderIncarnation) {
        auto founders = facts.founders;
        std::sort(founders.begin(), founders.end());
        for (const auto& address : founders)
            *start.founders.add_voters() = founderAt(address);
    }
    start.restored = std::move(stored.restored);
    return start;
}

} // namespace pistachiolatch
