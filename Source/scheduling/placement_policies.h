#pragma once
#include "scheduling/pool_endpoints.h"
#include <concepts>
#include <optional>
#include <string>
#include <variant>

namespace pistachiolatch {

/// Chooses endpoints for a request, or none while it must wait.
template <typename T>
concept placement_policy = requires(T policy, const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now)
{
    {
        policy.choose(endpoints, request, exclude, breaker, now)
        } -> std::same_as<std::optional<chosen_endpoints>>;
    /// Whether it holds requests back until endpoints have room.
    {
        T::queues
        } -> std::convertible_to<bool>;
};

/// Reserves the decode slot, memory and link before the prefill starts, because a prefill that finds no slot is lost.
class reserve_policy {
public:
    static constexpr bool queues = true;
    std::optional<chosen_endpoints> choose(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now);
};

/// Baseline: the next endpoint of each role in turn, at once.
class round_robin_policy {
public:
    static constexpr bool queues = false;
    std::optional<chosen_endpoints> choose(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now);

private:
    std::size_t m_turn = 0;
};

/// Baseline: the endpoint of each role whose last report showed the least load, at once.
class least_reported_policy {
public:
    static constexpr bool queues = false;
    std::optional<chosen_endpoints> choose(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now);
};

static_assert(placement_policy<reserve_policy> && placement_policy<round_robin_policy> && placement_policy<least_reported_policy>);

using policy_variant = std::variant<reserve_policy, round_robin_policy, least_reported_policy>;

/// The policy with that name, or nothing.
std::optional<policy_variant> makePolicy(const std::string& name);

} // namespace pistachiolatch
