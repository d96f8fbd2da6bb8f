#include "coordination/request_success_history.h"

#include <algorithm>
#include <utility>

namespace pistachiolatch {

namespace {
    /// Limits the memory to about half a megabyte.
    constexpr std::size_t maxKnownRequests = 4096;
    /// Successes of a popular request that is suspected are told no more often than this.
    constexpr milliseconds minTellInterval { 100 };
}

bool request_success_history::recordSuccess(std::uint64_t fingerprint, time_point begunAt, time_point now)
{
    auto found = m_known.find(fingerprint);
    if (found != m_known.end()) {
        found->second->begunAt = std::max(found->second->begunAt, begunAt);
        m_recent.splice(m_recent.begin(), m_recent, found->second);
    } else {
        m_recent.push_front({ fingerprint, begunAt });
        m_known[fingerprint] = m_recent.begin();
    }
    if (m_recent.size() > maxKnownRequests) {
        m_known.erase(m_recent.back().fingerprint);
        m_recent.pop_back();
    }
    if (!m_suspects.count(fingerprint) || now - m_toldAt < minTellInterval)
        return false;
    m_toldAt = now;
    return true;
}

bool request_success_history::setSuspects(const google::protobuf::RepeatedField<std::uint64_t>& suspects)
{
    auto before = std::exchange(m_suspects, { suspects.begin(), suspects.end() });
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](auto suspect) { return !before.count(suspect) && m_known.count(suspect); });
}

time_point request_success_history::lastBegunAt(std::uint64_t fingerprint) const
{
    auto found = m_known.find(fingerprint);
    return found == m_known.end() ? time_point {} : found->second->begunAt;
}

void request_success_history::fillSuccesses(google::protobuf::RepeatedPtrField<wire::request_success>& successes, std::set<std::uint64_t> fingerprints, time_point now) const
{
    fingerprints.insert(m_suspects.begin(), m_suspects.end());
    for (auto fingerprint : fingerprints) {
        auto begunAt = lastBegunAt(fingerprint);
        if (begunAt == time_point {})
            continue;
        auto& success = *successes.Add();
        success.set_fingerprint(fingerprint);
        success.set_begun_age_ms(saturatingCast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(now - begunAt).count()));
    }
}

} // namespace pistachiolatch
