#include "load/traffic_plan.h"

#include "kernel/toml_parser.h"
#include <algorithm>
#include <random>

namespace pistachiolatch {

namespace {
    constexpr std::size_t bytesPerToken = 4;
    constexpr std::uint32_t mostPromptTokens = 200000;

    class plan_reader {
    public:
        plan_reader(std::string path, double scale)
            : m_path(std::move(path))
            , m_scale(scale)
        {
        }

        result<traffic_plan> read(const toml::table& table)
        {
            traffic_plan plan;
            checkKeys(table, { "seed", "length_ms", "warm_up_ms", "first_token_ms", "per_token_ms", "stream" });
            plan.seed = static_cast<std::uint64_t>(number(table, "seed", 1, 0, INT64_MAX));
            constexpr std::int64_t oneHour = 3600 * 1000;
            plan.length = milliseconds(number(table, "length_ms", plan.length.count(), 100, oneHour));
            plan.warmUp = milliseconds(number(table, "warm_up_ms", plan.warmUp.count(), 0, plan.length.count()));
            plan.firstToken = milliseconds(number(table, "first_token_ms", plan.firstToken.count(), 1, oneHour));
            plan.perToken = milliseconds(number(table, "per_token_ms", plan.perToken.count(), 1, oneHour));
            const auto* streams = table["stream"].as_array();
            if (!streams || !streams->is_array_of_tables())
                note(table, "stream", "is missing; write each stream as [[stream]]");
            else
                for (const auto& item : *streams)
                    plan.streams.push_back(readStream(*item.as_table()));
            if (!m_problem.empty())
                return failure { m_problem };
            return plan;
        }

    private:
        traffic_stream readStream(const toml::table& table)
        {
            checkKeys(table, { "name", "organisation", "kind", "target", "per_second", "prompt_tokens", "max_tokens", "method", "leave_percent", "prefixes", "within_rate" });
            traffic_stream stream;
            stream.name = text(table, "name", "");
            stream.organisation = text(table, "organisation", "");
            stream.kind = text(table, "kind", stream.kind);
            stream.target = text(table, "target", "");
            stream.method = text(table, "method", stream.method);
            if (stream.kind != "model" && stream.kind != "service")
                note(table, "kind", "must be \"model\" or \"service\"");
            if (stream.method != "GET" && stream.method != "POST")
                note(table, "method", "must be \"GET\" or \"POST\"");
            auto rate = table["per_second"].value<double>();
            constexpr double mostPerSecond = 100000;
            if (!rate || *rate <= 0 || *rate > mostPerSecond)
                note(table, "per_second", "must be a number above 0");
            stream.perSecond = rate.value_or(1) * m_scale;
            readPromptTokens(table, stream);
            stream.maxTokens = static_cast<std::uint32_t>(number(table, "max_tokens", stream.maxTokens, 1, 100000));
            stream.leavePercent = static_cast<std::uint32_t>(number(table, "leave_percent", 0, 0, 100));
            stream.prefixes = static_cast<std::uint32_t>(number(table, "prefixes", 0, 0, 10000));
            stream.withinRate = table["within_rate"].value_or(true);
            return stream;
        }

        void readPromptTokens(const toml::table& table, traffic_stream& stream)
        {
            const auto* range = table["prompt_tokens"].as_array();
            if (!range && stream.kind == "service")
                return;
            bool pair = range && range->size() == 2;
            std::int64_t least = pair ? range->get(0)->value_or<std::int64_t>(0) : 0;
            std::int64_t most = pair ? range->get(1)->value_or<std::int64_t>(0) : 0;
            if (least < 1 || most < least || most > mostPromptTokens) {
                note(table, "prompt_tokens", fmt::format("must be [LEAST, MOST] from 1 to {}", mostPromptTokens));
                return;
            }
            stream.promptTokensLeast = static_cast<std::uint32_t>(least);
            stream.promptTokensMost = static_cast<std::uint32_t>(most);
        }

        std::string text(const toml::table& table, const char* key, const std::string& fallback)
        {
            if (!table.contains(key) && !fallback.empty())
                return fallback;
            auto value = table[key].value_exact<std::string>();
            if (!value || value->empty())
                note(table, key, "must be a string that is not empty");
            return value.value_or(fallback);
        }

        std::int64_t number(const toml::table& table, const char* key, std::int64_t fallback, std::int64_t least, std::int64_t most)
        {
            if (!table.contains(key))
                return fallback;
            auto value = table[key].value_exact<std::int64_t>();
            if (!value || *value < least || *value > most)
                note(table, key, fmt::format("must be an integer from {} to {}", least, most));
            return value.value_or(fallback);
        }

        void checkKeys(const toml::table& table, const std::vector<std::string>& known)
        {
            for (const auto& [key, value] : table) {
                if (std::find(known.begin(), known.end(), key.str()) == known.end())
                    noteAt(value.source().begin.line, std::string(key.str()), "unknown key; remove it or correct its spelling");
            }
        }

        void note(const toml::table& table, const char* key, const std::string& problem)
        {
            const auto* node = table.get(key);
            noteAt(node ? node->source().begin.line : table.source().begin.line, key, problem);
        }

        void noteAt(toml::source_index line, const std::string& key, const std::string& problem)
        {
            if (m_problem.empty())
                m_problem = fmt::format("{}:{}: {}: {}", m_path, line, key, problem);
        }

        std::string m_path;
        double m_scale;
        std::string m_problem;
    };

    std::string makePrompt(const traffic_stream& stream, std::uint64_t number, std::mt19937_64& random)
    {
        std::uniform_int_distribution<std::uint32_t> size(stream.promptTokensLeast, stream.promptTokensMost);
        auto bytes = size(random) * bytesPerToken;
        // The number stands at the end, so that prompts with one beginning share their prefix.
        auto beginning = stream.prefixes > 0 ? random() % stream.prefixes : number;
        auto prompt = fmt::format("{} document {} ", stream.name, beginning);
        auto ending = fmt::format(" request {}", number);
        while (prompt.size() + ending.size() < bytes)
            prompt += "The quick safety data sheet covers solvents and depots. ";
        if (prompt.size() + ending.size() > bytes && bytes > ending.size())
            prompt.resize(std::max<std::size_t>(bytes - ending.size(), 16));
        return prompt + ending;
    }
}

result<traffic_plan> readTrafficPlan(const std::string& path, double scale)
{
    BOOST_OUTCOME_TRY(auto table, parseTomlFile(path));
    return plan_reader(path, scale).read(table);
}

std::vector<planned_request> planRequests(const traffic_plan& plan)
{
    std::vector<planned_request> requests;
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < plan.streams.size(); ++i) {
        const auto& stream = plan.streams[i];
        std::mt19937_64 random(plan.seed * 1000003 + i);
        std::exponential_distribution<double> gap(stream.perSecond);
        auto end = std::chrono::duration<double>(plan.length).count();
        for (double at = gap(random); at < end; at += gap(random)) {
            planned_request request;
            request.at = std::chrono::microseconds(static_cast<std::int64_t>(at * 1e6));
            request.stream = i;
            request.number = plan.seed * 10000000 + ++number;
            if (stream.kind == "model")
                request.prompt = makePrompt(stream, request.number, random);
            request.leaves = random() % 100 < stream.leavePercent;
            requests.push_back(std::move(request));
        }
    }
    std::sort(requests.begin(), requests.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return requests;
}

} // namespace pistachiolatch
