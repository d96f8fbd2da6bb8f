#pragma once
#include "session/session.h"
#include <functional>
#include <string>

namespace pistachiolatch {

/// Writes intents and outcomes of calls that may not be repeated to the replicated ledger. Control thread only.
class ledger_client {
public:
    ledger_client(control_loop& loop, control_session& session);

    /// Writes the intent. Asked again until a leader answers or the time is up; then the reply says unavailable,
    /// and the intent is taken back in case it was written all the same.
    void begin(wire::ledger_begin command, milliseconds timeout, std::function<void(wire::ledger_reply)> answer);
    /// Writes the outcome; sent again until a leader confirms it.
    void finish(wire::ledger_finish command);
    /// Outcomes not yet confirmed.
    std::size_t open() const { return m_open; }

private:
    void tryBegin(wire::ledger_begin command, time_point deadline, std::function<void(wire::ledger_reply)> answer);
    void tryFinish(wire::ledger_finish command, time_point deadline);
    void later(std::function<void()> work);

    struct delayed {
        time_point at;
        std::function<void()> work;
    };
    control_loop& m_loop;
    control_session& m_session;
    std::vector<delayed> m_delayed;
    std::size_t m_open = 0;

public:
    void tick(time_point now);
};

} // namespace pistachiolatch
