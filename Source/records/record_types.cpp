#include "records/record_types.h"

#include <algorithm>
#include <boost/json.hpp>

namespace pistachiolatch {

namespace {
    namespace json = boost::json;
    constexpr std::int64_t maxTokens = 1'000'000'000'000;

    /// Reads the fields of a record's body and keeps the first problem. Fields that were never read are unknown.
    class body_reader {
    public:
        explicit body_reader(const wire::record& record)
            : m_record(record)
        {
            json::error_code error;
            auto value = json::parse(record.body(), error);
            if (error || !value.is_object())
                addProblem("body", "is not a JSON object");
            else
                m_object = value.get_object();
            if (record.schema_version() < 1 || record.schema_version() > newestSchemaVersion)
                addProblem("schema_version", fmt::format("is {}; this build supports 1 to {}", record.schema_version(), newestSchemaVersion));
        }

        std::string readString(const char* field, bool required = true)
        {
            const auto* value = findField(field);
            if (!value && required)
                addProblem(field, "is missing");
            if (!value)
                return {};
            if (!value->is_string() || value->get_string().empty()) {
                addProblem(field, fmt::format("is {}; it must be a string that is not empty", json::serialize(*value)));
                return {};
            }
            return std::string(value->get_string());
        }

        std::int64_t readInteger(const char* field, std::int64_t min, std::int64_t max, std::int64_t fallback, bool required)
        {
            const auto* value = findField(field);
            if (!value && required)
                addProblem(field, "is missing");
            if (!value)
                return fallback;
            if (!value->is_int64() || value->get_int64() < min || value->get_int64() > max) {
                addProblem(field, fmt::format("is {}; it must be an integer from {} to {}", json::serialize(*value), min, max));
                return fallback;
            }
            return value->get_int64();
        }

        bool readBool(const char* field, bool fallback)
        {
            const auto* value = findField(field);
            if (!value)
                return fallback;
            if (!value->is_bool()) {
                addProblem(field, fmt::format("is {}; it must be true or false", json::serialize(*value)));
                return fallback;
            }
            return value->get_bool();
        }

        std::set<std::string> readStrings(const char* field, std::set<std::string> fallback)
        {
            const auto* value = findField(field);
            if (!value)
                return fallback;
            std::set<std::string> items;
            if (!value->is_array()) {
                addProblem(field, fmt::format("is {}; it must be a list of strings", json::serialize(*value)));
                return fallback;
            }
            for (const auto& item : value->get_array()) {
                if (!item.is_string())
                    addProblem(field, "must contain only strings");
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
                    addProblem(member.key(), fmt::format("is unknown in schema {}", m_record.schema_version()));
            }
            if (m_problem.empty())
                return value;
            return failure { m_problem };
        }

        bool schemaNewerThan(std::uint32_t schema) const { return m_record.schema_version() > schema; }

        void addProblem(std::string_view field, const std::string& problem)
        {
            if (m_problem.empty())
                m_problem = fmt::format("{} \"{}\": {} {}", m_record.kind(), m_record.name(), field, problem);
        }

