#pragma once
#include "forwarding/endpoint_connection.h"
#include <map>
#include <vector>

namespace pistachiolatch {

/// Connections to endpoints that wait for their next call, by endpoint. The newest is used first, so that the others
/// run into their idle time. Used on one thread.
class connection_pool {
public:
    explicit connection_pool(const clock_source& clock)
        : m_clock(clock)
    {
    }

    /// A connection that can be used, or null. A call that must not run twice takes only one that was used a moment
    /// ago: if the endpoint closes an idle connection just as the call goes out, nobody can tell whether it ran.
    std::shared_ptr<endpoint_connection> take(const std::string& endpointId, bool mayBeRepeated);
    /// Puts a reusable connection aside.
    void put(const std::string& endpointId, std::shared_ptr<endpoint_connection> connection, std::optional<std::chrono::seconds> keepAlive);
    /// Closes what has been idle for too long.
    void dropStale();
    std::size_t size() const;

private:
    const clock_source& m_clock;
    std::map<std::string, std::vector<std::shared_ptr<endpoint_connection>>> m_idle;
};

} // namespace pistachiolatch
