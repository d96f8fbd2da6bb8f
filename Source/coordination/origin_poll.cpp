#include "coordination/origin_poll.h"

namespace pistachiolatch {

std::string_view originKnowledgeName(const origin_resolution& resolution)
{
    switch (resolution.knowledge) {
    case origin_knowledge::Known:
        return resolution.inferred ? "inferred" : "known";
    case origin_knowledge::Unknown:
        return "unknown";
    case origin_knowledge::Unanswered:
        break;
    }
    return "unanswered";
}

void origin_poll::addReply(const wire::stream_origin_reply* reply, bool fromLeader)
{
    ++m_finished;
    if (!reply)
        return;
    ++m_replies;
    if (reply->has_origin()) {
        m_leaderKnows = m_leaderKnows || fromLeader;
        const auto& origin = reply->origin();
        bool agrees = m_origin && m_origin->service() == origin.service() && m_origin->software_version() == origin.software_version();
        if (agrees) {
            ++m_agreeing;
        } else if (!m_origin || origin.placement() > m_origin->placement()) {
            m_origin = origin;
            m_agreeing = 1;
        }
    }
    // What a process knows contradicts the others also if it may not know everything.
    stream_origin sole { reply->sole_service(), reply->sole_version() };
    bool namesOne = !sole.softwareVersion.empty();
    bool differs = namesOne && m_sole && (m_sole->service != sole.service || m_sole->softwareVersion != sole.softwareVersion);
    if (reply->several() || differs || (reply->observed() && !namesOne && !reply->has_origin()))
        m_soleContradicted = true;
    if (namesOne)
        m_sole = std::move(sole);
    if (reply->observed())
        ++m_observers;
}

bool origin_poll::isDecided() const
{
    // A placement that the leader missed was told to all others.
    bool leaderConfirmed = m_leaderKnows && isMajority(m_replies);
    return m_finished >= m_processes || leaderConfirmed || isMajority(m_agreeing);
}

origin_resolution origin_poll::result() const
{
    if (m_origin)
        return { origin_knowledge::Known, { m_origin->service(), m_origin->software_version() }, false };
    if (isMajority(m_observers) && !m_soleContradicted)
        return { origin_knowledge::Known, *m_sole, true };
    return { isMajority(m_replies) ? origin_knowledge::Unknown : origin_knowledge::Unanswered, {}, false };
}

} // namespace pistachiolatch
