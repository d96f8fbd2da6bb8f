#pragma once
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// The at-most-once ledger: stores the intent, recorded before the call is sent, and the answer of each idempotency key.
/// Part of the replicated state machine; deterministic. Not thread-safe.
class ledger {
public:
    /// Records the intent to run a call. Each key is granted to one request only. That request is granted again if it
    /// resends its intent after a lost reply, since only it can send the call and sends it once.
    wire::ledger_reply begin(const wire::ledger_begin& command);
    /// Records the outcome of a call: an answer, not sent, or unknown.
    wire::ledger_reply finish(const wire::ledger_finish& command);
    /// Removes calls begun before `beforeMillis` and stored answers of calls begun before `answersBeforeMillis`, in
    /// milliseconds since the epoch. Keys are kept longer than answers, so that a late resend is not run a second time.
    void expire(std::int64_t beforeMillis, std::int64_t answersBeforeMillis);

    void save(wire::control_image& image) const;
    void load(const wire::control_image& image);
    std::size_t size() const { return m_entries.size(); }

private:
    std::map<std::string, wire::ledger_entry> m_entries;
};

} // namespace pistachiolatch
