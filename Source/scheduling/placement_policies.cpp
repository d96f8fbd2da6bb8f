#include "scheduling/placement_policies.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    constexpr const char* prefillRole = "prefill";
    constexpr const char* decodeRole = "decode";
    constexpr const char* serviceRole = "service";
    /// Prompts that may stand on one prefill engine: one that runs and one behind it, so that the engine never idles
    /// between two and no prompt waits where another engine may be free sooner.
    constexpr std::uint32_t mostPromptsPerEngine = 2;

    bool isServiceCall(const pool_request& request)
    {
        return request.place.shard().rfind("service:", 0) == 0;
    }

    /// The service endpoint with the fewest own calls, among those with room when `bounded`.
    std::optional<chosen_endpoints> chooseService(const pool_endpoints& endpoints, const std::set<std::string>& exclude, bool bounded, bool breaker, time_point now)
    {
        std::optional<chosen_endpoints> best;
        std::uint32_t least = 0;
        for (const auto& id : endpoints.usable(serviceRole, exclude, breaker, now)) {
            auto calls = endpoints.loadOf(id).requests;
            if (bounded && calls >= endpoints.table().find(id)->slots())
                continue;
            if (best && calls >= least)
                continue;
            least = calls;
            best = chosen_endpoints { "", id, {} };
        }
        return best;
    }

    struct prefill_choice {
        std::string id;
        time_point ends;
    };

    std::optional<prefill_choice> choosePrefill(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now)
    {
        auto ids = endpoints.usable(prefillRole, exclude, breaker, now);
        auto withLong = static_cast<std::size_t>(std::count_if(ids.begin(), ids.end(), [&](const auto& id) { return endpoints.loadOf(id).longPrompts > 0; }));
        bool isLong = request.place.prompt_tokens() > longPromptTokens;
        std::optional<prefill_choice> best;
        for (const auto& id : ids) {
            const auto& load = endpoints.loadOf(id);
            if (load.requests >= mostPromptsPerEngine)
                continue;
            // One engine stays clear of long prompts, or short ones would stand behind them on every engine.
            if (isLong && load.longPrompts == 0 && ids.size() > 1 && withLong + 1 >= ids.size())
                continue;
            auto ends = std::max(now, load.busyUntil) + endpoints.prefillTime(id, request.place.prompt_tokens(), request.place.prefix());
            if (!best || ends < best->ends)
                best = prefill_choice { id, ends };
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
    for (const auto& id : endpoints.usable(decodeRole, exclude, breaker, now)) {
        const auto& load = endpoints.loadOf(id);
        auto ready = std::max(prefill->ends, load.busyUntil) + endpoints.transferTime(prefill->id, id, request.place.prompt_tokens());
        if (!endpoints.fitsAt(id, request.pieces(), ready))
            continue;
        // The link that is free first; among equals the engine with the fewest requests, which also steps fastest.
        constexpr milliseconds sameMoment { 5 };
        bool sooner = !best || ready + sameMoment < bestReady;
        bool lighter = best && ready < bestReady + sameMoment && load.requests < bestRequests;
        if (!sooner && !lighter)
            continue;
        best = chosen_endpoints { prefill->id, id, ready };
        bestReady = ready;
        bestRequests = load.requests;
    }
    return best;
}

std::optional<chosen_endpoints> round_robin_policy::choose(const pool_endpoints& endpoints, const pool_request& request, const std::set<std::string>& exclude, bool breaker, time_point now)
{
    ++m_turn;
    auto pick = [&](const char* role) {
        auto ids = endpoints.usable(role, exclude, breaker, now);
        return ids.empty() ? std::string() : ids[m_turn % ids.size()];
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
        auto ids = endpoints.usable(role, exclude, breaker, now);
        auto reported = [&](const std::string& id) {
            const auto* endpoint = endpoints.table().find(id);
            return endpoint->running() + endpoint->waiting();
        };
        auto least = std::min_element(ids.begin(), ids.end(), [&](const auto& a, const auto& b) { return reported(a) < reported(b); });
        return least == ids.end() ? std::string() : *least;
    };
    chosen_endpoints chosen;
    chosen.decode = pick(isServiceCall(request) ? serviceRole : decodeRole);
    if (!isServiceCall(request))
        chosen.prefill = pick(prefillRole);
    if (chosen.decode.empty() || (!isServiceCall(request) && chosen.prefill.empty()))
        return std::nullopt;
    return chosen;
}

std::optional<any_policy> policyByName(const std::string& name)
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
