#include "replication/replica_identity.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Incarnation of all initial voters. Others are derived from the time and far larger.
    constexpr std::uint64_t initialVoterIncarnation = 1;

    wire::replica_id initialVoterAt(const std::string& address)
    {
        wire::replica_id id;
        id.set_vm(vmOfAddress(address));
        id.set_incarnation(initialVoterIncarnation);
        id.set_address(address);
        return id;
    }
}

std::string vmOfAddress(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

result<replica_start> openReplica(file_log_store& store, const std::string& folder, const bootstrap_settings& bootstrap, bool afterFailure)
{
    bool isInitialVoter = std::find(bootstrap.initialVoters.begin(), bootstrap.initialVoters.end(), bootstrap.ownAddress) != bootstrap.initialVoters.end();
    bool mayBootstrap = bootstrap.firstStart && isInitialVoter;
    auto identity = mayBootstrap ? std::optional(initialVoterIncarnation) : std::nullopt;
    BOOST_OUTCOME_TRY(auto stored, afterFailure ? store.openAfterFailure(folder, identity) : store.open(folder, identity));
    replica_start start;
    start.self.set_vm(vmOfAddress(bootstrap.ownAddress));
    start.self.set_incarnation(stored.incarnation);
    start.self.set_address(bootstrap.ownAddress);
    start.tornBytes = stored.tornBytes;
    bool isEmpty = stored.restored.entries.empty() && stored.restored.snapshot.index() == 0 && stored.restored.hardState.voted_for_vm().empty();
    if (mayBootstrap && isEmpty && stored.incarnation == initialVoterIncarnation) {
        auto initialVoters = bootstrap.initialVoters;
        std::sort(initialVoters.begin(), initialVoters.end());
        for (const auto& address : initialVoters)
            *start.initialVoters.add_voters() = initialVoterAt(address);
    }
    start.restored = std::move(stored.restored);
    return start;
}

} // namespace pistachiolatch
