#pragma once
#include "forwarding/endpoint_connection.h"
#include <map>
#include <vector>

namespace pistachiolatch {

/// Idle connections by endpoint. The most recently used one is reused first, so that surplus connections reach their
/// idle timeout. Used on one thread.
class connection_pool {
public:
    explicit connection_pool(const clock_source& clock)
        : m_clock(clock)
    {
    }

    /// Returns a usable connection that has not carried a request of this id, or null. A non-idempotent call only gets a recently used
    /// connection: if the endpoint closes an idle connection while the call is being sent, it is unknown whether the call has run.
    std::shared_ptr<endpoint_connection> acquire(const std::string& endpointId, const std::string& requestId, bool idempotent);
    /// Returns a reusable connection to the pool; a relayed one is closed.
    void release(const std::string& endpointId, std::shared_ptr<endpoint_connection> connection, std::optional<std::chrono::seconds> keepAlive);
    /// Closes the idle connections to an endpoint.
    void discard(const std::string& endpointId);
    /// Closes connections that have reached their idle timeout.
    void closeExpired();
    std::size_t size() const;

private:
    const clock_source& m_clock;
    std::map<std::string, std::vector<std::shared_ptr<endpoint_connection>>> m_idle;
};

} // namespace pistachiolatch
