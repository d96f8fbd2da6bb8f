#include "forwarding/send_window.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    constexpr std::size_t initialWindow = 64UL * 1024;
    constexpr std::size_t minWindow = 16UL * 1024;
    constexpr std::size_t maxWindow = 4UL * 1024 * 1024;
    constexpr std::size_t windowStep = 16UL * 1024;
    /// Delays behind requests, beyond the shortest time, at which the window shrinks and up to which it grows. Replies of the
    /// leader are awaited for 40 ms, and a plain call holds its slot for the way of its request and of the word that it ended.
    constexpr milliseconds longDelay { 25 };
    constexpr milliseconds shortDelay { 10 };
    constexpr double shrinkFactor = 0.8;
    constexpr std::chrono::seconds baselineInterval { 20 };
    /// Requests of this size go at once: they delay nothing, and theirs are the calls with the shortest latency targets.
    constexpr std::size_t shortRequest = 2UL * 1024;
    /// Requests that were sent this long ago have left the link, answered or not.
    constexpr std::chrono::seconds maxTimeInFlight { 1 };
    /// Requests wait no longer than this for the answer to a probe: a control process that is gone or suspended must not hold
    /// them up. An answer that comes later still tells the delay.
    constexpr milliseconds probePatience { 150 };
    /// The pause after a probe that could not be sent, while the rate of the link is unknown.
    constexpr milliseconds unansweredPause { 5 };
    constexpr milliseconds rateInterval { 50 };
    /// Longer ways back to this process are those of a process that is late.
    constexpr milliseconds maxReturnTime { 100 };
    constexpr double rateSmoothing = 0.3;
    constexpr double callBytesSmoothing = 0.05;
    constexpr std::chrono::seconds limitedPeriod { 2 };

    double toSeconds(duration time)
    {
        return std::chrono::duration<double>(time).count();
    }
}

send_window::send_window(boost::asio::io_context& context, const clock_source& clock, metrics& counters, probe sendProbe)
    : m_clock(clock)
    , m_metrics(counters)
    , m_sendProbe(std::move(sendProbe))
    , m_timer(context)
    , m_window(initialWindow)
{
}

void send_window::acquire(std::size_t bytes, std::function<bool()> send)
{
    auto now = m_clock.now();
    if (!m_probing && now - m_lastSentAt > maxTimeInFlight)
        m_acknowledged = m_sent;
    if (bytes <= shortRequest) {
        m_sent += send() ? bytes : 0;
        m_lastSentAt = now;
        return;
    }
    m_waiting.push_back({ bytes, std::move(send) });
    m_waitingBytes += bytes;
    transmitWaiting();
}

std::size_t send_window::allowedInFlight() const
{
    auto returnTime = std::max(duration(0), m_roundTrip - m_delay);
    return m_window + static_cast<std::size_t>(m_bytesPerSecond * toSeconds(std::min<duration>(returnTime, maxReturnTime)));
}

void send_window::transmitWaiting()
{
    // Sending may end a call at once, which may begin to send for another one.
    if (std::exchange(m_transmitting, true))
        return;
    probeIdleLink();
    auto allowed = allowedInFlight();
    while (!m_waiting.empty() && (inFlight() == 0 || inFlight() + m_waiting.front().bytes <= allowed)) {
        auto next = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_waitingBytes -= next.bytes;
        if (!next.send())
            continue;
        m_sent += next.bytes;
        m_lastSentAt = m_clock.now();
    }
    m_transmitting = false;
    if (m_waiting.empty())
        m_rateStart.reset();
    else
        m_limitedAt = m_clock.now();
    if (!m_probing && inFlight() >= m_window / 2)
        sendProbe();
}

void send_window::sendProbe()
{
    m_probing = true;
    acknowledgeAfter(probePatience, m_sent);
    m_sendProbe([this, number = ++m_lastProbe, sentBefore = m_sent](const std::optional<path_sample>& sample) { onProbeEnded(sample, number, sentBefore); });
}

void send_window::probeIdleLink()
{
    auto now = m_clock.now();
    if (m_probing || m_waiting.empty() || inFlight() > 0 || now - m_baselineAt < baselineInterval)
        return;
    m_baselineAt = now;
    std::erase_if(m_shortest, [](const auto& item) { return item.second.current == duration::max(); });
    for (auto& [peer, times] : m_shortest)
        times = { duration::max(), times.current };
    sendProbe();
}

void send_window::onProbeEnded(const std::optional<path_sample>& sample, std::uint64_t number, std::uint64_t sentBefore)
{
    if (sample) {
        m_roundTrip = m_clock.now() - sample->sentAt;
        adaptWindow(*sample);
        measureRate(*sample, sentBefore);
        if (number == m_lastProbe)
            acknowledge(sentBefore);
        return;
    }
    m_metrics.count("link_probe_unanswered");
    if (number != m_lastProbe || !m_probing)
        return;
    auto pause = m_bytesPerSecond > 0 ? std::chrono::duration_cast<duration>(std::chrono::duration<double>(static_cast<double>(inFlight()) / m_bytesPerSecond)) : duration(unansweredPause);
    acknowledgeAfter(std::min<duration>(pause, probePatience), sentBefore);
}

void send_window::acknowledgeAfter(duration pause, std::uint64_t upTo)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this, upTo](boost::system::error_code error) {
        if (!error)
            acknowledge(upTo);
    });
}

void send_window::acknowledge(std::uint64_t upTo)
{
    m_timer.cancel();
    m_probing = false;
    m_acknowledged = std::max(m_acknowledged, upTo);
    transmitWaiting();
}

void send_window::adaptWindow(const path_sample& sample)
{
    auto& shortest = m_shortest[sample.peer];
    auto forwardTime = sample.receivedAt - sample.sentAt;
    shortest.current = std::min(shortest.current, forwardTime);
    m_delay = forwardTime - std::min(shortest.current, shortest.before);
    if (m_delay > longDelay)
        m_window = std::max(minWindow, static_cast<std::size_t>(static_cast<double>(m_window) * shrinkFactor));
    else if (m_delay < shortDelay && !m_waiting.empty())
        m_window = std::min(maxWindow, m_window + windowStep);
}

void send_window::measureRate(const path_sample& sample, std::uint64_t sentBefore)
{
    bool isContinued = m_rateStart && m_rateStart->peer == sample.peer;
    if (isContinued) {
        auto elapsed = sample.receivedAt - m_rateStart->receivedAt;
        if (elapsed < rateInterval)
            return;
        auto rate = static_cast<double>(sentBefore - m_rateStartBytes) / toSeconds(elapsed);
        m_bytesPerSecond += (m_bytesPerSecond == 0 ? 1 : rateSmoothing) * (rate - m_bytesPerSecond);
    }
    if (m_waiting.empty())
        return;
    m_rateStart = sample;
    m_rateStartBytes = sentBefore;
}

void send_window::recordCall(std::size_t bytes)
{
    m_meanCallBytes += callBytesSmoothing * (static_cast<double>(bytes) - m_meanCallBytes);
}

bool send_window::isLimited() const
{
    return m_limitedAt != time_point {} && m_clock.now() - m_limitedAt < limitedPeriod;
}

duration send_window::backlog() const
{
    if (!isLimited())
        return duration(0);
    auto rate = m_bytesPerSecond > 0 ? m_bytesPerSecond : static_cast<double>(m_window) / toSeconds(longDelay);
    auto bytes = static_cast<double>(m_committed + m_waitingBytes + inFlight());
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(bytes / rate));
}

} // namespace pistachiolatch
