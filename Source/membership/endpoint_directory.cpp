#include "membership/endpoint_directory.h"

#include <algorithm>
#include <cmath>

namespace pistachiolatch {

namespace {
    /// Limits the memory for statements about endpoints that never report.
    constexpr std::size_t maxEarlyLimits = 4096;

    bool isGone(const wire::endpoint_report& report)
    {
        return report.state() == wire::ENDPOINT_GONE;
    }

    /// Whether two reports agree in all that readers act on, which excludes the sequence.
    bool isEquivalentForReaders(const wire::endpoint_report& left, const wire::endpoint_report& right)
    {
        return left.born_ms() == right.born_ms() && left.service() == right.service() && left.address() == right.address()
            && left.data_centre() == right.data_centre() && left.slots() == right.slots() && left.state() == right.state()
            && left.stage() == right.stage() && left.software_version() == right.software_version() && (left.cold_ms() > 0) == (right.cold_ms() > 0);
    }
}

bool isSameLimit(std::optional<double> left, std::optional<double> right)
{
    constexpr double tolerance = 0.05;
    if (!left || !right)
        return left.has_value() == right.has_value();
    return std::abs(*left - *right) <= tolerance * std::max(*left, *right);
}

bool endpoint_directory::isColdAgain(const known_endpoint& known, const wire::endpoint_report& report, time_point now)
{
    // Reports that are held up by the network state a remaining time that is up to this much too long.
    constexpr milliseconds maxReportDelay { 500 };
    auto expected = milliseconds(known.row.report().cold_ms()) - (now - known.lastReportAt);
    return report.cold_ms() > 0 && milliseconds(report.cold_ms()) > expected + maxReportDelay;
}

endpoint_directory::endpoint_directory(std::uint64_t source, directory_settings settings)
    : m_source(source)
    , m_settings(settings)
{
}

bool endpoint_directory::isOlder(const wire::endpoint_report& report, const wire::endpoint_report& known) const
{
    if (report.born_ms() != known.born_ms())
        return report.born_ms() < known.born_ms();
    // Nothing follows the GONE report of an incarnation; before it, reports are ordered by sequence.
    if (isGone(known))
        return true;
    return !isGone(report) && report.sequence() <= known.sequence();
}

bool endpoint_directory::mayPredateGone(known_endpoint& endpoint, const wire::endpoint_report& report, time_point now) const
{
    // A newer incarnation alone doesn't prove a restart: after a network partition, the first reports of an endpoint
    // can arrive after its GONE report. Using it again would send calls to an endpoint that is shutting down.
    if (!isGone(endpoint.row.report()) || !endpoint.goneWithoutIncarnation)
        return false;
    if (endpoint.reportingIncarnation != report.born_ms()) {
        endpoint.reportingIncarnation = report.born_ms();
        endpoint.reportingSince = now;
    }
    return now - endpoint.reportingSince < m_settings.restartConfirmation;
}

void endpoint_directory::markChanged(known_endpoint& endpoint)
{
    m_byChangedVersion.erase(endpoint.changedVersion);
    endpoint.changedVersion = ++m_version;
    m_byChangedVersion.emplace(endpoint.changedVersion, &endpoint);
}

void endpoint_directory::updateAddressIndex(known_endpoint& endpoint, const std::string& address)
{
    if (endpoint.indexedAddress == address)
        return;
    auto [begin, end] = m_byAddress.equal_range(endpoint.indexedAddress);
    auto listed = std::find_if(begin, end, [&](const auto& item) { return item.second == &endpoint; });
    if (listed != end)
        m_byAddress.erase(listed);
    endpoint.indexedAddress = address;
    if (!address.empty())
        m_byAddress.emplace(address, &endpoint);
}

void endpoint_directory::removeFromIndexes(known_endpoint& endpoint)
{
    m_byChangedVersion.erase(endpoint.changedVersion);
    updateAddressIndex(endpoint, {});
}

bool endpoint_directory::isReplacedBy(known_endpoint& endpoint, const wire::endpoint_report& report, time_point now) const
{
    auto& ignored = endpoint.ignored;
    bool isSameRun = ignored.id == report.id() && ignored.bornMs == report.born_ms();
    bool isCurrent = now - ignored.lastReportAt <= m_settings.silentAfter && endpoint.lastReportAt <= ignored.since;
    if (isCurrent && !isSameRun && report.born_ms() <= ignored.bornMs)
        return false;
    if (!isCurrent || !isSameRun) {
        ignored = { report.id(), report.born_ms(), report.sequence(), now, now };
        return false;
    }
    // Reports that are delayed by the network also come in another order.
    if (report.sequence() <= ignored.sequence)
        return false;
    ignored.sequence = report.sequence();
    ignored.lastReportAt = now;
    return now - ignored.since >= m_settings.reassertionPeriod;
}

bool endpoint_directory::isKeptOutById(known_endpoint& endpoint, const wire::endpoint_report& report, time_point now) const
{
    const auto& known = endpoint.row.report();
    bool isSameRun = report.born_ms() == known.born_ms();
    if (isSameRun && isGone(known) && endpoint.goneByReport)
        return true;
    bool namesOtherService = isSameRun && report.born_ms() != 0 && !isGone(known) && report.service() != known.service();
    if (!namesOtherService && !isOlder(report, known))
        return false;
    return !isReplacedBy(endpoint, report, now);
}

bool endpoint_directory::isKeptOutByAddress(const wire::endpoint_report& report, time_point now)
{
    bool isKeptOut = false;
    auto [begin, end] = m_byAddress.equal_range(report.address());
    for (auto it = begin; it != end; ++it) {
        const auto& known = it->second->row.report();
        if (known.id() == report.id() || isGone(known))
            continue;
        // A delayed report of an earlier incarnation; another endpoint has taken over the address.
        if (known.born_ms() > report.born_ms() && !isReplacedBy(*it->second, report, now))
            isKeptOut = true;
    }
    return isKeptOut;
}

void endpoint_directory::takeAddress(const wire::endpoint_report& report)
{
    auto [begin, end] = m_byAddress.equal_range(report.address());
    for (auto it = begin; it != end; ++it) {
        auto& other = *it->second;
        auto& known = *other.row.mutable_report();
        if (known.id() == report.id() || isGone(known))
            continue;
        if (known.born_ms() > report.born_ms())
            ++m_reassertions;
        known.set_state(wire::ENDPOINT_GONE);
        other.goneByReport = false;
        markChanged(other);
    }
}

bool endpoint_directory::applyReport(const wire::endpoint_report& report, time_point now)
{
    auto found = m_endpoints.find(report.id());
    if (isGone(report)) {
        if (found == m_endpoints.end()) {
            known_endpoint gone;
            *gone.row.mutable_report() = report;
            gone.lastReportAt = now;
            gone.goneByReport = true;
            gone.goneWithoutIncarnation = report.born_ms() == 0;
            markChanged(m_endpoints.emplace(report.id(), std::move(gone)).first->second);
            return true;
        }
        auto& known = *found->second.row.mutable_report();
        // A GONE report that names no incarnation ends the known endpoint.
        bool endsEarlierIncarnation = report.born_ms() != 0 && report.born_ms() < known.born_ms();
        if (endsEarlierIncarnation || isGone(known))
            return false;
        if (report.born_ms() > known.born_ms())
            known.set_born_ms(report.born_ms());
        known.set_state(wire::ENDPOINT_GONE);
        found->second.goneByReport = true;
        found->second.goneWithoutIncarnation = report.born_ms() == 0;
        found->second.lastReportAt = now;
        markChanged(found->second);
        return true;
    }
    bool countsAsEarlier = found != m_endpoints.end() && isOlder(report, found->second.row.report());
    bool isKeptOut = found != m_endpoints.end() && isKeptOutById(found->second, report, now);
    if (!isKeptOut && !countsAsEarlier && found != m_endpoints.end())
        isKeptOut = mayPredateGone(found->second, report, now);
    // Asked in any case, so that the time for which the run has been reporting counts under both.
    if (isKeptOutByAddress(report, now) || isKeptOut)
        return false;
    auto before = m_version;
    takeAddress(report);
    if (countsAsEarlier)
        ++m_reassertions;
    auto& endpoint = found == m_endpoints.end() ? m_endpoints[report.id()] : found->second;
    bool isNewRun = found == m_endpoints.end() || endpoint.row.report().born_ms() != report.born_ms();
    auto current = report;
    // A control process of an earlier version passes reports on without it; a run has only one.
    if (!isNewRun && current.software_version().empty())
        current.set_software_version(endpoint.row.report().software_version());
    bool changed = found == m_endpoints.end() || endpoint.row.silent() || !isEquivalentForReaders(current, endpoint.row.report())
        || isColdAgain(endpoint, report, now);
    *endpoint.row.mutable_report() = std::move(current);
    if (isNewRun) {
        endpoint.row.set_limited(false);
        endpoint.limitStatedAt = {};
        applyEarlyLimit(endpoint);
    }
    bool isLeaving = report.state() == wire::ENDPOINT_LEAVING;
    if (isNewRun || !isLeaving || endpoint.leavingSince == time_point {})
        endpoint.leavingSince = isLeaving ? now : time_point {};
    updateAddressIndex(endpoint, report.address());
    endpoint.ignored = {};
    endpoint.goneByReport = false;
    endpoint.goneWithoutIncarnation = false;
    endpoint.row.set_silent(false);
    endpoint.lastReportAt = now;
    if (changed)
        markChanged(endpoint);
    return m_version != before;
}

bool endpoint_directory::markUnreachable(const std::string& id, std::uint64_t bornMs)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || found->second.row.silent() || isGone(found->second.row.report()) || found->second.row.report().born_ms() != bornMs)
        return false;
    found->second.row.set_silent(true);
    markChanged(found->second);
    return true;
}

