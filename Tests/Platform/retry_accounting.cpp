#include "Platform/retry_accounting.h"

#include <algorithm>
#include <set>

namespace pistachiolatch::test {

void retry_accounting::recordSent(time_point at)
{
    std::lock_guard lock(m_mutex);
    m_sent.push_back(at);
}

void retry_accounting::addArrivals(const fake_endpoint& endpoint)
{
    auto arrivals = endpoint.arrivalRecords();
    std::lock_guard lock(m_mutex);
    m_arrivals.insert(m_arrivals.end(), arrivals.begin(), arrivals.end());
}

std::vector<time_point> retry_accounting::retryTimes() const
{
    auto arrivals = m_arrivals;
    std::sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    std::set<std::string> prefilled;
    std::set<std::string> arrived;
    std::vector<time_point> retries;
    for (const auto& arrival : arrivals) {
        if (arrival.isAcceptedPrefill && prefilled.insert(arrival.requestId).second)
            continue;
        if (!arrived.insert(arrival.requestId).second)
            retries.push_back(arrival.at);
    }
    return retries;
}

double retry_accounting::countSent(time_point from, milliseconds length) const
{
    return static_cast<double>(std::count_if(m_sent.begin(), m_sent.end(), [&](time_point at) { return at >= from && at <= from + length; }));
}

window_retries retry_accounting::worstWindow(const retry_bounds& bounds) const
{
    std::lock_guard lock(m_mutex);
    window_retries worst;
    auto times = retryTimes();
    for (std::size_t first = 0; first < times.size(); ++first) {
        auto begin = times[first];
        auto end = std::upper_bound(times.begin(), times.end(), begin + bounds.window);
        auto requests = std::max({ countSent(begin, bounds.window), countSent(begin - bounds.window, bounds.window), countSent(begin - bounds.window / 2, bounds.window) });
        window_retries here { static_cast<unsigned>(end - times.begin() - static_cast<std::ptrdiff_t>(first)), bounds.ratio * requests + bounds.slack };
        if (worst.allowed == 0 || here.retries - here.allowed > worst.retries - worst.allowed)
            worst = here;
    }
    return worst;
}

} // namespace pistachiolatch::test
