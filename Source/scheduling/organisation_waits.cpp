#include "scheduling/organisation_waits.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace pistachiolatch {

namespace {
    /// Organisations with a lower weight of calls make room for others.
    constexpr double negligibleCalls = 0.1;
}

double organisation_waits::weight(time_point since, time_point now)
{
    std::chrono::duration<double> age = std::max(duration(0), now - since);
    return std::exp2(-age / std::chrono::duration<double>(halfLife));
}

organisation_waits::history* organisation_waits::findAged(const std::string& organisation, time_point now)
{
    if (organisation.empty())
        return nullptr;
    if (m_organisations.size() >= maxOrganisations && !m_organisations.count(organisation)) {
        std::erase_if(m_organisations, [now](const auto& item) {
            return (item.second.placed + item.second.refused) * weight(item.second.updatedAt, now) < negligibleCalls;
        });
        if (m_organisations.size() >= maxOrganisations)
            return nullptr;
    }
    auto& history = m_organisations[organisation];
    auto remaining = weight(history.updatedAt, now);
    history.placed *= remaining;
    history.refused *= remaining;
    history.waited *= remaining;
    history.updatedAt = now;
    return &history;
}

void organisation_waits::recordPlaced(const std::string& organisation, duration waited, time_point now)
{
    auto* history = findAged(organisation, now);
    if (!history)
        return;
    ++history->placed;
    history->waited += waited;
}

void organisation_waits::recordRefused(const std::string& organisation, time_point now)
{
    auto* history = findAged(organisation, now);
    if (!history)
        return;
    ++history->refused;
    m_refused = true;
}

organisation_wait_summary organisation_waits::summary(time_point now) const
{
    organisation_wait_summary result;
    std::chrono::duration<double, std::milli> worstWait { 0 };
    std::chrono::duration<double, std::milli> waits { 0 };
    double refusedShares = 0;
    using rank = std::pair<double, std::chrono::duration<double, std::milli>>;
    std::optional<rank> worst;
    std::optional<rank> best;
    for (const auto& [name, history] : m_organisations) {
        auto calls = history.placed + history.refused;
        if (calls * weight(history.updatedAt, now) < minCalls)
            continue;
        auto refusedShare = history.refused / calls;
        auto wait = history.placed > 0 ? history.waited / history.placed : history.waited;
        ++result.organisations;
        worstWait = std::max(worstWait, wait);
        waits += wait;
        refusedShares += refusedShare;
        rank own { refusedShare, wait };
        if (!worst || own > *worst) {
            worst = own;
            result.worst = name;
        }
        if (!best || own < *best) {
            best = own;
            result.best = name;
        }
    }
    if (result.organisations == 0)
        return result;
    auto count = static_cast<double>(result.organisations);
    result.worstWait = std::chrono::round<milliseconds>(worstWait);
    result.meanWait = std::chrono::round<milliseconds>(waits / count);
    result.worstRefusedShare = worst->first;
    result.meanRefusedShare = refusedShares / count;
    result.bestRefusedShare = best->first;
    return result;
}

std::optional<organisation_wait_summary> organisation_waits::dueSummary(time_point now)
{
    if (m_reportedAt != time_point {} && now - m_reportedAt < reportInterval)
        return std::nullopt;
    m_reportedAt = now;
    return summary(now);
}

bool organisation_waits::takeRefused()
{
    return std::exchange(m_refused, false);
}

void organisation_waits::clear()
{
    m_organisations.clear();
    m_refused = false;
}

} // namespace pistachiolatch
