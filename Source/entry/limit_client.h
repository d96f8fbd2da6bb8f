#pragma once
#include "limits/limits.h"
#include "session/session.h"
#include <functional>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Whether a request may spend its tokens.
struct limit_result {
    bool granted = false;
    reason why = reason::Internal;
    milliseconds retryAfter { 0 };
};

/// Gets tokens from the owners of limits, ahead of need where demand is steady. Control thread only.
class limit_client {
public:
    limit_client(control_loop& loop, control_session& session, milliseconds patience);

    /// Takes tokens for one request; the answer may come later.
    void acquire(const std::string& organisation, std::uint64_t tokens, std::function<void(limit_result)> answer);
    /// Gives back tokens that a request was charged and did not use.
    void giveBack(const std::string& organisation, std::uint64_t tokens);
    void tick(time_point now);
    /// Asks again where the owner changed.
    void onShards();
    /// Gives back everything held ahead.
    void drain();

private:
    struct question {
        std::uint64_t id;
        std::string organisation;
        std::uint64_t tokens;
        std::uint64_t askedEpoch;
        time_point deadline;
        std::function<void(limit_result)> answer;
    };
    void ask(question& one);
    void onReply(std::uint64_t id, time_point askedAt, const wire::envelope* reply);
    void finish(std::uint64_t id, limit_result verdict);
    void sendBack(const returned_tokens& back);

    control_loop& m_loop;
    control_session& m_session;
    milliseconds m_patience;
    grant_cache m_cache;
    std::map<std::uint64_t, question> m_questions;
    std::uint64_t m_lastId = 0;
};

} // namespace pistachiolatch
