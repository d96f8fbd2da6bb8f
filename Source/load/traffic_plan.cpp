#include "load/traffic_plan.h"

#include "kernel/toml_parser.h"
#include <algorithm>
#include <random>

namespace pistachiolatch {

namespace {
    constexpr std::size_t bytesPerToken = 4;
    constexpr std::uint32_t promptTokenLimit = 200000;

    class traffic_plan_parser {
    public:
        traffic_plan_parser(std::string path, double scale)
            : m_path(std::move(path))
            , m_scale(scale)
        {
        }

        result<traffic_plan> parse(const toml::table& table)
        {
            traffic_plan plan;
            checkKeys(table, { "seed", "length_ms", "warm_up_ms", "first_token_ms", "per_token_ms", "stream" });
            plan.seed = static_cast<std::uint64_t>(readInteger(table, "seed", 1, 0, INT64_MAX));
            constexpr std::int64_t oneHour = 3600 * 1000;
            plan.duration = milliseconds(readInteger(table, "length_ms", plan.duration.count(), 100, oneHour));
            plan.warmUp = milliseconds(readInteger(table, "warm_up_ms", plan.warmUp.count(), 0, plan.duration.count()));
            plan.firstTokenTarget = milliseconds(readInteger(table, "first_token_ms", plan.firstTokenTarget.count(), 1, oneHour));
            plan.perTokenTarget = milliseconds(readInteger(table, "per_token_ms", plan.perTokenTarget.count(), 1, oneHour));
            const auto* streams = table["stream"].as_array();
            if (!streams || !streams->is_array_of_tables())
                recordError(table, "stream", "is missing; write each stream as [[stream]]");
            else
                for (const auto& item : *streams)
                    plan.streams.push_back(parseStream(*item.as_table()));
            if (!m_firstError.empty())
                return failure { m_firstError };
            return plan;
        }

    private:
        traffic_stream parseStream(const toml::table& table)
        {
            checkKeys(table, { "name", "organisation", "kind", "target", "per_second", "prompt_tokens", "max_tokens", "method", "leave_percent", "prefixes", "within_rate" });
            traffic_stream stream;
            stream.name = readString(table, "name", "");
            stream.organisation = readString(table, "organisation", "");
            stream.kind = readString(table, "kind", stream.kind);
            stream.target = readString(table, "target", "");
            stream.method = readString(table, "method", stream.method);
            if (stream.kind != "model" && stream.kind != "service")
                recordError(table, "kind", "must be \"model\" or \"service\"");
            if (stream.method != "GET" && stream.method != "POST")
                recordError(table, "method", "must be \"GET\" or \"POST\"");
            auto rate = table["per_second"].value<double>();
            constexpr double maxRequestsPerSecond = 100000;
            if (!rate || *rate <= 0 || *rate > maxRequestsPerSecond)
                recordError(table, "per_second", "must be a number above 0");
            stream.requestsPerSecond = rate.value_or(1) * m_scale;
            parsePromptTokens(table, stream);
            stream.maxTokens = static_cast<std::uint32_t>(readInteger(table, "max_tokens", stream.maxTokens, 1, 100000));
            stream.abandonPercent = static_cast<std::uint32_t>(readInteger(table, "leave_percent", 0, 0, 100));
            stream.prefixCount = static_cast<std::uint32_t>(readInteger(table, "prefixes", 0, 0, 10000));
            stream.withinRate = table["within_rate"].value_or(true);
            return stream;
        }

        void parsePromptTokens(const toml::table& table, traffic_stream& stream)
        {
            const auto* range = table["prompt_tokens"].as_array();
            if (!range && stream.kind == "service")
                return;
            bool isPair = range && range->size() == 2;
            std::int64_t min = isPair ? range->get(0)->value_or<std::int64_t>(0) : 0;
            std::int64_t max = isPair ? range->get(1)->value_or<std::int64_t>(0) : 0;
            if (min < 1 || max < min || max > promptTokenLimit) {
                recordError(table, "prompt_tokens", fmt::format("must be [MIN, MAX] from 1 to {}", promptTokenLimit));
                return;
            }
            stream.minPromptTokens = static_cast<std::uint32_t>(min);
            stream.maxPromptTokens = static_cast<std::uint32_t>(max);
        }

