#pragma once
#include "limits/limits.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <optional>
#include <string>

namespace pistachiolatch {

/// The limits that endpoints name in their responses, as an entry knows them: from responses that it received itself and
/// from the leader, which collects them from all entries. The leader counts the calls that it places. While no leader places
/// a call, entries keep to equal shares of less than the limit, so that their calls and those of a leader that other entries
/// still reach together stay within what endpoints tolerate. Pure; not thread-safe.
class endpoint_limits {
public:
    explicit endpoint_limits(std::uint64_t seed);

    /// Handles a response of an endpoint to a request that was sent at `sentAt`; it names a limit in calls per second, or
    /// none. Returns whether the limit is a new one, which the leader must learn.
    bool onResponse(const std::string& endpoint, std::uint64_t incarnation, std::optional<double> limit, time_point sentAt, time_point now);
    /// Applies the limit in a row of the leader's directory.
    void onRow(const wire::endpoint_row& row, time_point now);
    /// The endpoint's limit in calls per second; empty if it has none.
    std::optional<double> limitOf(const std::string& endpoint) const;
    /// Takes a call from this entry's share of the endpoint's limit. Returns whether the endpoint may get the call, which is
    /// always so without a limit.
    bool tryTake(const std::string& endpoint, unsigned entries, time_point now);
    /// The statement about an endpoint for the leader. Precondition: onResponse() returned true for the endpoint.
    wire::endpoint_limit statement(const std::string& endpoint, time_point now) const;
    /// Appends the statements that the leader may not know.
    void fillUnreported(google::protobuf::RepeatedPtrField<wire::endpoint_limit>& limits, time_point now) const;
    /// Marks the statements that were made before a time as known to the leader.
    void markReported(time_point until);
    /// Handles a new leader, which may know no limits.
    void onLeaderChanged();

private:
    struct limit_statement {
        std::optional<double> limit;
        time_point statedAt {};
    };
    struct known_limit {
        std::uint64_t incarnation = 0;
        /// What responses to this entry stated, and whether the leader knows it.
        limit_statement own;
        bool reported = true;
        /// What the leader's directory states, and when it last did.
        limit_statement told;
        /// When a response or the leader last stated a limit.
        time_point namedAt {};

        const limit_statement& current() const { return told.statedAt >= own.statedAt ? told : own; }
    };
    /// The record of this run of the endpoint; null if a later run is known.
    known_limit* findOrAdd(const std::string& endpoint, std::uint64_t incarnation);

    fallback_limiter m_shares;
    std::map<std::string, known_limit> m_limits;
};

} // namespace pistachiolatch
