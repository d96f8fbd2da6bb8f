// The part of a replica that opens its files, and opens them anew after they failed.
#include "replication/document_replica.h"

namespace pistachiolatch {

void document_replica::openStorage()
{
    ++m_openTries;
    // The store holds a lock on the folder.
    m_host.reset();
    auto opened = openFiles();
    if (!opened) {
        logEvent("storage_unusable", { { "error", opened.error().message }, { "try", m_openTries }, { "unusable_ms", std::chrono::duration_cast<milliseconds>(m_clock.now() - m_unusableSince).count() } });
        retryStorage();
        return;
    }
    m_usable = true;
    settle();
    if (!m_usable)
        return;
    m_openTries = 0;
    m_unsynced = false;
    // Files that vanish under a running process are a lost disk and no reason to begin a second log.
    m_home.facts.firstStart = false;
    m_metrics.gauge("storage_usable", 1);
}

result<void> document_replica::openFiles()
{
    file_log_store store;
    BOOST_OUTCOME_TRY(auto start, openReplica(store, m_home.folder, m_home.facts, m_unsynced));
    if (start.tornBytes > 0)
        logEvent("log_end_repaired", { { "bytes", start.tornBytes } });
    logEvent("replica_opened", { { "incarnation", start.self.incarnation() }, { "first_start", m_home.facts.firstStart ? 1 : 0 }, { "entries", start.restored.entries.size() }, { "snapshot", start.restored.snapshot.index() }, { "try", m_openTries } });
    m_self = start.self;
    auto founders = start.founders;
    load(start.restored.snapshot);
    m_host.emplace(raft_core(m_self, electionSettings(), generateIncarnation(), std::move(start.restored), m_clock.now()), std::move(store), effects());
    if (founders.voters_size() > 0) {
        core().found(founders);
        logEvent("log_founded", { { "voters", founders.voters_size() } });
    }
    return ok();
}

void document_replica::onStorageFailure(const std::string& why)
{
    if (!m_usable)
        return;
    logEvent("storage_failed", { { "error", why }, { "term", term() }, { "led", m_leads ? 1 : 0 } });
    m_metrics.count("storage_failed");
    m_metrics.gauge("storage_usable", 0);
    m_heard = { core().role() == raft_role::Leader ? std::string() : leaderAddress(), term(), m_clock.now() };
    learnPeers(peers());
    m_usable = false;
    m_unsynced = true;
    m_unusableSince = m_clock.now();
    m_timer.cancel();
    m_armedFor = {};
    followLeadership();
    failPending();
    retryStorage();
}

void document_replica::retryStorage()
{
    m_storageTimer.expires_after(reopenPause);
    m_storageTimer.async_wait([this](boost::system::error_code error) {
        if (!error && !m_stopped)
            openStorage();
    });
}

void document_replica::noteLeader(const wire::raft_message& message)
{
    bool fromLeader = message.kind() == wire::RAFT_APPEND || message.kind() == wire::RAFT_SNAPSHOT || message.kind() == wire::RAFT_SNAPSHOT_PIECE;
    if (fromLeader && message.term() >= m_heard.term)
        m_heard = { message.from().address(), message.term(), m_clock.now() };
}

} // namespace pistachiolatch
