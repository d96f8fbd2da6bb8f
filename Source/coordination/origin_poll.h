#pragma once
#include "coordination/stream_origin_table.h"

namespace pistachiolatch {

/// What control processes know about the origin of a stream.
enum class origin_knowledge {
    Known,
    /// A majority has no record of the stream, and several versions may have begun it.
    Unknown,
    /// Too few answered to say so.
    Unanswered,
};

struct origin_resolution {
    origin_knowledge knowledge = origin_knowledge::Unanswered;
    stream_origin origin;
    /// Whether the stream has no record, but only one version can have begun it.
    bool inferred = false;
};

/// The name of what is known about an origin in logs and metrics. Thread safety: any thread.
std::string_view originKnowledgeName(const origin_resolution& resolution);

/// Decides where a stream began from the answers of the control processes, all of which are asked: the leader or the entry that
/// placed the stream may just have been killed, and a process that was cut off or restarted may know less than others.
/// Pure; not thread-safe.
class origin_poll {
public:
    explicit origin_poll(std::size_t processes)
        : m_processes(processes)
    {
    }

    /// Records an answer, or that a process gave none in time.
    void addReply(const wire::stream_origin_reply* reply, bool fromLeader);
    /// Whether further answers can't change the result for the better.
    bool isDecided() const;
    origin_resolution result() const;

private:
    bool isMajority(std::size_t count) const { return 2 * count > m_processes; }

    std::size_t m_processes;
    std::size_t m_finished = 0;
    std::size_t m_replies = 0;
    std::size_t m_observers = 0;
    bool m_leaderKnows = false;
    /// The record of the last placement that any process knows, and how many know it.
    std::optional<wire::stream_origin> m_origin;
    std::size_t m_agreeing = 0;
    /// The version that all observers name, unless they differ or know several.
    std::optional<stream_origin> m_sole;
    bool m_soleContradicted = false;
};

} // namespace pistachiolatch
