#pragma once
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// The at-most-once ledger: for each idempotency key the intent, written before the call is sent, and the answer.
/// Part of the replicated state machine; deterministic. Not thread-safe.
class ledger {
public:
    /// Records the intent to run a call. Granted only once for a key; the same request asking again (its answer
    /// was lost) is granted again, since only it can send the call, and it sends it once.
    wire::ledger_reply begin(const wire::ledger_begin& command);
    /// Records the outcome: an answer, "never sent" or "unknown".
    wire::ledger_reply finish(const wire::ledger_finish& command);
    /// Forgets calls begun before one time and the stored answers of those begun before another, in milliseconds since
    /// the epoch. A key outlives its answer: a resend that comes late is still never run a second time.
    void expire(std::int64_t beforeMillis, std::int64_t answersBeforeMillis);

    void save(wire::control_image& image) const;
    void load(const wire::control_image& image);
    std::size_t size() const { return m_entries.size(); }

private:
    std::map<std::string, wire::ledger_entry> m_entries;
};

} // namespace pistachiolatch
