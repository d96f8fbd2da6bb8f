#include "entry/ledger_client.h"

namespace pistachiolatch {

namespace {
    constexpr milliseconds replyTimeout { 700 };
    constexpr milliseconds retryDelay { 100 };
    constexpr auto outcomeRetryTimeout = std::chrono::minutes(5);
}

ledger_client::ledger_client(control_loop& loop, control_session& session)
    : m_loop(loop)
    , m_session(session)
{
}

void ledger_client::recordIntent(wire::ledger_begin command, milliseconds timeout, std::function<void(wire::ledger_reply)> onReply)
{
    command.set_entry(m_session.self().name);
    command.set_entry_incarnation(m_session.self().incarnation);
    command.set_now_ms(wallClock().count());
    sendIntent(std::move(command), m_loop.now() + timeout, std::move(onReply));
}

void ledger_client::sendIntent(wire::ledger_begin command, time_point deadline, std::function<void(wire::ledger_reply)> onReply)
{
    wire::envelope message;
    *message.mutable_ledger_begin() = command;
    m_session.callLeader(message, replyTimeout, [this, command, deadline, onReply](const wire::envelope* reply) {
        if (reply && reply->has_ledger_reply() && !reply->ledger_reply().unavailable()) {
            onReply(reply->ledger_reply());
            return;
        }
        if (m_loop.now() < deadline) {
            scheduleRetry([this, command, deadline, onReply] { sendIntent(command, deadline, onReply); });
            return;
        }
        // The intent may have been recorded although no reply came. Nothing was sent and nothing will be, so the intent
        // is withdrawn; otherwise the caller's key would appear to belong to a call that never ends.
        wire::ledger_finish withdrawal;
        withdrawal.set_key(command.key());
        withdrawal.set_request_id(command.request_id());
        withdrawal.set_not_sent(true);
        recordOutcome(withdrawal);
        wire::ledger_reply unavailable;
        unavailable.set_unavailable(true);
        onReply(unavailable);
    });
}

void ledger_client::recordOutcome(wire::ledger_finish command)
{
    command.set_entry(m_session.self().name);
    command.set_entry_incarnation(m_session.self().incarnation);
    command.set_now_ms(wallClock().count());
    ++m_unconfirmedOutcomes;
    sendOutcome(std::move(command), m_loop.now() + outcomeRetryTimeout);
}

void ledger_client::sendOutcome(wire::ledger_finish command, time_point deadline)
{
    wire::envelope message;
    *message.mutable_ledger_finish() = command;
    m_session.callLeader(message, replyTimeout, [this, command, deadline](const wire::envelope* reply) {
        bool confirmed = reply && reply->has_ledger_reply() && !reply->ledger_reply().unavailable();
        if (confirmed || m_loop.now() >= deadline)
            --m_unconfirmedOutcomes;
        else
            scheduleRetry([this, command, deadline] { sendOutcome(command, deadline); });
    });
}

void ledger_client::scheduleRetry(std::function<void()> work)
{
    m_retries.push_back({ m_loop.now() + retryDelay, std::move(work) });
}

void ledger_client::tick(time_point now)
{
    std::vector<std::function<void()>> due;
    std::erase_if(m_retries, [&](scheduled_retry& retry) {
        if (retry.at > now)
            return false;
        due.push_back(std::move(retry.work));
        return true;
    });
    for (auto& work : due)
        work();
}
} // namespace pistachiolatch
