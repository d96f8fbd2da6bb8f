#include "entry/entry_node.h"

namespace pistachiolatch {

entry_node::entry_node(control_loop& loop, const wire_settings& settings, const clock_source& clock, metrics& counters, milliseconds limitTimeout)
    : m_loop(loop)
    , m_session(loop, settings, wire::PROCESS_ENTRY, clock,
          { {}, [this] {
               m_limits.handleOwnerChanges();
               m_announcements.handleOwnerChanges();
               m_placements.handleOwnerChanges(); },
              [this] { std::atomic_store(&m_poison, std::make_shared<const poison_list>(m_session.poisonMarks())); }, {} })
    , m_limits(loop, m_session, limitTimeout)
    , m_placements(loop, m_session, counters)
    , m_announcements(loop, m_session)
    , m_ledger(loop, m_session)
{
}

void entry_node::handleMessage(const wire::envelope& message)
{
    if (message.has_grant()) {
        m_session.onGrant(message.grant());
        return;
    }
    if (!message.has_explain())
        return;
    wire::envelope envelope;
    auto* reply = envelope.mutable_explain_reply();
    for (auto& line : m_journal.lines(message.explain().request_id()))
        reply->add_lines(std::move(line));
    m_loop.wire().reply(message, envelope);
}

void entry_node::tick()
{
    auto now = m_loop.now();
    m_session.tick(now);
    m_limits.tick(now);
    m_placements.tick(now);
    m_announcements.tick(now);
    m_ledger.tick(now);
}

void entry_node::leave()
{
    m_limits.refundUnused();
    m_session.leave();
}

} // namespace pistachiolatch
