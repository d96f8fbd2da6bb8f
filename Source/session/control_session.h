#pragma once
#include "membership/membership.h"
#include "records/records.h"
#include "wire/wire.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Callbacks for updates received from control. Called on the control thread.
struct session_hooks {
    std::function<void(std::shared_ptr<const config_view>)> onConfig;
    std::function<void()> onShards;
    std::function<void()> onPoisonMarks;
    std::function<void()> onLiveProcesses;
};

/// A process's session with the control leader. Sends heartbeats, and receives the lease, the records in force, the shard
/// owners, the marks of requests that crash endpoints and the list of live processes.
/// Thread safety: the control thread, except for hasValidLease() and config().
class control_session {
public:
    control_session(control_loop& loop, const wire_settings& settings, wire::process_kind kind, const clock_source& clock, session_hooks hooks);

    /// Sends heartbeats when they are due.
    void tick(time_point now);
    /// Applies a grant from the leader.
    void onGrant(const wire::session_grant& grant);
    /// Ends the lease and notifies control that this process is stopping, so that nothing waits for the lease to expire.
    void leave();
    /// Calls the leader. The handler receives null if no leader replies in time.
    void callLeader(wire::envelope& message, milliseconds timeout, control_loop::reply_handler handler);
    /// Queues an event for the operators' event list; it is sent with the next heartbeats.
    void addEvent(std::string text);

    /// Whether the lease is valid, so that this process may act on its last grant. Thread safety: any thread.
    bool hasValidLease() const { return m_lease.isValid(m_clock.now()); }
    /// The configuration in force. Never null. Thread safety: any thread.
    std::shared_ptr<const config_view> config() const { return std::atomic_load(&m_config); }
    /// Returns the owner of a shard, or null.
    const wire::shard_owner* findOwner(const std::string& shard) const;
    const std::map<std::string, wire::shard_owner>& shards() const { return m_shards; }
    const std::vector<wire::poison_mark>& poisonMarks() const { return m_poisonMarks; }
    const std::vector<wire::live_process>& live() const { return m_live; }
    const process_identity& self() const { return m_self; }
    /// Whether a grant has been applied since the start.
    bool hasReceivedGrant() const { return m_hasReceivedGrant; }

private:
    void sendHeartbeat(time_point now);
    void selectNextControl();
    void applyRecords(const wire::session_grant& grant);

    control_loop& m_loop;
    const clock_source& m_clock;
    process_identity m_self;
    wire::process_kind m_kind;
    session_hooks m_hooks;
    std::vector<std::string> m_controls;
    std::string m_leader;
    std::size_t m_nextControlIndex = 0;
    session_lease m_lease;
    std::shared_ptr<const config_view> m_config;
    std::map<std::string, wire::shard_owner> m_shards;
    std::vector<wire::poison_mark> m_poisonMarks;
    std::vector<wire::live_process> m_live;
    std::uint64_t m_shardVersion = 0;
    std::uint64_t m_poisonVersion = 0;
    std::uint64_t m_liveVersion = 0;
    std::uint64_t m_leaderTerm = 0;
    bool m_hasReceivedGrant = false;
    bool m_leaving = false;
    time_point m_nextHeartbeat {};
    time_point m_lastGrant {};
    std::deque<wire::process_event> m_queuedEvents;
};

} // namespace pistachiolatch
