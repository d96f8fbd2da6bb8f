#include "records/record_types.h"

#include <algorithm>
#include <boost/json.hpp>

namespace pistachiolatch {

namespace {
    namespace json = boost::json;
    constexpr std::int64_t mostTokens = 1'000'000'000'000;

    /// Reads one record's body field by field and collects the first problem; fields never asked for are unknown.
    class body_reader {
    public:
        explicit body_reader(const wire::record& record)
            : m_record(record)
        {
            json::error_code error;
            auto value = json::parse(record.body(), error);
            if (error || !value.is_object())
                note("body", "is not a JSON object");
            else
                m_object = value.get_object();
            if (record.schema_version() < 1 || record.schema_version() > newestSchemaVersion)
                note("schema_version", fmt::format("is {}; this build knows 1 to {}", record.schema_version(), newestSchemaVersion));
        }

        std::string text(const char* field, bool required = true)
        {
            const auto* value = look(field);
            if (!value && required)
                note(field, "is missing");
            if (!value)
                return {};
            if (!value->is_string() || value->get_string().empty()) {
                note(field, fmt::format("is {}; it must be a string that is not empty", json::serialize(*value)));
                return {};
            }
            return std::string(value->get_string());
        }

        std::int64_t integer(const char* field, std::int64_t least, std::int64_t most, std::int64_t fallback, bool required)
        {
            const auto* value = look(field);
            if (!value && required)
                note(field, "is missing");
            if (!value)
                return fallback;
            if (!value->is_int64() || value->get_int64() < least || value->get_int64() > most) {
                note(field, fmt::format("is {}; it must be an integer from {} to {}", json::serialize(*value), least, most));
                return fallback;
            }
            return value->get_int64();
        }

        bool flag(const char* field, bool fallback)
        {
            const auto* value = look(field);
            if (!value)
                return fallback;
            if (!value->is_bool()) {
                note(field, fmt::format("is {}; it must be true or false", json::serialize(*value)));
                return fallback;
            }
            return value->get_bool();
        }

        std::set<std::string> texts(const char* field, std::set<std::string> fallback)
        {
            const auto* value = look(field);
            if (!value)
                return fallback;
            std::set<std::string> items;
            if (!value->is_array()) {
                note(field, fmt::format("is {}; it must be a list of strings", json::serialize(*value)));
                return fallback;
            }
            for (const auto& item : value->get_array()) {
                if (!item.is_string())
                    note(field, "must hold strings only");
                else
                    items.emplace(item.get_string());
            }
            return items;
        }

        template <typename T>
        result<T> finish(T value)
        {
            for (const auto& member : m_object) {
                if (!m_known.count(std::string(member.key())))
                    note(member.key(), fmt::format("is unknown in schema {}", m_record.schema_version()));
            }
            if (m_problem.empty())
                return value;
            return failure { m_problem };
        }

        bool newerThan(std::uint32_t schema) const { return m_record.schema_version() > schema; }

        void note(std::string_view field, const std::string& problem)
        {
            if (m_problem.empty())
                m_problem = fmt::format("{} \"{}\": {} {}", m_record.kind(), m_record.name(), field, problem);
        }

    private:
        const json::value* look(const char* field)
        {
            m_known.insert(field);
            return m_object.if_contains(field);
        }

        const wire::record& m_record;
        json::object m_object;
        std::set<std::string> m_known;
        std::string m_problem;
    };

