#pragma once
#include "session/session.h"
#include <functional>
#include <string>

namespace pistachiolatch {

/// Records the intents and outcomes of non-idempotent calls in the replicated ledger. Control thread only.
class ledger_client {
public:
    ledger_client(control_loop& loop, control_session& session);

    /// Records an intent. Retries until a leader replies. At the timeout the reply is `unavailable`, and the intent is
    /// withdrawn in case it was recorded after all.
    void recordIntent(wire::ledger_begin command, milliseconds timeout, std::function<void(wire::ledger_reply)> onReply);
    /// Records an outcome. Retries for some minutes until a leader confirms it.
    void recordOutcome(wire::ledger_finish command);
    /// The number of outcomes not yet confirmed.
    std::size_t unconfirmedOutcomes() const { return m_unconfirmedOutcomes; }

private:
    void sendIntent(wire::ledger_begin command, time_point deadline, std::function<void(wire::ledger_reply)> onReply);
    void sendOutcome(wire::ledger_finish command, time_point deadline);
    void scheduleRetry(std::function<void()> work);

    struct scheduled_retry {
        time_point at;
        std::function<void()> work;
    };
    control_loop& m_loop;
    control_session& m_session;
    std::vector<scheduled_retry> m_retries;
    std::size_t m_unconfirmedOutcomes = 0;

public:
    void tick(time_point now);
};

} // namespace pistachiolatch
