#pragma once
#include "entry/announcement_relay.h"
#include "entry/ledger_client.h"
#include "entry/limit_client.h"
#include "entry/placement_client.h"
#include "entry/request_journal.h"
#include "scheduling/scheduling.h"

namespace pistachiolatch {

/// The control side of an entry: the session with control and the clients of schedulers, limits and the ledger.
/// Thread safety: control thread only, except for ready(), config(), isPoison() and journal().
class entry_node {
public:
    entry_node(control_loop& loop, const wire_settings& settings, const clock_source& clock, metrics& counters, milliseconds limitTimeout);

    void handleMessage(const wire::envelope& message);
    void tick();
    /// Returns unused granted tokens and tells control that this process stops.
    void leave();

    /// Whether new requests may be accepted. Thread safety: any thread.
    bool ready() const { return m_session.hasValidLease(); }
    std::shared_ptr<const config_view> config() const { return m_session.config(); }
    /// Whether control has recorded enough crashes for this request to block it. Thread safety: any thread.
    bool isPoison(std::uint64_t fingerprint) const { return std::atomic_load(&m_poison)->contains(fingerprint); }
    const process_identity& self() const { return m_session.self(); }
    request_journal& journal() { return m_journal; }

    limit_client& limits() { return m_limits; }
    placement_client& placements() { return m_placements; }
    announcement_relay& announcements() { return m_announcements; }
    ledger_client& ledger() { return m_ledger; }

private:
    control_loop& m_loop;
    control_session m_session;
    limit_client m_limits;
    placement_client m_placements;
    announcement_relay m_announcements;
    ledger_client m_ledger;
    request_journal m_journal;
    std::shared_ptr<const poison_list> m_poison = std::make_shared<const poison_list>();
};

} // namespace pistachiolatch
