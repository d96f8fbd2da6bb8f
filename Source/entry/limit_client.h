#pragma once
#include "limits/limits.h"
#include "session/session.h"
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pistachiolatch {

/// The result of acquiring tokens.
struct limit_result {
    bool granted = false;
    reason cause = reason::Internal;
    milliseconds retryAfter { 0 };
};

/// Acquires tokens from the owners of rate limits, and prefetches them where demand is steady. Control thread only.
class limit_client {
public:
    limit_client(control_loop& loop, control_session& session, milliseconds waitTimeout);

    /// Acquires tokens for one request. The callback may be called later.
    void acquire(const std::string& organisation, std::uint64_t tokens, std::function<void(limit_result)> callback);
    /// Refunds tokens that a request was charged and did not use.
    void refund(const std::string& organisation, std::uint64_t tokens);
    void tick(time_point now);
    /// Sends pending requests again to new owners.
    void handleOwnerChanges();
    /// Refunds all prefetched tokens.
    void refundUnused();

private:
    struct pending_request {
        std::uint64_t id;
        std::string organisation;
        std::uint64_t tokens;
        std::uint64_t requestEpoch;
        /// When to ask again, after the process that was asked replied that it is not the owner.
        std::optional<time_point> resendAt;
        time_point deadline;
        std::function<void(limit_result)> callback;
    };
    void sendRequest(pending_request& pending);
    void onReply(std::uint64_t id, std::uint64_t epoch, time_point sentAt, const wire::envelope* reply);
    void complete(std::uint64_t id, limit_result result);
    void sendRefund(const returned_tokens& returned);

    control_loop& m_loop;
    control_session& m_session;
    milliseconds m_waitTimeout;
    grant_cache m_cache;
    std::map<std::uint64_t, pending_request> m_pending;
    std::uint64_t m_lastId = 0;
};

} // namespace pistachiolatch
