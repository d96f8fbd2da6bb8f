#pragma once
#include "session/session.h"
#include <functional>
#include <map>
#include <string>

namespace pistachiolatch {

/// Requests placements from the owners of pools and reports the progress of placed requests. When an owner changes,
/// pending requests are sent again and running ones are reported to the new owner. Control thread only.
class placement_client {
public:
    placement_client(control_loop& loop, control_session& session, metrics& counters);

    /// Requests endpoints. The callback is called once, with a placement or a refusal.
    void requestPlacement(wire::place_request request, std::function<void(wire::placement)> callback);
    /// Withdraws the pending placement of a request whose caller has disconnected.
    void withdraw(const std::string& requestId);
    /// Reports a stage, with a few retries until the owner confirms it. The end of a request frees its endpoints.
    void reportProgress(wire::progress report);
    /// Reports that an endpoint's connection broke while it ran a request.
    void reportCrash(wire::crash_report report);
    void tick(time_point now);
    /// Reports running requests to new owners and sends pending ones again.
    void handleOwnerChanges();
    std::size_t heldCount() const { return m_heldPlacements.size(); }

private:
    struct pending_request {
        wire::place_request request;
        std::uint64_t requestEpoch = 0;
        time_point sentAt {};
        time_point deadline {};
        std::function<void(wire::placement)> callback;
    };
    struct held_placement {
        std::string shard;
        wire::held_request request;
    };
    void sendRequest(pending_request& pending);
    void onPlacement(const std::string& key, const wire::envelope* reply);
    void sendProgress(wire::progress report, int attemptsLeft);
    void sendCrash(wire::crash_report report, int attemptsLeft);
    void reportHeldPlacements(const wire::shard_owner& owner);

    control_loop& m_loop;
    control_session& m_session;
    metrics& m_metrics;
    std::map<std::string, pending_request> m_pending;
    std::map<std::string, held_placement> m_heldPlacements;
    std::map<std::string, std::uint64_t> m_knownEpochs;
};

} // namespace pistachiolatch
