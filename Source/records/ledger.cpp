#include "records/ledger.h"

namespace pistachiolatch {

wire::ledger_reply ledger::begin(const wire::ledger_begin& command)
{
    wire::ledger_reply reply;
    auto& entry = m_entries[command.key()];
    bool sameRequest = entry.request_id() == command.request_id();
    if (entry.state() == wire::LEDGER_NONE && sameRequest && !entry.request_id().empty()) {
        // The request was recorded as not sent before its delayed intent was committed. Granting it now would leave the
        // key running for ever, since nothing would finish it.
        reply.set_unavailable(true);
        return reply;
    }
    if (entry.state() == wire::LEDGER_NONE) {
        entry.set_key(command.key());
        entry.set_digest(command.digest());
        entry.set_entry(command.entry());
        entry.set_entry_incarnation(command.entry_incarnation());
        entry.set_request_id(command.request_id());
        entry.set_begun_ms(command.now_ms());
        entry.set_state(wire::LEDGER_RUNNING);
        reply.set_granted(true);
        reply.set_state(wire::LEDGER_RUNNING);
        return reply;
    }
    reply.set_reused(entry.digest() != command.digest());
    reply.set_granted(entry.state() == wire::LEDGER_RUNNING && sameRequest);
    reply.set_state(entry.state());
    reply.set_owner(entry.entry());
    reply.set_owner_incarnation(entry.entry_incarnation());
    if (entry.state() == wire::LEDGER_DONE && !reply.reused())
        *reply.mutable_answer() = entry.answer();
    return reply;
}

wire::ledger_reply ledger::finish(const wire::ledger_finish& command)
{
    wire::ledger_reply reply;
    auto& entry = m_entries[command.key()];
    bool known = !entry.request_id().empty();
    if (known && entry.request_id() != command.request_id()) {
        reply.set_state(entry.state());
        return reply;
    }
    if (!known) {
        entry.set_key(command.key());
        entry.set_request_id(command.request_id());
        entry.set_begun_ms(command.now_ms());
    }
    if (command.not_sent() && entry.state() != wire::LEDGER_DONE)
        entry.set_state(wire::LEDGER_NONE);
    else if (command.unknown() && entry.state() != wire::LEDGER_DONE)
        entry.set_state(wire::LEDGER_UNKNOWN);
    else if (command.has_answer()) {
        entry.set_state(wire::LEDGER_DONE);
        *entry.mutable_answer() = command.answer();
    }
    reply.set_state(entry.state());
    return reply;
}

void ledger::expire(std::int64_t beforeMillis, std::int64_t answersBeforeMillis)
{
    std::erase_if(m_entries, [&](const auto& item) { return item.second.begun_ms() < beforeMillis; });
    for (auto& [key, entry] : m_entries) {
        if (entry.begun_ms() >= answersBeforeMillis || entry.state() != wire::LEDGER_DONE)
            continue;
        entry.mutable_answer()->clear_body();
        entry.mutable_answer()->set_truncated(true);
    }
}

void ledger::save(wire::control_image& image) const
{
    for (const auto& [key, entry] : m_entries)
        *image.add_ledger() = entry;
}

void ledger::load(const wire::control_image& image)
{
    m_entries.clear();
    for (const auto& entry : image.ledger())
        m_entries[entry.key()] = entry;
}

} // namespace pistachiolatch
