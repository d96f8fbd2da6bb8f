#include "forwarding/buffer_budget.h"

#include <utility>

namespace pistachiolatch {

namespace {
    constexpr std::size_t bytesPerMegabyte = 1024UL * 1024;
}

void buffer_budget::setMemory(std::size_t megabytes)
{
    m_limit = static_cast<std::size_t>(static_cast<double>(megabytes * bytesPerMegabyte) * memoryShare);
}

bool buffer_budget::mayGrow(holder_id holder, time_point now)
{
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

std::optional<buffer_budget::stalled_holder> buffer_budget::endStalled(time_point now)
{
    if (m_limit == 0)
        return std::nullopt;
    std::optional<stalled_holder> largest;
    std::size_t freed = 0;
    for (const auto& [id, usage] : m_holders) {
        if (usage.ended) {
            freed += usage.allBytes();
            continue;
        }
        auto idleTime = now - usage.progressAt;
        if (!hasTurn(id, now) && usage.peerBytes() > 0 && idleTime >= usage.allowedIdleTime() && (!largest || usage.peerBytes() > largest->bytes))
            largest = stalled_holder { id, usage.peerBytes(), idleTime };
    }
    if (!largest || m_held - freed < shareOfLimit(largeHolderShare))
        return std::nullopt;
    m_holders[largest->id].ended = true;
    return largest;
}

void buffer_budget::hold(holder_id holder, std::size_t bytes, wait_for wait, time_point now)
{
    if (bytes == 0)
        return;
    auto& usage = m_holders[holder];
    if (wait != wait_for::Turn && usage.peerBytes() == 0)
        usage.progressAt = now;
    usage.bytes(wait) += bytes;
    m_held += bytes;
}

void buffer_budget::release(holder_id holder, std::size_t bytes, wait_for wait)
{
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

void buffer_budget::recordProgress(holder_id holder, time_point now)
{
    auto found = m_holders.find(holder);
    if (found != m_holders.end())
        found->second.progressAt = now;
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
    if (!m_budget)
        return;
    if (bytes > m_bytes) {
        m_budget->hold(m_holder, bytes - m_bytes, m_wait, now);
        m_budget->recordProgress(m_holder, now);
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

void buffer_charge::recordProgress(time_point now)
{
    if (m_budget)
        m_budget->recordProgress(m_holder, now);
}

void buffer_charge::clear()
{
    if (m_budget && m_bytes > 0)
        m_budget->release(m_holder, std::exchange(m_bytes, 0), m_wait);
}

} // namespace pistachiolatch