    template <typename Decoder>
    result<void> check(const wire::record& record, Decoder decode)
    {
        auto decoded = decode(record);
        if (!decoded)
            return decoded.error();
        return ok();
    }
}

result<organisation_record> decodeOrganisation(const wire::record& record)
{
    body_reader body(record);
    organisation_record value;
    value.models = body.texts("models", {});
    value.services = body.texts("services", {});
    constexpr std::int64_t mostWeight = 1000;
    if (body.newerThan(1))
        value.weight = static_cast<std::uint32_t>(body.integer("weight", 1, mostWeight, 1, true));
    return body.finish(std::move(value));
}

result<key_record> decodeKey(const wire::record& record)
{
    body_reader body(record);
    key_record value;
    value.organisation = body.text("organisation");
    value.sha256 = body.text("sha256");
    value.withdrawn = body.flag("withdrawn", false);
    constexpr std::size_t digestLength = 64;
    if (value.sha256.size() != digestLength || value.sha256.find_first_not_of("0123456789abcdef") != std::string::npos)
        body.note("sha256", "must be 64 lower-case hexadecimal digits; issue keys with pistachiolatch key issue");
    return body.finish(std::move(value));
}

result<limit_record> decodeLimit(const wire::record& record)
{
    body_reader body(record);
    limit_record value;
    value.rate = static_cast<std::uint64_t>(body.integer("rate", 1, mostTokens, 1, true));
    value.burst = static_cast<std::uint64_t>(body.integer("burst", 1, mostTokens, 1, true));
    constexpr std::int64_t wholePool = 100;
    if (body.newerThan(1))
        value.inFlightShare = static_cast<std::uint32_t>(body.integer("in_flight_share", 1, wholePool, wholePool, true));
    // Below this the reserve for late grants would leave nothing to grant.
    if (value.burst * 2 < value.rate)
        body.note("burst", fmt::format("is {}; it must be at least half of the rate {}", value.burst, value.rate));
    return body.finish(value);
}

result<endpoint_role_record> decodeEndpointRole(const wire::record& record)
{
    body_reader body(record);
    endpoint_role_record value;
    value.revision = record.revision();
    value.role = body.text("role");
    value.model = body.text("model");
    value.version = body.text("model_version");
    if (value.role != "prefill" && value.role != "decode")
        body.note("role", "must be \"prefill\" or \"decode\"");
    return body.finish(std::move(value));
}

result<service_record> decodeService(const wire::record& record)
{
    body_reader body(record);
    service_record value;
    value.nonIdempotentMethods = body.texts("non_idempotent_methods", value.nonIdempotentMethods);
    value.idempotencyKeyRequired = body.flag("idempotency_key_required", true);
    constexpr std::int64_t mostMillis = 600'000;
    value.deadline = milliseconds(body.integer("deadline_ms", 1, mostMillis, value.deadline.count(), false));
    value.costTokens = static_cast<std::uint32_t>(body.integer("cost_tokens", 0, 1'000'000, value.costTokens, false));
    return body.finish(std::move(value));
}

result<model_record> decodeModel(const wire::record& record)
{
    body_reader body(record);
    model_record value;
    constexpr std::int64_t mostMillis = 600'000;
    value.version = body.text("model_version");
    value.firstTokenTarget = milliseconds(body.integer("first_token_ms", 1, mostMillis, value.firstTokenTarget.count(), false));
    value.perTokenTarget = milliseconds(body.integer("per_token_ms", 1, mostMillis, value.perTokenTarget.count(), false));
    value.queueTimeout = milliseconds(body.integer("patience_ms", 1, mostMillis, value.queueTimeout.count(), false));
    value.maxTokensDefault = static_cast<std::uint32_t>(body.integer("max_tokens_default", 1, 1'000'000, value.maxTokensDefault, false));
    return body.finish(std::move(value));
}

const std::vector<std::string>& recordKinds()
{
    static const std::vector<std::string> kinds { "organisation", "limit", "key", "model", "service", "endpoint_role" };
    return kinds;
}

result<void> validateRecordShape(const wire::record& record)
{
    const auto& kinds = recordKinds();
    if (std::find(kinds.begin(), kinds.end(), record.kind()) == kinds.end())
        return failure { fmt::format("kind \"{}\" is unknown; use one of {}", record.kind(), fmt::join(kinds, ", ")) };
    constexpr std::size_t longestName = 128;
    bool printable = std::all_of(record.name().begin(), record.name().end(), [](unsigned char c) { return c > ' ' && c < 0x7f && c != '/' && c != '"'; });
    if (record.name().empty() || record.name().size() > longestName || !printable)
        return failure { fmt::format("{} \"{}\": the name must have 1 to {} printable characters without space, slash or quote", record.kind(), record.name(), longestName) };
    if (record.version() == 0)
        return failure { fmt::format("{} \"{}\": version must be 1 or more", record.kind(), record.name()) };
    return ok();
}

result<void> validateRecord(const wire::record& record)
{
    BOOST_OUTCOME_TRYV(validateRecordShape(record));
    if (record.removed())
        return ok();
    if (record.kind() == "organisation")
        return check(record, decodeOrganisation);
    if (record.kind() == "limit")
        return check(record, decodeLimit);
    if (record.kind() == "key")
        return check(record, decodeKey);
    if (record.kind() == "model")
        return check(record, decodeModel);
    if (record.kind() == "service")
        return check(record, decodeService);
    return check(record, decodeEndpointRole);
}

std::string recordDigest(const wire::record& record)
{
    return sha256Hex(fmt::format("{}\n{}\n{}\n{}\n{}\n{}", record.kind(), record.name(), record.version(), record.schema_version(), record.removed(), record.body()));
}

} // namespace pistachiolatch