bool endpoint_directory::applyLimit(const wire::endpoint_limit& limit, time_point now)
{
    auto found = m_endpoints.find(limit.id());
    auto statedAt = now - milliseconds(limit.age_ms());
    bool isEarly = found == m_endpoints.end() || found->second.row.report().born_ms() < limit.born_ms();
    if (isEarly) {
        // After a restart of all control processes, entries sync before the endpoints have reported.
        auto& early = m_earlyLimits[limit.id()];
        if (early.second < statedAt)
            early = { limit, statedAt };
        if (m_earlyLimits.size() > maxEarlyLimits)
            m_earlyLimits.erase(m_earlyLimits.begin());
        return false;
    }
    auto& endpoint = found->second;
    if (isGone(endpoint.row.report()) || endpoint.row.report().born_ms() != limit.born_ms() || statedAt <= endpoint.limitStatedAt)
        return false;
    if (!setLimit(endpoint, limit, statedAt))
        return false;
    markChanged(endpoint);
    return true;
}

bool endpoint_directory::setLimit(known_endpoint& endpoint, const wire::endpoint_limit& limit, time_point statedAt)
{
    endpoint.limitStatedAt = statedAt;
    auto stated = limitIn(limit);
    if (isSameLimit(stated, limitIn(endpoint.row)))
        return false;
    endpoint.row.set_limited(stated.has_value());
    endpoint.row.set_calls_per_second(stated.value_or(0));
    return true;
}

