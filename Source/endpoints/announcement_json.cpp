#include "endpoints/announcement_json.h"

#include <boost/json.hpp>

namespace pistachiolatch {

namespace json = boost::json;

namespace {
    /// Announcements are relayed to all schedulers and stay in their tables.
    constexpr std::size_t maxTextBytes = 512;
    constexpr std::size_t maxQuotedBytes = 64;

    /// Reads the fields of a JSON object and records the first malformed one.
    class field_reader {
    public:
        explicit field_reader(const json::object& object)
            : m_object(object)
        {
        }
        std::string readString(const char* name, bool required)
        {
            const auto* value = m_object.if_contains(name);
            if (!value && !required)
                return {};
            if (!value || !value->is_string() || (required && value->get_string().empty())) {
                recordProblem(name, "must be a string that is not empty");
                return {};
            }
            std::string text(value->get_string());
            if (text.size() > maxTextBytes || !isPlainText(text)) {
                recordProblem(name, fmt::format("\"{}\" must have at most {} bytes and no control characters", toPlainText(text, maxQuotedBytes), maxTextBytes));
                return {};
            }
            return text;
        }
        std::uint64_t readNumber(const char* name, bool required, std::uint64_t maxValue)
        {
            const auto* value = m_object.if_contains(name);
            if (!value && !required)
                return 0;
            json::error_code error;
            auto parsed = value ? value->to_number<std::uint64_t>(error) : 0;
            if (!value || error || parsed > maxValue) {
                recordProblem(name, fmt::format("must be an integer from 0 to {}", maxValue));
                return 0;
            }
            return parsed;
        }
        bool readFlag(const char* name)
        {
            const auto* value = m_object.if_contains(name);
            if (value && !value->is_bool())
                recordProblem(name, "must be true or false");
            return value && value->is_bool() && value->get_bool();
        }
        void recordProblem(const char* name, const std::string& problem)
        {
            if (this->problem.empty())
                this->problem = fmt::format("{} {}", name, problem);
        }
        std::string problem;

    private:
        const json::object& m_object;
    };

    constexpr std::uint64_t maxUint64 = UINT64_MAX;
    constexpr std::uint64_t maxSmallNumber = 1'000'000'000;
    constexpr std::size_t maxCachedPrefixes = 256;
}

result<wire::endpoint_announcement> parseAnnouncement(const std::string& text)
{
    json::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object())
        return failure { "the body must be a JSON object" };
    field_reader fields(value.get_object());
    wire::endpoint_announcement announcement;
    announcement.set_id(fields.readString("id", true));
    announcement.set_incarnation(fields.readNumber("incarnation", true, maxUint64));
    announcement.set_sequence(fields.readNumber("sequence", true, maxUint64));
    announcement.set_address(fields.readString("address", true));
    announcement.set_role(fields.readString("role", true));
    announcement.set_model(fields.readString("model", true));
    announcement.set_model_version(fields.readString("version", false));
    announcement.set_data_centre(fields.readString("data_centre", false));
    announcement.set_slots(static_cast<std::uint32_t>(fields.readNumber("slots", true, maxSmallNumber)));
    announcement.set_memory_pieces(static_cast<std::uint32_t>(fields.readNumber("memory_pieces", false, maxSmallNumber)));
    announcement.set_fencing(fields.readFlag("fencing"));
    announcement.set_leaving(fields.readFlag("leaving"));
    announcement.set_running(static_cast<std::uint32_t>(fields.readNumber("running", false, maxSmallNumber)));
    announcement.set_waiting(static_cast<std::uint32_t>(fields.readNumber("waiting", false, maxSmallNumber)));
    announcement.set_used_pieces(static_cast<std::uint32_t>(fields.readNumber("used_pieces", false, maxSmallNumber)));
    announcement.set_link_mbps(static_cast<std::uint32_t>(fields.readNumber("link_mbps", false, maxSmallNumber)));
    announcement.set_fence(fields.readNumber("fence", false, maxUint64));
    announcement.set_prefill_tokens_per_s(static_cast<std::uint32_t>(fields.readNumber("prefill_tokens_per_s", false, maxSmallNumber)));
    announcement.set_step_us(static_cast<std::uint32_t>(fields.readNumber("step_us", false, maxSmallNumber)));
    announcement.set_kv_bytes_per_token(static_cast<std::uint32_t>(fields.readNumber("kv_bytes_per_token", false, maxSmallNumber)));
    const auto* prefixes = value.get_object().if_contains("cached_prefixes");
    if (prefixes && prefixes->is_array() && prefixes->get_array().size() <= maxCachedPrefixes) {
        for (const auto& item : prefixes->get_array()) {
            auto prefix = item.to_number<std::uint64_t>(error);
            if (!error)
                announcement.add_cached_prefixes(prefix);
        }
    }
    const auto& role = announcement.role();
    if (role != "prefill" && role != "decode" && role != "service")
        fields.recordProblem("role", "must be prefill, decode or service");
    if (!isAddress(announcement.address()))
        fields.recordProblem("address", "must be an IPv4 address and port");
    if (!fields.problem.empty())
        return failure { fields.problem };
    return announcement;
}

} // namespace pistachiolatch
