#pragma once
#include "coordination/origin_poll.h"
#include "peering/peering.h"
#include <functional>

namespace pistachiolatch {

/// The control processes that an entry knows.
struct known_controls {
    std::vector<std::string> addresses;
    /// Empty if none is known.
    std::string leader;
};

/// An entry's part in knowing where streams began: it remembers its own streams, tells control of those that no leader placed,
/// and asks control for all others. Thread safety: the thread that runs the context.
class stream_origin_client {
public:
    using resolution_handler = std::function<void(const origin_resolution&)>;

    /// Preconditions: the references outlive the client; `controls` may be called at any time.
    stream_origin_client(peer_network& network, const clock_source& clock, std::function<known_controls()> controls);

    /// Records where a stream is placed before it is sent there. The leader knows the placements that it chose itself; all
    /// control processes are told of others at once, because this entry may end before its next sync.
    void recordPlacement(const wire::stream_origin& origin, bool chosenByLeader);
    /// Finds out where a stream began. Without an answer from enough control processes in time, the handler is told so. It may
    /// be called at once.
    void resolve(const wire::stream_origin_query& query, resolution_handler handler);
    /// Appends the origins that the leader may not know.
    void fillUnreported(google::protobuf::RepeatedPtrField<wire::stream_origin>& origins);
    /// Marks the origins in syncs that were sent before a time as known to the leader.
    void markReported(time_point until);
    /// Handles a new leader, which may know none of them.
    void onLeaderChanged();

private:
    struct running_poll {
        origin_poll poll;
        resolution_handler handler;
        bool done = false;
    };

    peer_network& m_network;
    const clock_source& m_clock;
    std::function<known_controls()> m_controls;
    stream_origin_table m_own;
    /// Streams whose origins the leader may not know, with the time of the last sync that told them; zero if none did.
    std::map<std::uint64_t, time_point> m_unreported;
};

} // namespace pistachiolatch
