#pragma once
#include "consensus/consensus.h"
#include <string>
#include <vector>

namespace pistachiolatch {

/// The state with which a replica starts.
struct replica_start {
    wire::replica_id self;
    raft_persistent_state restored;
    /// The voters to bootstrap a new log with; empty if this replica joins a log or has one.
    wire::replica_set initialVoters;
    std::uint64_t tornBytes = 0;
};

struct bootstrap_settings {
    /// This replica's peer address.
    std::string ownAddress;
    /// Peer addresses of the replicas that bootstrap the log.
    std::vector<std::string> initialVoters;
    /// Whether the operators state that the fleet starts for the first time. Must be false after a disk was lost.
    bool firstStart = false;
};

/// Returns the VM's name, the host part of a peer address.
std::string vmOfAddress(const std::string& address);

/// Opens the store and decides whether the replica bootstraps a new log. The initial voters' identities follow from their
/// addresses alone, so that all of them create the same first entry without communicating. A process that is killed early,
/// with only that identity on disk, may bootstrap again, since it has not voted yet. A replica with a log or another identity
/// never bootstraps: after a lost disk that would create a second log.
/// afterFailure: whether a write or sync failed since the folder was last opened.
/// Errors: those of the store.
result<replica_start> openReplica(file_log_store& store, const std::string& folder, const bootstrap_settings& bootstrap, bool afterFailure = false);

} // namespace pistachiolatch
