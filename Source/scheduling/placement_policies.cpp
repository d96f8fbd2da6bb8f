#include "scheduling/placement_policies.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    constexpr const char* prefillRole = "prefill";
    constexpr const char* decodeRole = "decode";
    constexpr const char* serviceRole = "service";
    /// Prompts on one prefill engine: one running and one queued, so that the engine isn't idle between two and no
    /// prompt waits there while another engine may be free sooner.
    constexpr std::uint32_t maxPromptsPerEngine = 2;

    bool isServiceCall(const pool_request& request)
    {
        return request.place.shard().rfind("service:", 0) == 0;
    }

    /// The service endpoint with the fewest calls of this pool; if `bounded`, only among those with a free slot.
    std::optional<chosen_endpoints> chooseService(const pool_endpoints& endpoints, const std::set<std::string>& exclude, bool bounded, bool breaker, time_point now)
    {
        std::optional<chosen_endpoints> best;
        std::uint32_t least = 0;
        for (const auto* endpoint : endpoints.usable(serviceRole, exclude, breaker, now)) {
            auto calls = endpoints.loadOf(endpoint->id()).requests;
            if (bounded && calls >= endpoint->slots())
                continue;
            if (best && calls >= least)
                continue;
            least = calls;
            best = chosen_endpoints { "", endpoint->id(), {} };
        }
        return best;
    }

    struct prefill_choice {
        const wire::endpoint_announcement* endpoint;
        time_point ends;
    };

    std::optional<prefill_choice> choosePrefill(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now)
    {
        auto usable = endpoints.usable(prefillRole, exclude, breaker, now);
        auto enginesWithLongPrompts = static_cast<std::size_t>(std::count_if(usable.begin(), usable.end(), [&](const auto* endpoint) { return endpoints.loadOf(endpoint->id()).longPrompts > 0; }));
        bool isLong = request.place.prompt_tokens() > longPromptTokens;
        std::optional<prefill_choice> best;
        for (const auto* endpoint : usable) {
            const auto& load = endpoints.loadOf(endpoint->id());
            if (load.requests >= maxPromptsPerEngine)
                continue;
            // Keep one engine free of long prompts, or short ones would queue behind them on every engine.
            if (isLong && load.longPrompts == 0 && usable.size() > 1 && enginesWithLongPrompts + 1 >= usable.size())
                continue;
            auto ends = std::max(now, load.busyUntil) + pool_endpoints::prefillTime(*endpoint, request.place.prompt_tokens(), request.place.prefix());
            if (!best || ends < best->ends)
                best = prefill_choice { endpoint, ends };
        }
        return best;
    }
}

std::optional<chosen_endpoints> reserve_policy::choose(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now)
{
    if (isServiceCall(request))
        return chooseService(endpoints, exclude, true, breaker, now);
    auto prefill = choosePrefill(endpoints, request, exclude, breaker, now);
    if (!prefill)
        return std::nullopt;
    std::optional<chosen_endpoints> best;
    time_point bestReady {};
    std::uint32_t bestRequests = 0;
    for (const auto* endpoint : endpoints.usable(decodeRole, exclude, breaker, now)) {
        const auto& load = endpoints.loadOf(endpoint->id());
        auto ready = std::max(prefill->ends, load.busyUntil) + pool_endpoints::transferTime(*prefill->endpoint, *endpoint, request.place.prompt_tokens());
        if (!endpoints.fitsAt(*endpoint, request.pieces(), ready))
            continue;
        // Prefer the earliest free link; among equals the engine with the fewest requests, which also has the fastest
        // steps.
        constexpr milliseconds readyTolerance { 5 };
        bool sooner = !best || ready + readyTolerance < bestReady;
        bool lighter = best && ready < bestReady + readyTolerance && load.requests < bestRequests;
        if (!sooner && !lighter)
            continue;
        best = chosen_endpoints { prefill->endpoint->id(), endpoint->id(), ready };
        bestReady = ready;
        bestRequests = load.requests;
    }
    return best;
}

std::optional<chosen_endpoints> round_robin_policy::choose(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now)
{
    ++m_next;
    auto pick = [&](const char* role) {
        auto usable = endpoints.usable(role, exclude, breaker, now);
        return usable.empty() ? std::string() : usable[m_next % usable.size()]->id();
    };
    chosen_endpoints chosen;
    chosen.decode = pick(isServiceCall(request) ? serviceRole : decodeRole);
    if (!isServiceCall(request))
        chosen.prefill = pick(prefillRole);
    if (chosen.decode.empty() || (!isServiceCall(request) && chosen.prefill.empty()))
        return std::nullopt;
    return chosen;
}

std::optional<chosen_endpoints> least_reported_policy::choose(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now)
{
    auto pick = [&](const char* role) {
        auto usable = endpoints.usable(role, exclude, breaker, now);
        auto least = std::min_element(usable.begin(), usable.end(), [](const auto* a, const auto* b) {
            return a->running() + a->waiting() < b->running() + b->waiting();
        });
        return least == usable.end() ? std::string() : (*least)->id();
    };
    chosen_endpoints chosen;
    chosen.decode = pick(isServiceCall(request) ? serviceRole : decodeRole);
    if (!isServiceCall(request))
        chosen.prefill = pick(prefillRole);
    if (chosen.decode.empty() || (!isServiceCall(request) && chosen.prefill.empty()))
        return std::nullopt;
    return chosen;
}

std::optional<policy_variant> makePolicy(const std::string& name)
{
    if (name == "reserve")
        return reserve_policy();
    if (name == "round_robin")
        return round_robin_policy();
    if (name == "least_reported")
        return least_reported_policy();
    return std::nullopt;
}

} // namespace pistachiolatch
