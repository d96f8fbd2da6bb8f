// Opening of a replica's files and recovery from storage failures.
#include "replication/document_replica.h"

namespace pistachiolatch {

void document_replica::openStorage()
{
    ++m_openAttempts;
    // The store holds a lock on the folder.
    m_host.reset();
    auto opened = openFiles();
    if (!opened) {
        logEvent("storage_unusable", { { "error", opened.error().message }, { "try", m_openAttempts }, { "unusable_ms", std::chrono::duration_cast<milliseconds>(m_clock.now() - m_storageUnusableSince).count() } });
        scheduleStorageRetry();
        return;
    }
    m_storageUsable = true;
    processEffects();
}

void document_replica::recordStorageUsable()
{
    m_openAttempts = 0;
    m_reopenAfterFailure = false;
    // If the files disappear while the process runs, the disk was lost; bootstrapping would create a second log.
    m_settings.bootstrap.firstStart = false;
    m_metrics.gauge("storage_usable", 1);
}

result<void> document_replica::openFiles()
{
    file_log_store store;
    BOOST_OUTCOME_TRY(auto start, openReplica(store, m_settings.folder, m_settings.bootstrap, m_reopenAfterFailure));
    if (start.tornBytes > 0)
        logEvent("log_end_repaired", { { "bytes", start.tornBytes } });
    logEvent("replica_opened", { { "incarnation", start.self.incarnation() }, { "first_start", m_settings.bootstrap.firstStart ? 1 : 0 }, { "entries", start.restored.entries.size() }, { "snapshot", start.restored.snapshot.index() }, { "try", m_openAttempts } });
    m_self = start.self;
    auto initialVoters = start.initialVoters;
    loadSnapshot(start.restored.snapshot);
    m_host.emplace(raft_core(m_self, raftSettings(), generateIncarnation(), std::move(start.restored), m_clock.now()), std::move(store), m_clock, effects());
    if (initialVoters.voters_size() > 0) {
        core().bootstrap(initialVoters);
        logEvent("log_founded", { { "voters", initialVoters.voters_size() } });
    }
    return ok();
}

void document_replica::onStorageFailure(const std::string& why)
{
    if (!m_storageUsable)
        return;
    logEvent("storage_failed", { { "error", why }, { "term", term() }, { "led", m_isLeader ? 1 : 0 } });
    m_metrics.count("storage_failed");
    m_metrics.gauge("storage_usable", 0);
    m_observedLeader = { core().role() == raft_role::Leader ? std::string() : leaderAddress(), term(), m_clock.now() };
    addPeers(peers());
    m_storageUsable = false;
    m_reopenAfterFailure = true;
    m_storageUnusableSince = m_clock.now();
    m_timer.cancel();
    m_timerDue = {};
    updateLeadership();
    failPending();
    scheduleStorageRetry();
}

void document_replica::scheduleStorageRetry()
{
    m_storageTimer.expires_after(storageReopenDelay);
    m_storageTimer.async_wait([this](boost::system::error_code error) {
        if (!error && !m_stopped)
            openStorage();
    });
}

void document_replica::recordLeader(const wire::raft_message& message)
{
    bool fromLeader = message.kind() == wire::RAFT_APPEND || message.kind() == wire::RAFT_SNAPSHOT || message.kind() == wire::RAFT_SNAPSHOT_PIECE;
    if (fromLeader && message.term() >= m_observedLeader.term)
        m_observedLeader = { message.from().address(), message.term(), m_clock.now() };
}

} // namespace pistachiolatch
