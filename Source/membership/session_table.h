#pragma once
#include "membership/session_lease.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// The control leader's table of entries and schedulers with their leases. It is kept in memory only: a new leader
/// assumes that leases granted by its predecessor are in force until the longest of them must have expired.
/// Not thread-safe.
class session_table {
public:
    /// Precondition: called when this replica becomes leader.
    explicit session_table(time_point leaderSince)
        : m_earlierLeasesExpireAt(leaderSince + entryLease + leaseMargin)
    {
    }

    struct session {
        wire::live_process process;
        std::uint64_t appliedRevision = 0;
        std::uint32_t maxSchemaVersion = 0;
        time_point expiresAt {};
        /// Whether the lease has expired; the row is kept so that `status` can report it.
        bool expired = false;
    };

    /// Applies a heartbeat and extends the lease. Returns false if a newer incarnation is known.
    bool applyHeartbeat(const std::string& name, std::uint64_t incarnation, const std::string& address, const wire::session_heartbeat& heartbeat, time_point now);
    /// Marks the sessions whose lease has expired and returns their keys.
    std::vector<std::string> expire(time_point now);
    /// Whether no process can still act on an older revision: every process with a lease has applied this one, and
    /// leases granted by earlier leaders have expired.
    bool isInForce(std::uint64_t revision, time_point now) const;
    /// Returns the keys of processes that hold a lease and have not applied the revision, separated by commas.
    std::string processesBehind(std::uint64_t revision, time_point now) const;
    /// Whether all leases granted by earlier leaders have expired.
    bool earlierLeasesExpired(time_point now) const { return now >= m_earlierLeasesExpireAt; }
    /// Whether that scheduler may still act as an owner under a lease; false if it is leaving.
    bool mayOwnShards(const std::string& name, std::uint64_t incarnation, time_point now) const;
    /// Whether that process has an unexpired session.
    bool isLive(const std::string& name, std::uint64_t incarnation) const;
    /// The newest schema version that all live processes can decode, at most `newest`.
    std::uint32_t commonSchemaVersion(std::uint32_t newest) const;
    const std::map<std::string, session>& sessions() const { return m_sessions; }
    /// Incremented whenever a live process is added, changed or removed.
    std::uint64_t liveVersion() const { return m_liveVersion; }
    std::vector<wire::live_process> liveProcesses() const;
    /// The key of a session, "entry/NAME" or "scheduler/NAME". It includes the kind because the entry and the scheduler
    /// of a VM share its name.
    static std::string sessionKey(const std::string& name, wire::process_kind kind);

private:
    time_point m_earlierLeasesExpireAt;
    std::map<std::string, session> m_sessions;
    std::uint64_t m_liveVersion = 1;
};

/// Duration of the lease granted to a kind of process.
milliseconds leaseDuration(wire::process_kind kind);

} // namespace pistachiolatch