        std::string readString(const toml::table& table, const char* key, const std::string& fallback)
        {
            if (!table.contains(key) && !fallback.empty())
                return fallback;
            auto value = table[key].value_exact<std::string>();
            if (!value || value->empty())
                recordError(table, key, "must be a string that is not empty");
            return value.value_or(fallback);
        }

        std::int64_t readInteger(const toml::table& table, const char* key, std::int64_t fallback, std::int64_t min, std::int64_t max)
        {
            if (!table.contains(key))
                return fallback;
            auto value = table[key].value_exact<std::int64_t>();
            if (!value || *value < min || *value > max)
                recordError(table, key, fmt::format("must be an integer from {} to {}", min, max));
            return value.value_or(fallback);
        }

        void checkKeys(const toml::table& table, const std::vector<std::string>& known)
        {
            for (const auto& [key, value] : table) {
                if (std::find(known.begin(), known.end(), key.str()) == known.end())
                    recordErrorAt(value.source().begin.line, std::string(key.str()), "unknown key; remove it or correct its spelling");
            }
        }

        void recordError(const toml::table& table, const char* key, const std::string& message)
        {
            const auto* node = table.get(key);
            recordErrorAt(node ? node->source().begin.line : table.source().begin.line, key, message);
        }

        void recordErrorAt(toml::source_index line, const std::string& key, const std::string& message)
        {
            if (m_firstError.empty())
                m_firstError = fmt::format("{}:{}: {}: {}", m_path, line, key, message);
        }

        std::string m_path;
        double m_scale;
        std::string m_firstError;
    };

    std::string makePrompt(const traffic_stream& stream, std::uint64_t number, std::mt19937_64& random)
    {
        std::uniform_int_distribution<std::uint32_t> size(stream.minPromptTokens, stream.maxPromptTokens);
        auto bytes = size(random) * bytesPerToken;
        // The request number comes last, so that prompts with the same document number share a prefix.
        auto document = stream.prefixCount > 0 ? random() % stream.prefixCount : number;
        auto prompt = fmt::format("{} document {} ", stream.name, document);
        auto suffix = fmt::format(" request {}", number);
        while (prompt.size() + suffix.size() < bytes)
            prompt += "The quick safety data sheet covers solvents and depots. ";
        if (prompt.size() + suffix.size() > bytes && bytes > suffix.size())
            prompt.resize(std::max<std::size_t>(bytes - suffix.size(), 16));
        return prompt + suffix;
    }
}

result<traffic_plan> readTrafficPlan(const std::string& path, double scale)
{
    BOOST_OUTCOME_TRY(auto table, parseTomlFile(path));
    return traffic_plan_parser(path, scale).parse(table);
}

std::vector<planned_request> planRequests(const traffic_plan& plan)
{
    std::vector<planned_request> requests;
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < plan.streams.size(); ++i) {
        const auto& stream = plan.streams[i];
        std::mt19937_64 random(plan.seed * 1000003 + i);
        std::exponential_distribution<double> gap(stream.requestsPerSecond);
        auto end = std::chrono::duration<double>(plan.duration).count();
        for (double at = gap(random); at < end; at += gap(random)) {
            planned_request request;
            request.sendAt = std::chrono::microseconds(static_cast<std::int64_t>(at * 1e6));
            request.stream = i;
            request.number = plan.seed * 10000000 + ++number;
            if (stream.kind == "model")
                request.prompt = makePrompt(stream, request.number, random);
            request.abandons = random() % 100 < stream.abandonPercent;
            requests.push_back(std::move(request));
        }
    }
    std::sort(requests.begin(), requests.end(), [](const auto& a, const auto& b) { return a.sendAt < b.sendAt; });
    return requests;
}

} // namespace pistachiolatch
