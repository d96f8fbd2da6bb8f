#pragma once
#include "coordination/prompt_part_history.h"
#include <optional>

namespace pistachiolatch {

/// Whether requests are refused because endpoints crash while running them.
enum class request_block {
    None,
    /// Connections to endpoints broke while they ran the request; whether the endpoints crashed is not known yet.
    Suspected,
    Certain,
};

/// An entry's side of the blocks of prompt parts: the blocks that the leader decided on, and what the entry tells the leader of the
/// parts that it suspects. Pure; not thread-safe.
class prompt_part_client {
public:
    /// Replaces the blocks and the suspected parts. Returns whether there are other suspects than before, of which the leader
    /// wants to hear.
    bool apply(const wire::blocked_requests& update, time_point now);
    /// Whether a prompt with these parts is blocked.
    request_block blockOf(const std::vector<std::uint64_t>& parts, time_point now);
    /// Records that a call with these parts ran to its end. Returns whether the leader is to be told at once.
    bool recordSuccess(const std::vector<std::uint64_t>& parts, time_point now);
    prompt_part_history& history() { return m_history; }
    const prompt_part_history& history() const { return m_history; }
    /// Appends the certain blocks, each with the time since it refused a request.
    void fillHeld(wire::blocked_requests& held, time_point now) const;
    std::size_t blockCount() const { return m_blocks.size(); }

private:
    struct part_block {
        bool certain = false;
        time_point usedAt {};
    };
    prompt_part_history m_history;
    std::map<std::vector<std::uint64_t>, part_block> m_blocks;
    std::vector<std::uint64_t> m_suspects;
    time_point m_toldAt {};
};

} // namespace pistachiolatch
