#pragma once
#include "limits/limits.h"
#include <algorithm>
#include <utility>
#include <vector>

namespace pistachiolatch {

/// What one call has sent to endpoints, as the retry budget counts it: each request beyond the first needs a grant before it
/// is sent, also after one that was refused. The first prefill that an endpoint accepts is part of the call and doesn't count.
/// Pure; not thread-safe.
class call_arrivals {
public:
    /// Grants that the call must hold to be sent to an endpoint.
    unsigned grantsToSend() const { return m_count > 0 ? 1 : 0; }
    /// Grants that it must hold to request a prefill and to be sent afterwards.
    unsigned grantsToPrefill() const { return grantsToSend() + (m_prefilled ? 1 : 0); }
    /// Grants that the call holds. Those that were not used in time are dropped, since the budget may not count them any more;
    /// half of their lifetime is left for opening a connection.
    unsigned grants(time_point now)
    {
        std::erase_if(m_grants, [now](time_point at) { return now - at >= retry_tolerance::grantLifetime / 2; });
        return static_cast<unsigned>(m_grants.size());
    }
    void recordGrant(time_point now) { m_grants.push_back(now); }
    /// Records that the call was sent to an endpoint. Precondition: it held grantsToSend().
    void recordSent()
    {
        bool isFirst = m_count++ == 0;
        if (!isFirst && !m_grants.empty())
            m_grants.erase(m_grants.begin());
    }
    /// Records that a prefill request was sent to an endpoint. Precondition: the call held grantsToPrefill().
    void recordPrefill(bool accepted)
    {
        m_prefillSent = true;
        bool isPartOfCall = accepted && !std::exchange(m_prefilled, m_prefilled || accepted);
        if (!isPartOfCall)
            recordSent();
    }
    unsigned count() const { return m_count; }
    bool isPrefillSent() const { return m_prefillSent; }

private:
    unsigned m_count = 0;
    bool m_prefilled = false;
    bool m_prefillSent = false;
    /// When each grant was received.
    std::vector<time_point> m_grants;
};

} // namespace pistachiolatch
