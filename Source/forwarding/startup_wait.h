#pragma once
#include "kernel/kernel.h"
#include <optional>

namespace pistachiolatch {

/// Decides how long a call waits at an entry that has just started until the entry has a configuration. Load pattern: after
/// all VMs lost power, entries accept calls some tenths of a second before a leader is elected. Callers come at once, and many
/// of them have used up their attempts on VMs without power. A refusal would end these calls, or send them to an entry that
/// knows no more, while the configuration arrives within most callers' latency targets.
/// An entry that had a configuration and lost its leader refuses at once, since nothing tells when it will be back.
/// Pure; not thread-safe.
class startup_wait {
public:
    /// Electing a leader takes less than this from the start of the control processes, which start with the entries.
    static constexpr milliseconds startupTime { 2500 };
    /// Longest wait of a call. Callers with long deadlines are rather refused with a time to come back.
    static constexpr milliseconds maxWait { 1200 };
    /// Calls that wait at a time; each holds its request in memory.
    static constexpr std::size_t maxWaiting = 256;
    /// Part of the caller's deadline that the wait may use, as a divisor. The rest is for the call itself.
    static constexpr int deadlineDivisor = 3;

    explicit startup_wait(time_point startedAt)
        : m_startedAt(startedAt)
    {
    }

    /// How long a call that arrived now may wait; zero if it is to be refused at once. The deadline is that of the caller, if
    /// it states one.
    milliseconds timeFor(std::optional<milliseconds> deadline, time_point now) const;
    void recordWaiting() { ++m_waiting; }
    void recordResumed() { --m_waiting; }

private:
    time_point m_startedAt;
    std::size_t m_waiting = 0;
};

} // namespace pistachiolatch
