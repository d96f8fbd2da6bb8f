#pragma once
#include "kernel/kernel.h"
#include <deque>
#include <map>
#include <optional>

namespace pistachiolatch {

/// Decides which reader is sent its next piece. Bounds the pieces in flight to all readers together by what the leader's
/// own link carries without queueing: with one piece in flight to each of sixty readers, heartbeats, plans and limits would
/// queue behind a megabyte, and followers would elect another leader.
/// The window adapts to the observed round trips, so it fits links of any speed. Not thread-safe.
template <typename Reader>
class transfer_pacer {
public:
    /// Queues a reader's request for a piece. It also acknowledges the piece sent before, if any.
    void request(const Reader& reader, time_point now)
    {
        onAcknowledged(reader, now);
        for (const auto& waiting : m_waiting) {
            if (waiting == reader)
                return;
        }
        m_waiting.push_back(reader);
    }

    /// Acknowledges a reader's last piece.
    void finish(const Reader& reader, time_point now)
    {
        onAcknowledged(reader, now);
        std::erase(m_waiting, reader);
    }

    void remove(const Reader& reader)
    {
        m_inFlight.erase(reader);
        std::erase(m_waiting, reader);
    }

    void clear()
    {
        m_inFlight.clear();
        m_waiting.clear();
    }

    /// Takes the next reader to send a piece to, first come first served; nothing while the window is full.
    std::optional<Reader> next(time_point now)
    {
        std::erase_if(m_inFlight, [&](const auto& one) { return now - one.second > lossTimeout; });
        if (m_waiting.empty() || m_inFlight.size() >= m_window)
            return std::nullopt;
        auto reader = m_waiting.front();
        m_waiting.pop_front();
        m_inFlight[reader] = now;
        return reader;
    }

    /// When to call next() again without a request; time_point::max() if no reader waits.
    time_point nextPollAt(time_point now) const { return m_waiting.empty() ? time_point::max() : now + pollInterval; }

private:
    /// A piece without an acknowledgement for this long is lost, or its reader is gone.
    static constexpr milliseconds lossTimeout { 1000 };
    static constexpr milliseconds pollInterval { 100 };
    /// A round trip this much longer than the fastest one shows queueing. Far below the shortest election timeout of
    /// followers.
    static constexpr milliseconds queueingDelay { 60 };
    static constexpr std::size_t minWindow = 2;
    static constexpr std::size_t maxWindow = 64;

    void onAcknowledged(const Reader& reader, time_point now)
    {
        auto found = m_inFlight.find(reader);
        if (found == m_inFlight.end())
            return;
        auto roundTrip = now - found->second;
        m_inFlight.erase(found);
        m_minRoundTrip = std::min(m_minRoundTrip, roundTrip);
        if (roundTrip <= m_minRoundTrip + queueingDelay) {
            m_window = std::min(m_window + 1, maxWindow);
        } else if (now - m_shrunkAt > roundTrip) {
            // Once per round trip: the pieces behind the first slow one were in the same queue.
            m_window = std::max(m_window / 2, minWindow);
            m_shrunkAt = now;
        }
    }

    std::size_t m_window = 8;
    duration m_minRoundTrip = duration::max() / 2;
    time_point m_shrunkAt {};
    /// Send times of the pieces in flight.
    std::map<Reader, time_point> m_inFlight;
    std::deque<Reader> m_waiting;
};

} // namespace pistachiolatch
