#include "http/buffer_budget.h"

#include <utility>

namespace pistachiolatch {

namespace {
    constexpr std::size_t bytesPerMegabyte = 1024UL * 1024;
}

void buffer_budget::setMemory(std::size_t megabytes)
{
    m_limit = static_cast<std::size_t>(static_cast<double>(megabytes * bytesPerMegabyte) * memoryShare);
}

std::size_t& buffer_budget::usage::bytes(wait_for wait)
{
    switch (wait) {
    case wait_for::Caller:
        return callerBytes;
    case wait_for::Upload:
        return uploadBytes;
    case wait_for::Endpoint:
        return endpointBytes;
    case wait_for::Turn:
        break;
    }
    return turnBytes;
}

std::size_t buffer_budget::held() const
{
    std::lock_guard lock(m_mutex);
    return m_held;
}

buffer_budget::holder_id buffer_budget::addHolder(end_handler onEnd)
{
    std::lock_guard lock(m_mutex);
    auto id = ++m_lastHolder;
    if (onEnd)
        m_endHandlers.emplace(id, std::move(onEnd));
    return id;
}

void buffer_budget::removeHolder(holder_id holder)
{
    std::lock_guard lock(m_mutex);
    m_endHandlers.erase(holder);
}

bool buffer_budget::hasRoom(std::size_t bytes) const
{
    std::lock_guard lock(m_mutex);
    return m_limit == 0 || m_held + bytes < shareOfLimit(sharedShare);
}

bool buffer_budget::fits(std::size_t bytes) const
{
    std::lock_guard lock(m_mutex);
    return fitsLocked(bytes);
}

bool buffer_budget::mayGrow(holder_id holder, time_point now)
{
    std::lock_guard lock(m_mutex);
    if (m_limit == 0)
        return true;
    if (!isLarge(holder))
        return m_held < m_limit;
    if (m_held < shareOfLimit(sharedShare))
        return true;
    bool hasRoom = m_held < shareOfLimit(largeHolderShare);
    if (hasTurn(m_turnHolder, now)) {
        if (m_turnHolder != holder)
            m_deniedAt = now;
        return hasRoom && m_turnHolder == holder;
    }
    bool othersWait = m_turnHolder == holder && now - m_deniedAt < maxAskInterval;
    if (!hasRoom || othersWait)
        return false;
    m_turnHolder = holder;
    m_turnEndsAt = now + maxTurnTime;
    return true;
}

bool buffer_budget::isLarge(holder_id holder) const
{
    auto found = m_holders.find(holder);
    return found != m_holders.end() && found->second.allBytes() > smallHolderBytes;
}

std::size_t buffer_budget::endedBytes() const
{
    std::size_t bytes = 0;
    for (const auto& [id, usage] : m_holders)
        bytes += usage.ended ? usage.allBytes() : 0;
    return bytes;
}

buffer_budget::end_handler buffer_budget::markEnded(holder_id holder)
{
    m_holders[holder].ended = true;
    auto found = m_endHandlers.find(holder);
    return found == m_endHandlers.end() ? end_handler() : found->second;
}

unsigned buffer_budget::makeRoom(holder_id holder, std::size_t bytes, time_point now)
{
    unsigned ended = 0;
    while (true) {
        std::unique_lock lock(m_mutex);
        auto freed = endedBytes();
        if (m_limit == 0 || m_held - freed + bytes < m_limit)
            return ended;
        auto victim = findUpload(holder, now);
        if (!victim)
            return ended;
        auto onEnd = markEnded(victim->id);
        lock.unlock();
        ++ended;
        if (onEnd)
            onEnd(*victim);
    }
}

std::optional<buffer_budget::stalled_holder> buffer_budget::findUpload(holder_id except, time_point now) const
{
    std::optional<stalled_holder> found;
    double mostHeldAndIdle = 0;
    for (const auto& [id, usage] : m_holders) {
        auto idleTime = now - usage.progressAt;
        bool mayEnd = usage.uploadBytes > 0 && !usage.ended && id != except && (idleTime >= maxUploadIdleTime || now - usage.uploadStartedAt >= maxUploadTime);
        auto heldAndIdle = static_cast<double>(usage.uploadBytes) * std::chrono::duration<double>(idleTime + milliseconds(1)).count();
        if (!mayEnd || heldAndIdle <= mostHeldAndIdle)
            continue;
        mostHeldAndIdle = heldAndIdle;
        found = stalled_holder { id, usage.uploadBytes, idleTime };
    }
    return found;
}

std::optional<buffer_budget::stalled_holder> buffer_budget::endStalled(time_point now)
{
    std::unique_lock lock(m_mutex);
    if (m_limit == 0)
        return std::nullopt;
    auto stalled = findStalled(now);
    if (!stalled || m_held - endedBytes() < shareOfLimit(largeHolderShare))
        return std::nullopt;
    auto onEnd = markEnded(stalled->id);
    lock.unlock();
    if (onEnd)
        onEnd(*stalled);
    return stalled;
}

std::optional<buffer_budget::stalled_holder> buffer_budget::findStalled(time_point now) const
{
    std::optional<stalled_holder> largest;
    for (const auto& [id, usage] : m_holders) {
        auto idleTime = now - usage.progressAt;
        bool mayEnd = !usage.ended && !hasTurn(id, now) && usage.peerBytes() > 0 && idleTime >= usage.allowedIdleTime();
        if (mayEnd && (!largest || usage.peerBytes() > largest->bytes))
            largest = stalled_holder { id, usage.peerBytes(), idleTime };
    }
    return largest;
}

void buffer_budget::hold(holder_id holder, std::size_t bytes, wait_for wait, time_point now)
{
    if (bytes == 0)
        return;
    std::lock_guard lock(m_mutex);
    auto& usage = m_holders[holder];
    if (wait != wait_for::Turn && usage.peerBytes() == 0) {
        usage.progressAt = now;
        usage.bytesSinceProgress = 0;
    }
    if (wait == wait_for::Upload && usage.uploadBytes == 0)
        usage.uploadStartedAt = now;
    usage.bytes(wait) += bytes;
    m_held += bytes;
}

void buffer_budget::release(holder_id holder, std::size_t bytes, wait_for wait)
{
    std::lock_guard lock(m_mutex);
    auto found = m_holders.find(holder);
    if (found == m_holders.end())
        return;
    auto& usage = found->second;
    usage.bytes(wait) -= bytes;
    m_held -= bytes;
    if (holder == m_turnHolder)
        m_turnEndsAt = {};
    if (usage.allBytes() == 0)
        m_holders.erase(found);
}

void buffer_budget::recordProgress(holder_id holder, time_point now, std::size_t bytes)
{
    std::lock_guard lock(m_mutex);
    auto found = m_holders.find(holder);
    if (found == m_holders.end())
        return;
    auto& usage = found->second;
    usage.bytesSinceProgress += bytes;
    if (usage.bytesSinceProgress < minProgressBytes)
        return;
    usage.bytesSinceProgress = 0;
    usage.progressAt = now;
}

buffer_charge::buffer_charge(buffer_charge&& other) noexcept
    : m_budget(other.m_budget)
    , m_holder(other.m_holder)
    , m_wait(other.m_wait)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

buffer_charge& buffer_charge::operator=(buffer_charge&& other) noexcept
{
    if (this == &other)
        return *this;
    clear();
    m_budget = other.m_budget;
    m_holder = other.m_holder;
    m_wait = other.m_wait;
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

void buffer_charge::resize(std::size_t bytes, time_point now)
{
    // Releasing nothing would end the holder's turn.
    if (!m_budget || bytes == m_bytes)
        return;
    if (bytes > m_bytes) {
        m_budget->hold(m_holder, bytes - m_bytes, m_wait, now);
        m_budget->recordProgress(m_holder, now, bytes - m_bytes);
    } else {
        m_budget->release(m_holder, m_bytes - bytes, m_wait);
    }
    m_bytes = bytes;
}

void buffer_charge::setWait(buffer_budget::wait_for wait, time_point now)
{
    if (!m_budget)
        return;
    auto bytes = m_bytes;
    clear();
    m_wait = wait;
    m_budget->hold(m_holder, bytes, wait, now);
    m_bytes = bytes;
}

void buffer_charge::recordProgress(time_point now, std::size_t bytes)
{
    if (m_budget)
        m_budget->recordProgress(m_holder, now, bytes);
}

void buffer_charge::clear()
{
    if (m_budget && m_bytes > 0)
        m_budget->release(m_holder, std::exchange(m_bytes, 0), m_wait);
}

} // namespace pistachiolatch
