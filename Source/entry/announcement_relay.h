#pragma once
#include "session/session.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// Passes endpoints' announcements on to the owner of their pool, and the latest ones again to a new owner.
/// Control thread only.
class announcement_relay {
public:
    announcement_relay(control_loop& loop, control_session& session);

    void announce(wire::endpoint_announcement announcement);
    /// Tells new owners what was heard lately.
    void onShards();
    void tick(time_point now);

private:
    struct heard {
        wire::endpoint_announcement announcement;
        time_point at;
    };
    void forward(const heard& one, const wire::shard_owner& owner);

    control_loop& m_loop;
    control_session& m_session;
    std::map<std::string, heard> m_heard;
    std::map<std::string, std::uint64_t> m_knownEpochs;
};

} // namespace pistachiolatch
