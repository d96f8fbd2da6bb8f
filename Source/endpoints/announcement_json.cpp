#include "endpoints/announcement_json.h"

#include <boost/json.hpp>

namespace pistachiolatch {

namespace json = boost::json;

namespace {
    /// Reads fields of one object and remembers the first that is malformed.
    class field_reader {
    public:
        explicit field_reader(const json::object& object)
            : m_object(object)
        {
        }
        std::string text(const char* name, bool required)
        {
            const auto* value = m_object.if_contains(name);
            if (!value && !required)
                return {};
            if (!value || !value->is_string() || (required && value->get_string().empty())) {
                note(name, "must be a string that is not empty");
                return {};
            }
            return std::string(value->get_string());
        }
        std::uint64_t number(const char* name, bool required, std::uint64_t most)
        {
            const auto* value = m_object.if_contains(name);
            if (!value && !required)
                return 0;
            json::error_code error;
            auto parsed = value ? value->to_number<std::uint64_t>(error) : 0;
            if (!value || error || parsed > most) {
                note(name, fmt::format("must be an integer from 0 to {}", most));
                return 0;
            }
            return parsed;
        }
        bool flag(const char* name)
        {
            const auto* value = m_object.if_contains(name);
            if (value && !value->is_bool())
                note(name, "must be true or false");
            return value && value->is_bool() && value->get_bool();
        }
        void note(const char* name, const std::string& problem)
        {
            if (this->problem.empty())
                this->problem = fmt::format("{} {}", name, problem);
        }
        std::string problem;

    private:
        const json::object& m_object;
    };

    constexpr std::uint64_t anyNumber = UINT64_MAX;
    constexpr std::uint64_t smallNumber = 1'000'000'000;
    constexpr std::size_t mostPrefixes = 256;
}

result<wire::endpoint_announcement> parseAnnouncement(const std::string& text)
{
    json::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object())
        return failure { "the body must be a JSON object" };
    field_reader fields(value.get_object());
    wire::endpoint_announcement announcement;
    announcement.set_id(fields.text("id", true));
    announcement.set_incarnation(fields.number("incarnation", true, anyNumber));
    announcement.set_sequence(fields.number("sequence", true, anyNumber));
    announcement.set_address(fields.text("address", true));
    announcement.set_role(fields.text("role", true));
    announcement.set_model(fields.text("model", true));
    announcement.set_model_version(fields.text("version", false));
    announcement.set_data_centre(fields.text("data_centre", false));
    announcement.set_slots(static_cast<std::uint32_t>(fields.number("slots", true, smallNumber)));
    announcement.set_memory_pieces(static_cast<std::uint32_t>(fields.number("memory_pieces", false, smallNumber)));
    announcement.set_fencing(fields.flag("fencing"));
    announcement.set_leaving(fields.flag("leaving"));
    announcement.set_running(static_cast<std::uint32_t>(fields.number("running", false, smallNumber)));
    announcement.set_waiting(static_cast<std::uint32_t>(fields.number("waiting", false, smallNumber)));
    announcement.set_used_pieces(static_cast<std::uint32_t>(fields.number("used_pieces", false, smallNumber)));
    announcement.set_link_mbps(static_cast<std::uint32_t>(fields.number("link_mbps", false, smallNumber)));
    announcement.set_fence(fields.number("fence", false, anyNumber));
    announcement.set_prefill_tokens_per_s(static_cast<std::uint32_t>(fields.number("prefill_tokens_per_s", false, smallNumber)));
    announcement.set_step_us(static_cast<std::uint32_t>(fields.number("step_us", false, smallNumber)));
    announcement.set_kv_bytes_per_token(static_cast<std::uint32_t>(fields.number("kv_bytes_per_token", false, smallNumber)));
    const auto* prefixes = value.get_object().if_contains("cached_prefixes");
    if (prefixes && prefixes->is_array() && prefixes->get_array().size() <= mostPrefixes) {
        for (const auto& item : prefixes->get_array()) {
            auto prefix = item.to_number<std::uint64_t>(error);
            if (!error)
                announcement.add_cached_prefixes(prefix);
        }
    }
    const auto& role = announcement.role();
    if (role != "prefill" && role != "decode" && role != "service")
        fields.note("role", "must be prefill, decode or service");
    if (!isAddress(announcement.address()))
        fields.note("address", "must be an IPv4 address and port");
    if (!fields.problem.empty())
        return failure { fields.problem };
    return announcement;
}

} // namespace pistachiolatch
