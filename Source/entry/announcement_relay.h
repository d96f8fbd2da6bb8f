#pragma once
#include "session/session.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// Forwards announcements of endpoints to the scheduler that owns their pool. A new owner gets the latest ones again.
/// Control thread only.
class announcement_relay {
public:
    announcement_relay(control_loop& loop, control_session& session);

    void handleAnnouncement(wire::endpoint_announcement announcement);
    /// Forwards the latest announcements to new owners.
    void handleOwnerChanges();
    void tick(time_point now);

private:
    struct received_announcement {
        wire::endpoint_announcement announcement;
        time_point receivedAt;
    };
    void forward(const received_announcement& received, const wire::shard_owner& owner);

    control_loop& m_loop;
    control_session& m_session;
    /// The latest announcement of each endpoint, by its id.
    std::map<std::string, received_announcement> m_latest;
    std::map<std::string, std::uint64_t> m_knownEpochs;
};

} // namespace pistachiolatch
