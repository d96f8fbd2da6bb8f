#include "entry/ledger_client.h"

namespace pistachiolatch {

namespace {
    constexpr milliseconds tryTimeout { 700 };
    constexpr milliseconds pause { 100 };
    constexpr auto finishFor = std::chrono::minutes(5);
}

ledger_client::ledger_client(control_loop& loop, control_session& session)
    : m_loop(loop)
    , m_session(session)
{
}

void ledger_client::begin(wire::ledger_begin command, milliseconds timeout, std::function<void(wire::ledger_reply)> answer)
{
    command.set_entry(m_session.self().name);
    command.set_entry_incarnation(m_session.self().incarnation);
    command.set_now_ms(wallClock().count());
    tryBegin(std::move(command), m_loop.now() + timeout, std::move(answer));
}

void ledger_client::tryBegin(wire::ledger_begin command, time_point deadline, std::function<void(wire::ledger_reply)> answer)
{
    wire::envelope message;
    *message.mutable_ledger_begin() = command;
    m_session.callLeader(message, tryTimeout, [this, command, deadline, answer](const wire::envelope* reply) {
        if (reply && reply->has_ledger_reply() && !reply->ledger_reply().unavailable()) {
            answer(reply->ledger_reply());
            return;
        }
        if (m_loop.now() < deadline) {
            later([this, command, deadline, answer] { tryBegin(command, deadline, answer); });
            return;
        }
        // The intent may have been written though no answer came. Nothing was sent and nothing will be, so it is
        // taken back; otherwise the caller's key would look like a call that runs for ever.
        wire::ledger_finish takeBack;
        takeBack.set_key(command.key());
        takeBack.set_request_id(command.request_id());
        takeBack.set_not_sent(true);
        finish(takeBack);
        wire::ledger_reply unavailable;
        unavailable.set_unavailable(true);
        answer(unavailable);
    });
}

void ledger_client::finish(wire::ledger_finish command)
{
    command.set_entry(m_session.self().name);
    command.set_entry_incarnation(m_session.self().incarnation);
    command.set_now_ms(wallClock().count());
    ++m_open;
    tryFinish(std::move(command), m_loop.now() + finishFor);
}

void ledger_client::tryFinish(wire::ledger_finish command, time_point deadline)
{
    wire::envelope message;
    *message.mutable_ledger_finish() = command;
    m_session.callLeader(message, tryTimeout, [this, command, deadline](const wire::envelope* reply) {
        bool confirmed = reply && reply->has_ledger_reply() && !reply->ledger_reply().unavailable();
        if (confirmed || m_loop.now() >= deadline)
            --m_open;
        else
            later([this, command, deadline] { tryFinish(command, deadline); });
    });
}

void ledger_client::later(std::function<void()> work)
{
    m_delayed.push_back({ m_loop.now() + pause, std::move(work) });
}

void ledger_client::tick(time_point now)
{
    std::vector<std::function<void()>> due;
    std::erase_if(m_delayed, [&](delayed& one) {
        if (one.at > now)
            return false;
        due.push_back(std::move(one.work));
        return true;
    });
    for (auto& work : due)
        work();
}
} // namespace pistachiolatch
