#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace pistachiolatch {

/// What an entry knows of the parts of prompts that crash endpoints: when a call with the part last ran to its end, and, for the
/// parts that the leader suspects, how many calls without it did since. Only the most recently used parts are kept.
/// Pure; not thread-safe.
class prompt_part_history {
public:
    /// Records that a call with these parts ran to its end at an endpoint. Returns whether one of them is suspected.
    bool recordSuccess(const std::vector<std::uint64_t>& parts, time_point now);
    /// Replaces the parts that the leader suspects.
    void setSuspects(const google::protobuf::RepeatedField<std::uint64_t>& suspects);
    /// When a call with the part last ran to its end; zero if that is not known.
    time_point lastSuccessAt(std::uint64_t part) const;
    /// Appends what is known of the suspected parts.
    void fillStatuses(google::protobuf::RepeatedPtrField<wire::prompt_part_status>& statuses, time_point now) const;
    bool hasSuspects() const { return !m_suspects.empty(); }

private:
    struct known_part {
        std::uint64_t part;
        time_point succeededAt;
    };
    /// The most recently used part first.
    std::list<known_part> m_recent;
    std::unordered_map<std::uint64_t, std::list<known_part>::iterator> m_known;
    /// Calls without the part that ran to their end since it was suspected, by part.
    std::map<std::uint64_t, std::uint32_t> m_suspects;
};

} // namespace pistachiolatch
