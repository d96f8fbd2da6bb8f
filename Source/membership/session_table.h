#pragma once
#include "membership/session_lease.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// The control leader's list of entries and schedulers with their leases. Lives in the leader's memory only:
/// a new leader counts every lease that its predecessor may have given as running until it has surely ended.
/// Not thread-safe.
class session_table {
public:
    /// Precondition: called when this replica becomes leader.
    explicit session_table(time_point leaderSince)
        : m_settledAt(leaderSince + entryLease + leaseMargin)
    {
    }

    struct session {
        wire::live_process process;
        std::uint64_t appliedRevision = 0;
        std::uint32_t maxSchemaVersion = 0;
        time_point expires {};
        /// When the live list first lacked it; the row stays for a while so that `status` can tell.
        bool expired = false;
    };

    /// Takes in a heartbeat and extends the lease. Returns false for an incarnation older than the one known.
    bool applyHeartbeat(const std::string& name, std::uint64_t incarnation, const std::string& address, const wire::session_heartbeat& beat, time_point now);
    /// Marks the sessions whose lease has run out; returns their names.
    std::vector<std::string> expire(time_point now);
    /// Whether no process can still act on an older revision: each live one has applied it, and leases given
    /// by an earlier leader have run out.
    bool isInForce(std::uint64_t revision, time_point now) const;
    /// Returns the processes that hold a lease and have not applied the revision, as "entry/NAME" or "scheduler/NAME"
    /// separated by commas.
    std::string processesBehind(std::uint64_t revision, time_point now) const;
    /// Whether leases of an earlier leader may still run.
    bool earlierLeasesExpired(time_point now) const { return now >= m_settledAt; }
    /// Whether that process may still act under a lease.
    bool mayAct(const std::string& name, std::uint64_t incarnation, time_point now) const;
    /// Whether that process is known to be alive.
    bool isLive(const std::string& name, std::uint64_t incarnation) const;
    /// The lowest schema version that all live processes decode, or the fallback when there are none.
    std::uint32_t commonSchemaVersion(std::uint32_t fallback) const;
    const std::map<std::string, session>& sessions() const { return m_sessions; }
    /// Grows whenever a process comes or goes.
    std::uint64_t liveVersion() const { return m_liveVersion; }
    std::vector<wire::live_process> liveProcesses() const;
    /// The key of a session: a VM runs an entry and a scheduler under one name.
    static std::string keyOf(const std::string& name, wire::process_kind kind);

private:
    time_point m_settledAt;
    std::map<std::string, session> m_sessions;
    std::uint64_t m_liveVersion = 1;
};

/// The lease that a kind of process gets.
milliseconds leaseDuration(wire::process_kind kind);

} // namespace pistachiolatch
