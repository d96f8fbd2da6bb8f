#include "coordination/endpoint_limits.h"

#include "membership/membership.h"
#include <algorithm>
#include <limits>

namespace pistachiolatch {

namespace {
    /// Share of a limit that all entries together use while no leader places their calls.
    constexpr double shareWithoutLeader = 0.4;
    /// Unused shares are kept for this long.
    constexpr std::chrono::seconds shareRetention { 1 };
}

endpoint_limits::endpoint_limits(std::uint64_t seed)
    : m_shares(seed, std::numeric_limits<double>::infinity())
{
}

endpoint_limits::known_limit* endpoint_limits::findOrAdd(const std::string& endpoint, std::uint64_t incarnation)
{
    auto& known = m_limits[endpoint];
    if (known.incarnation < incarnation) {
        known = {};
        known.incarnation = incarnation;
    }
    return known.incarnation == incarnation ? &known : nullptr;
}

bool endpoint_limits::onResponse(const std::string& endpoint, std::uint64_t incarnation, std::optional<double> limit, time_point sentAt, time_point now)
{
    if (!limit && !m_limits.count(endpoint))
        return false;
    auto* known = findOrAdd(endpoint, incarnation);
    if (!known)
        return false;
    // A response without a limit to an earlier request may have been overtaken by the one that named the limit.
    if (!limit && sentAt <= known->namedAt)
        return false;
    if (limit)
        known->namedAt = now;
    if (isSameLimit(limit, known->current().limit))
        return false;
    known->own = { limit, now };
    known->reported = false;
    return true;
}

void endpoint_limits::onRow(const wire::endpoint_row& row, time_point now)
{
    const auto& report = row.report();
    if (report.state() == wire::ENDPOINT_GONE) {
        auto gone = m_limits.find(report.id());
        if (gone != m_limits.end() && gone->second.incarnation <= report.born_ms())
            m_limits.erase(gone);
        return;
    }
    if (!row.limited() && !m_limits.count(report.id()))
        return;
    auto* known = findOrAdd(report.id(), report.born_ms());
    if (!known)
        return;
    auto limit = limitIn(row);
    if (limit && !isSameLimit(limit, known->told.limit))
        known->namedAt = now;
    known->told = { limit, now };
}

std::optional<double> endpoint_limits::limitOf(const std::string& endpoint) const
{
    auto found = m_limits.find(endpoint);
    return found == m_limits.end() ? std::nullopt : found->second.current().limit;
}

bool endpoint_limits::tryTake(const std::string& endpoint, unsigned entries, time_point now)
{
    auto limit = limitOf(endpoint);
    if (!limit)
        return true;
    auto share = shareWithoutLeader * *limit / std::max(1U, entries);
    return m_shares.tryTake(endpoint, share, share * shareRetention.count(), 1, now);
}

wire::endpoint_limit endpoint_limits::statement(const std::string& endpoint, time_point now) const
{
    const auto& known = m_limits.at(endpoint);
    wire::endpoint_limit limit;
    limit.set_id(endpoint);
    limit.set_born_ms(known.incarnation);
    limit.set_limited(known.own.limit.has_value());
    limit.set_calls_per_second(known.own.limit.value_or(0));
    limit.set_age_ms(saturatingCast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(now - known.own.statedAt).count()));
    return limit;
}

void endpoint_limits::fillUnreported(google::protobuf::RepeatedPtrField<wire::endpoint_limit>& limits, time_point now) const
{
    for (const auto& [id, known] : m_limits) {
        if (!known.reported)
            *limits.Add() = statement(id, now);
    }
}

void endpoint_limits::markReported(time_point until)
{
    for (auto& [id, known] : m_limits)
        known.reported = known.reported || known.own.statedAt < until;
}

void endpoint_limits::onLeaderChanged()
{
    for (auto& [id, known] : m_limits) {
        // The new leader needs what the one before told, unless this entry knows something newer.
        if (known.told.statedAt > known.own.statedAt)
            known.own = known.told;
        known.reported = known.own.statedAt == time_point {};
    }
}

} // namespace pistachiolatch
