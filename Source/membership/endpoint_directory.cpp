#include "membership/endpoint_directory.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    bool isGone(const wire::endpoint_report& report)
    {
        return report.state() == wire::ENDPOINT_GONE;
    }

    /// Whether two reports differ in what a reader acts on. The sequence is no part of that.
    bool sameForReaders(const wire::endpoint_report& left, const wire::endpoint_report& right)
    {
        return left.born_ms() == right.born_ms() && left.service() == right.service() && left.address() == right.address()
            && left.data_centre() == right.data_centre() && left.slots() == right.slots() && left.state() == right.state()
            && left.stage() == right.stage() && (left.cold_ms() > 0) == (right.cold_ms() > 0);
    }
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
    // Within one run nothing follows the end; before it, the sequence orders the reports.
    if (isGone(known))
        return true;
    return !isGone(report) && report.sequence() <= known.sequence();
}

bool endpoint_directory::mayPrecedeFarewell(known_endpoint& one, const wire::endpoint_report& report, time_point now) const
{
    // Its run is newer than any that is known, but so is that of an endpoint which started behind a cut, said farewell,
    // and whose first reports arrive last. Used again, it would get calls after it was told that none would come.
    if (!isGone(one.row.report()) || !one.endedUnnamed)
        return false;
    if (one.reportingRun != report.born_ms()) {
        one.reportingRun = report.born_ms();
        one.reportingSince = now;
    }
    return now - one.reportingSince < m_settings.restartConfirmation;
}

bool endpoint_directory::addressTaken(const wire::endpoint_report& report)
{
    for (auto& [id, other] : m_endpoints) {
        auto& held = *other.row.mutable_report();
        if (id == report.id() || held.address() != report.address() || isGone(held))
            continue;
        // A report of an earlier run, held up on the way while another endpoint took the address over.
        if (held.born_ms() > report.born_ms())
            return true;
        held.set_state(wire::ENDPOINT_GONE);
        markChanged(other);
    }
    return false;
}

bool endpoint_directory::applyReport(const wire::endpoint_report& report, time_point now)
{
    auto found = m_endpoints.find(report.id());
    if (isGone(report)) {
        if (found == m_endpoints.end()) {
            known_endpoint gone;
            *gone.row.mutable_report() = report;
            gone.heardAt = now;
            gone.endedUnnamed = report.born_ms() == 0;
            markChanged(m_endpoints.emplace(report.id(), std::move(gone)).first->second);
            return true;
        }
        auto& held = *found->second.row.mutable_report();
        // A farewell may not say which run it ends; it then ends the one that is known.
        bool otherRun = report.born_ms() != 0 && report.born_ms() < held.born_ms();
        if (otherRun || isGone(held))
            return false;
        if (report.born_ms() > held.born_ms())
            held.set_born_ms(report.born_ms());
        held.set_state(wire::ENDPOINT_GONE);
        found->second.endedUnnamed = report.born_ms() == 0;
        found->second.heardAt = now;
        markChanged(found->second);
        return true;
    }
    if (found != m_endpoints.end() && isOlder(report, found->second.row.report()))
        return false;
    if (found != m_endpoints.end() && mayPrecedeFarewell(found->second, report, now))
        return false;
    auto before = m_version;
    if (addressTaken(report))
        return m_version != before;
    auto& one = found == m_endpoints.end() ? m_endpoints[report.id()] : found->second;
    bool changed = found == m_endpoints.end() || one.row.silent() || !sameForReaders(report, one.row.report());
    *one.row.mutable_report() = report;
    one.endedUnnamed = false;
    one.row.set_silent(false);
    one.heardAt = now;
    if (changed)
        markChanged(one);
    return m_version != before;
}

bool endpoint_directory::markUnreachable(const std::string& id, std::uint64_t born)
{
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || found->second.row.silent() || isGone(found->second.row.report()) || found->second.row.report().born_ms() != born)
        return false;
    found->second.row.set_silent(true);
    markChanged(found->second);
    return true;
}

bool endpoint_directory::expire(time_point now)
{
    auto before = m_version;
    for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
        auto& one = it->second;
        auto silence = now - one.heardAt;
        if (isGone(one.row.report())) {
            it = silence > m_settings.goneRetention ? m_endpoints.erase(it) : std::next(it);
            continue;
        }
        if (silence > m_settings.goneAfter) {
            one.row.mutable_report()->set_state(wire::ENDPOINT_GONE);
            markChanged(one);
        } else if (silence > m_settings.silentAfter && !one.row.silent()) {
            one.row.set_silent(true);
            markChanged(one);
        }
        ++it;
    }
    return m_version != before;
}

std::vector<wire::endpoint_row> endpoint_directory::changesSince(std::uint64_t version) const
{
    std::vector<wire::endpoint_row> rows;
    for (const auto& [id, one] : m_endpoints) {
        if (one.changedAt > version)
            rows.push_back(one.row);
    }
    return rows;
}

const wire::endpoint_row* endpoint_directory::find(const std::string& id) const
{
    auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second.row;
}

directory_page endpoint_directory::pageSince(std::uint64_t version, std::size_t mostRows) const
{
    std::vector<const known_endpoint*> changed;
    for (const auto& [id, one] : m_endpoints) {
        if (one.changedAt > version)
            changed.push_back(&one);
    }
    std::sort(changed.begin(), changed.end(), [](const auto* left, const auto* right) { return left->changedAt < right->changedAt; });
    directory_page page;
    page.more = changed.size() > mostRows;
    if (page.more)
        changed.resize(mostRows);
    page.version = page.more ? changed.back()->changedAt : m_version;
    for (const auto* one : changed)
        page.rows.push_back(one->row);
    return page;
}

} // namespace pistachiolatch