    private:
        const json::value* findField(const char* field)
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
    result<void> validateBody(const wire::record& record, Decoder decode)
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
    value.models = body.readStrings("models", {});
    value.services = body.readStrings("services", {});
    constexpr std::int64_t maxWeight = 1000;
    if (body.schemaNewerThan(1))
        value.weight = static_cast<std::uint32_t>(body.readInteger("weight", 1, maxWeight, 1, true));
    return body.finish(std::move(value));
}

result<key_record> decodeKey(const wire::record& record)
{
    body_reader body(record);
    key_record value;
    value.organisation = body.readString("organisation");
    value.sha256 = body.readString("sha256");
    value.withdrawn = body.readBool("withdrawn", false);
    constexpr std::size_t digestLength = 64;
    if (value.sha256.size() != digestLength || value.sha256.find_first_not_of("0123456789abcdef") != std::string::npos)
        body.addProblem("sha256", "must be 64 lower-case hexadecimal digits; issue keys with pistachiolatch key issue");
    return body.finish(std::move(value));
}

result<limit_record> decodeLimit(const wire::record& record)
{
    body_reader body(record);
    limit_record value;
    value.rate = static_cast<std::uint64_t>(body.readInteger("rate", 1, maxTokens, 1, true));
    value.burst = static_cast<std::uint64_t>(body.readInteger("burst", 1, maxTokens, 1, true));
    constexpr std::int64_t maxPercent = 100;
    if (body.schemaNewerThan(1))
        value.inFlightShare = static_cast<std::uint32_t>(body.readInteger("in_flight_share", 1, maxPercent, maxPercent, true));
    // With a smaller burst, the reserve for grants used late would leave no tokens to grant.
    if (value.burst * 2 < value.rate)
        body.addProblem("burst", fmt::format("is {}; it must be at least half of the rate {}", value.burst, value.rate));
    return body.finish(value);
}

result<endpoint_role_record> decodeEndpointRole(const wire::record& record)
{
    body_reader body(record);
    endpoint_role_record value;
    value.revision = record.revision();
    value.role = body.readString("role");
    value.model = body.readString("model");
    value.version = body.readString("model_version");
    if (value.role != "prefill" && value.role != "decode")
        body.addProblem("role", "must be \"prefill\" or \"decode\"");
    return body.finish(std::move(value));
}

result<service_record> decodeService(const wire::record& record)
{
    body_reader body(record);
    service_record value;
    value.nonIdempotentMethods = body.readStrings("non_idempotent_methods", value.nonIdempotentMethods);
    value.idempotencyKeyRequired = body.readBool("idempotency_key_required", true);
    constexpr std::int64_t maxMillis = 600'000;
    value.deadline = milliseconds(body.readInteger("deadline_ms", 1, maxMillis, value.deadline.count(), false));
    value.costTokens = static_cast<std::uint32_t>(body.readInteger("cost_tokens", 0, 1'000'000, value.costTokens, false));
    return body.finish(std::move(value));
}

result<model_record> decodeModel(const wire::record& record)
{
    body_reader body(record);
    model_record value;
    constexpr std::int64_t maxMillis = 600'000;
    value.version = body.readString("model_version");
    value.firstTokenTarget = milliseconds(body.readInteger("first_token_ms", 1, maxMillis, value.firstTokenTarget.count(), false));
    value.perTokenTarget = milliseconds(body.readInteger("per_token_ms", 1, maxMillis, value.perTokenTarget.count(), false));
    value.queueTimeout = milliseconds(body.readInteger("patience_ms", 1, maxMillis, value.queueTimeout.count(), false));
    value.maxTokensDefault = static_cast<std::uint32_t>(body.readInteger("max_tokens_default", 1, 1'000'000, value.maxTokensDefault, false));
    return body.finish(std::move(value));
}

result<evacuation_record> decodeEvacuation(const wire::record& record)
{
    constexpr std::uint32_t firstSchemaVersion = 3;
    body_reader body(record);
    evacuation_record value;
    value.evacuated = body.readBool("evacuated", true);
    if (!body.schemaNewerThan(firstSchemaVersion - 1))
        body.addProblem("schema_version", fmt::format("is {}; this kind needs {} or newer", record.schema_version(), firstSchemaVersion));
    return body.finish(value);
}

const std::vector<std::string>& recordKinds()
{
    static const std::vector<std::string> kinds { "organisation", "limit", "key", "model", "service", "endpoint_role", "evacuation" };
    return kinds;
}

result<void> validateRecordShape(const wire::record& record)
{
    const auto& kinds = recordKinds();
    if (std::find(kinds.begin(), kinds.end(), record.kind()) == kinds.end())
        return failure { fmt::format("kind \"{}\" is unknown; use one of {}", record.kind(), fmt::join(kinds, ", ")) };
    constexpr std::size_t maxNameLength = 128;
    bool printable = std::all_of(record.name().begin(), record.name().end(), [](unsigned char c) { return c > ' ' && c < 0x7f && c != '/' && c != '"'; });
    if (record.name().empty() || record.name().size() > maxNameLength || !printable)
        return failure { fmt::format("{} \"{}\": the name must have 1 to {} printable characters without space, slash or quote", record.kind(), record.name(), maxNameLength) };
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
        return validateBody(record, decodeOrganisation);
    if (record.kind() == "limit")
        return validateBody(record, decodeLimit);
    if (record.kind() == "key")
        return validateBody(record, decodeKey);
    if (record.kind() == "model")
        return validateBody(record, decodeModel);
    if (record.kind() == "service")
        return validateBody(record, decodeService);
    if (record.kind() == "evacuation")
        return validateBody(record, decodeEvacuation);
    return validateBody(record, decodeEndpointRole);
}

std::string recordDigest(const wire::record& record)
{
    return sha256Hex(fmt::format("{}\n{}\n{}\n{}\n{}\n{}", record.kind(), record.name(), record.version(), record.schema_version(), record.removed(), record.body()));
}

} // namespace pistachiolatch
