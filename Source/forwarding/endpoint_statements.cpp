#include "forwarding/endpoint_statements.h"

#include <algorithm>

namespace pistachiolatch {

endpoint_statements::run_statements* endpoint_statements::findOrAdd(const std::string& endpoint, std::uint64_t incarnation)
{
    auto& run = m_runs[endpoint];
    if (run.incarnation < incarnation) {
        run = {};
        run.incarnation = incarnation;
    }
    return run.incarnation == incarnation ? &run : nullptr;
}

const endpoint_statements::run_statements* endpoint_statements::find(const std::string& endpoint, std::uint64_t incarnation) const
{
    auto found = m_runs.find(endpoint);
    return found == m_runs.end() || found->second.incarnation != incarnation ? nullptr : &found->second;
}

void endpoint_statements::recordRest(const std::string& endpoint, std::uint64_t incarnation, time_point until)
{
    if (auto* run = findOrAdd(endpoint, incarnation))
        run->restsUntil = std::max(run->restsUntil, until);
}

void endpoint_statements::recordLeaving(const std::string& endpoint, std::uint64_t incarnation, bool leaves, time_point sentAt, time_point now)
{
    if (!leaves && !m_runs.count(endpoint))
        return;
    auto* run = findOrAdd(endpoint, incarnation);
    if (!run)
        return;
    if (leaves && run->leavingSince == time_point {})
        run->leavingSince = now;
    // A response to an earlier request may have been overtaken by the one that said that the endpoint leaves.
    else if (!leaves && sentAt > run->leavingSince)
        run->leavingSince = {};
}

time_point endpoint_statements::restsUntil(const std::string& endpoint, std::uint64_t incarnation) const
{
    const auto* run = find(endpoint, incarnation);
    return run ? run->restsUntil : time_point {};
}

time_point endpoint_statements::leavingSince(const std::string& endpoint, std::uint64_t incarnation) const
{
    const auto* run = find(endpoint, incarnation);
    return run ? run->leavingSince : time_point {};
}

std::vector<std::string> endpoint_statements::unwilling(time_point now) const
{
    std::vector<std::string> endpoints;
    for (const auto& [id, run] : m_runs) {
        if (now < run.restsUntil || run.leavingSince != time_point {})
            endpoints.push_back(id);
    }
    return endpoints;
}

} // namespace pistachiolatch
