#pragma once
#include "session/session.h"
#include <functional>
#include <map>
#include <string>

namespace pistachiolatch {

/// Asks the owners of pools for endpoints and tells them how requests go on. Survives a change of owner: what
/// waits is asked again, what runs is reported to the new owner. Control thread only.
class placement_client {
public:
    placement_client(control_loop& loop, control_session& session, metrics& counters);

    /// Asks for endpoints. The answer is a placement or a refusal in it; it comes once.
    void place(wire::place_request request, std::function<void(wire::placement)> answer);
    /// Drops a question whose caller is gone.
    void withdraw(const std::string& requestId);
    /// Tells a stage; sent again until the owner confirms it. The end of a request (finished, failed) frees its endpoints.
    void progress(wire::progress report);
    /// Reports that an endpoint broke off while it ran a request.
    void crash(wire::crash_report report);
    void tick(time_point now);
    /// Follows changes of owners.
    void onShards();
    std::size_t held() const { return m_held.size(); }

private:
    struct question {
        wire::place_request request;
        std::uint64_t askedEpoch = 0;
        time_point askedAt {};
        time_point deadline {};
        std::function<void(wire::placement)> answer;
    };
    struct held_row {
        std::string shard;
        wire::held_request request;
    };
    void ask(question& one);
    void onPlacement(const std::string& key, const wire::envelope* reply);
    void sendProgress(wire::progress report, int triesLeft);
    void sendCrash(wire::crash_report report, int triesLeft);
    void reportHeld(const wire::shard_owner& owner);

    control_loop& m_loop;
    control_session& m_session;
    metrics& m_metrics;
    std::map<std::string, question> m_questions;
    std::map<std::string, held_row> m_held;
    std::map<std::string, std::uint64_t> m_knownEpochs;
};

} // namespace pistachiolatch
