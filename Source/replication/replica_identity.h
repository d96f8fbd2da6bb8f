#pragma once
#include "consensus/consensus.h"
#include <string>
#include <vector>

namespace pistachiolatch {

/// How a replica of a fleet that founds itself begins.
struct replica_start {
    wire::replica_id self;
    raft_persistent_state restored;
    /// The voters to found a new log with; empty when this replica joins one or goes on with its own.
    wire::replica_set founders;
    std::uint64_t tornBytes = 0;
};

/// What is known of the fleet at the start of a process.
struct founding_facts {
    /// This replica's peer address.
    std::string ownAddress;
    /// The peer addresses of the replicas that found the log.
    std::vector<std::string> founders;
    /// Whether the operators say that the fleet starts for the first time. With a disk that was lost later it is false.
    bool firstStart = false;
};

/// The name of a replica's VM: the host part of its address.
std::string vmOfAddress(const std::string& address);

/// Opens the store and decides how the replica begins. The founders' identities follow from their addresses alone, so
/// that each derives the same first entry without a word from the others; a process killed in its first moments, whose
/// disk holds that identity and nothing else, may found again, since it has promised nothing yet. A replica with a log
/// never founds, nor does one with another identity: a lost disk would otherwise begin a second log.
/// afterFailure: whether a write or sync failed since the folder was last opened.
/// Errors: those of the store.
result<replica_start> openReplica(file_log_store& store, const std::string& folder, const founding_facts& facts, bool afterFailure = false);

} // namespace pistachiolatch
