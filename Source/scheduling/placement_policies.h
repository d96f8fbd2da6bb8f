#pragma once
#include "scheduling/pool_endpoints.h"
#include <concepts>
#include <optional>
#include <string>
#include <variant>

namespace pistachiolatch {

/// Chooses the endpoints for a request, or none while the request must wait.
template <typename T>
concept placement_policy = requires(T policy, const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now)
{
    {
        policy.choose(endpoints, request, exclude, breaker, now)
        } -> std::same_as<std::optional<chosen_endpoints>>;
    /// Whether it queues requests until endpoints have capacity.
    {
        T::queues
        } -> std::convertible_to<bool>;
};

/// Reserves the decode slot, memory and link before the prefill starts, because a prefill without a free slot is
/// wasted.
class reserve_policy {
public:
    static constexpr bool queues = true;
    std::optional<chosen_endpoints> choose(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now);
};

/// Baseline: the next endpoint of each role in turn, without queueing.
class round_robin_policy {
public:
    static constexpr bool queues = false;
    std::optional<chosen_endpoints> choose(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now);

private:
    std::size_t m_next = 0;
};

/// Baseline: the endpoint of each role with the least load in its last report, without queueing.
class least_reported_policy {
public:
    static constexpr bool queues = false;
    std::optional<chosen_endpoints> choose(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now);
};

static_assert(placement_policy<reserve_policy> && placement_policy<round_robin_policy> && placement_policy<least_reported_policy>);

using policy_variant = std::variant<reserve_policy, round_robin_policy, least_reported_policy>;

/// Creates the policy of that name; nullopt if there is none.
std::optional<policy_variant> makePolicy(const std::string& name);

} // namespace pistachiolatch