void endpoint_directory::applyEarlyLimit(known_endpoint& endpoint)
{
    auto early = m_earlyLimits.find(endpoint.row.report().id());
    if (early == m_earlyLimits.end() || early->second.first.born_ms() > endpoint.row.report().born_ms())
        return;
    if (early->second.first.born_ms() == endpoint.row.report().born_ms())
        setLimit(endpoint, early->second.first, early->second.second);
    m_earlyLimits.erase(early);
}

bool endpoint_directory::expire(time_point now)
{
    auto before = m_version;
    for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
        auto& endpoint = it->second;
        auto silence = now - endpoint.lastReportAt;
        if (isGone(endpoint.row.report())) {
            if (silence <= m_settings.goneRetention) {
                ++it;
                continue;
            }
            removeFromIndexes(endpoint);
            it = m_endpoints.erase(it);
            continue;
        }
        if (silence > m_settings.goneAfter) {
            endpoint.row.mutable_report()->set_state(wire::ENDPOINT_GONE);
            endpoint.goneByReport = false;
            markChanged(endpoint);
        } else if (silence > m_settings.silentAfter && !endpoint.row.silent()) {
            endpoint.row.set_silent(true);
            markChanged(endpoint);
        }
        ++it;
    }
    return m_version != before;
}

std::vector<wire::endpoint_row> endpoint_directory::changesSince(std::uint64_t version) const
{
    std::vector<wire::endpoint_row> rows;
    for (auto it = m_byChangedVersion.upper_bound(version); it != m_byChangedVersion.end(); ++it)
        rows.push_back(it->second->row);
    return rows;
}

bool endpoint_directory::hasDataCentre(const std::string& dataCentre) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
        const auto& report = item.second.row.report();
        return report.data_centre() == dataCentre && !isGone(report);
    });
}

const wire::endpoint_row* endpoint_directory::find(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second.row;
}

milliseconds endpoint_directory::leavingFor(const std::string& id, time_point now) const
{
    auto found = m_endpoints.find(id);
    bool isLeaving = found != m_endpoints.end() && found->second.leavingSince != time_point {};
    return isLeaving ? std::chrono::duration_cast<milliseconds>(now - found->second.leavingSince) : milliseconds(0);
}

directory_page endpoint_directory::pageSince(std::uint64_t version, std::size_t maxRows) const
{
    directory_page page;
    page.version = m_version;
    for (auto it = m_byChangedVersion.upper_bound(version); it != m_byChangedVersion.end(); ++it) {
        page.more = page.rows.size() == maxRows;
        if (page.more) {
            page.version = page.rows.empty() ? version : std::prev(it)->first;
            break;
        }
        page.rows.push_back(it->second->row);
    }
    return page;
}

} // namespace pistachiolatch
