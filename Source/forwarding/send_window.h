#pragma once
#include "coordination/coordination.h"
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>

namespace pistachiolatch {

/// Bounds the bytes of requests that this entry has on its own link at a time. Load pattern: a crowded entry gets more prompts
/// than its link carries. If it sent them as they come, everything else would wait behind them in the link's queue, also
/// the messages to and from the leader, which would seem to be gone.
/// How much the link carries is learnt: a probe that is sent behind the requests arrives once they have left, and its
/// delay tells how long the queue is. Requests that find no room wait here, in order; short ones pass.
/// Used on the context's thread.
class send_window {
public:
    /// Sends a small message to another process and calls the handler with how long it took, or nothing if that is not known.
    using probe = std::function<void(std::function<void(std::optional<path_sample>)>)>;

    /// Precondition: the references outlive the window.
    send_window(boost::asio::io_context& context, const clock_source& clock, metrics& counters, probe sendProbe);

    /// Calls a function that sends bytes once the link has room for them, at once or later. The function returns whether it
    /// did send them.
    void acquire(std::size_t bytes, std::function<bool()> send);
    /// Counts bytes that calls in progress will send, or takes them off.
    void commit(std::size_t bytes) { m_committed += bytes; }
    void release(std::size_t bytes) { m_committed -= bytes; }
    /// Records how many bytes a call that was read commits, also if it is none.
    void recordCall(std::size_t bytes);
    /// What a call commits on average, in bytes.
    std::size_t meanCallBytes() const { return static_cast<std::size_t>(m_meanCallBytes); }
    /// How long the link will take for what calls in progress have to send; zero while requests don't wait for it.
    duration backlog() const;
    /// Whether requests had to wait for the link in the last seconds.
    bool isLimited() const;
    std::size_t window() const { return m_window; }
    /// The last delay of a probe beyond the shortest one.
    duration delay() const { return m_delay; }
    /// The measured rate in bytes per second; 0 if it is unknown.
    double bytesPerSecond() const { return m_bytesPerSecond; }
    void stop() { m_timer.cancel(); }

private:
    /// The shortest times to a process since the last probe that was sent while no request was in flight, and since the one before.
    struct shortest_times {
        duration current = duration::max();
        duration before = duration::max();
    };
    struct waiting_bytes {
        std::size_t bytes = 0;
        std::function<bool()> send;
    };

    void transmitWaiting();
    void sendProbe();
    /// Sends a probe before requests, from time to time, since the delay behind them compares with the time on an idle link.
    void probeIdleLink();
    void onProbeEnded(const std::optional<path_sample>& sample, std::uint64_t number, std::uint64_t sentBefore);
    void acknowledge(std::uint64_t upTo);
    void acknowledgeAfter(duration pause, std::uint64_t upTo);
    void adaptWindow(const path_sample& sample);
    /// Measures the rate at which requests leave while some wait all the time.
    void measureRate(const path_sample& sample, std::uint64_t sentBefore);
    /// How many bytes may be in flight. Some have left the link already, but the answer that tells so is still on its way.
    std::size_t allowedInFlight() const;
    std::size_t inFlight() const { return static_cast<std::size_t>(m_sent - m_acknowledged); }

    const clock_source& m_clock;
    metrics& m_metrics;
    probe m_sendProbe;
    boost::asio::steady_timer m_timer;
    std::deque<waiting_bytes> m_waiting;
    std::size_t m_waitingBytes = 0;
    std::size_t m_committed = 0;
    std::size_t m_window;
    std::uint64_t m_sent = 0;
    std::uint64_t m_acknowledged = 0;
    time_point m_lastSentAt {};
    bool m_probing = false;
    std::uint64_t m_lastProbe = 0;
    duration m_delay { 0 };
    std::map<std::string, shortest_times> m_shortest;
    time_point m_baselineAt {};
    duration m_roundTrip { 0 };
    double m_bytesPerSecond = 0;
    /// The probe from which on the rate is measured, with the bytes that were sent before it; none if no request waited since.
    std::optional<path_sample> m_rateStart;
    std::uint64_t m_rateStartBytes = 0;
    double m_meanCallBytes = 0;
    time_point m_limitedAt {};
    bool m_transmitting = false;
};

/// Bytes that a call has yet to send, counted by the window until they are sent or the call ends.
class send_commitment {
public:
    send_commitment() = default;
    send_commitment(send_window& window, std::size_t bytes)
        : m_window(&window)
        , m_bytes(bytes)
    {
        window.commit(bytes);
    }
    ~send_commitment() { spend(m_bytes); }
    send_commitment(send_commitment&& other) noexcept
        : m_window(other.m_window)
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    send_commitment& operator=(send_commitment&& other) noexcept
    {
        spend(m_bytes);
        m_window = other.m_window;
        m_bytes = std::exchange(other.m_bytes, 0);
        return *this;
    }
    /// Takes off bytes that are sent, at most those that are left.
    void spend(std::size_t bytes)
    {
        auto spent = std::min(bytes, m_bytes);
        m_bytes -= spent;
        if (m_window)
            m_window->release(spent);
    }

private:
    send_window* m_window = nullptr;
    std::size_t m_bytes = 0;
};

} // namespace pistachiolatch
