#include "command/record_file.h"

#include "kernel/toml_parser.h"
#include "records/records.h"
#include <algorithm>
#include <boost/json.hpp>

namespace pistachiolatch {

namespace json = boost::json;

namespace {
    json::value toJson(const toml::node& node)
    {
        if (const auto* text = node.as_string())
            return json::value(text->get());
        if (const auto* number = node.as_integer())
            return json::value(number->get());
        if (const auto* number = node.as_floating_point())
            return json::value(number->get());
        if (const auto* flag = node.as_boolean())
            return json::value(flag->get());
        if (const auto* list = node.as_array()) {
            json::array items;
            for (const auto& item : *list)
                items.push_back(toJson(item));
            return items;
        }
        json::object object;
        if (const auto* table = node.as_table()) {
            for (const auto& [key, value] : *table)
                object[std::string(key.str())] = toJson(value);
        }
        return object;
    }

    result<wire::record> parseRecord(const std::string& path, const std::string& kind, const toml::table& table)
    {
        auto line = table.source().begin.line;
        auto name = table["name"].value_exact<std::string>();
        auto version = table["version"].value_exact<std::int64_t>();
        auto schema = table["schema_version"].value_exact<std::int64_t>();
        auto removed = table["removed"].value_exact<bool>();
        if (!name)
            return failure { fmt::format("{}:{}: [[{}]]: name is missing or not a string; set it", path, line, kind) };
        if (table.contains("version") && (!version || *version < 0))
            return failure { fmt::format("{}:{}: [[{}]] \"{}\": version must be an integer from 0; keep the value that get printed", path, line, kind, *name) };
        if (table.contains("schema_version") && (!schema || *schema < 1 || *schema > UINT32_MAX))
            return failure { fmt::format("{}:{}: [[{}]] \"{}\": schema_version must be an integer from 1", path, line, kind, *name) };
        if (table.contains("removed") && !removed)
            return failure { fmt::format("{}:{}: [[{}]] \"{}\": removed must be true or false", path, line, kind, *name) };
        json::object body;
        for (const auto& [key, value] : table) {
            std::string field(key.str());
            if (field != "name" && field != "version" && field != "schema_version" && field != "removed")
                body[field] = toJson(value);
        }
        wire::record record;
        record.set_kind(kind);
        record.set_name(*name);
        record.set_version(static_cast<std::uint64_t>(version.value_or(0)));
        record.set_schema_version(static_cast<std::uint32_t>(schema.value_or(1)));
        record.set_removed(removed.value_or(false));
        BOOST_OUTCOME_TRY(auto canonical, canonicalJson(json::serialize(body)));
        record.set_body(canonical);
        auto shape = validateRecordShape([&] {
            auto candidate = record;
            candidate.set_version(std::max<std::uint64_t>(candidate.version(), 1));
            return candidate;
        }());
        if (!shape)
            return failure { fmt::format("{}:{}: {}", path, line, shape.error().message) };
        // The fields of a schema newer than this build aren't validated here; control decides whether every process supports it.
        if (!record.removed() && record.schema_version() <= newestSchemaVersion) {
            auto candidate = record;
            candidate.set_version(std::max<std::uint64_t>(candidate.version(), 1));
            auto valid = validateRecord(candidate);
            if (!valid)
                return failure { fmt::format("{}:{}: {}", path, line, valid.error().message) };
        }
        return record;
    }

    void appendTomlValue(std::string& text, const json::value& value)
    {
        if (value.is_array()) {
            text += "[";
            bool first = true;
            for (const auto& item : value.get_array()) {
                text += first ? "" : ", ";
                appendTomlValue(text, item);
                first = false;
            }
            text += "]";
        } else if (value.is_object()) {
            text += "{ ";
            bool first = true;
            for (const auto& member : value.get_object()) {
                text += first ? "" : ", ";
                text += json::serialize(json::value(member.key())) + " = ";
                appendTomlValue(text, member.value());
                first = false;
            }
            text += " }";
        } else {
            // Strings, numbers and booleans are written alike in JSON and TOML.
            text += json::serialize(value);
        }
    }
}

result<std::vector<wire::record>> readRecordFile(const std::string& path)
{
    BOOST_OUTCOME_TRY(auto table, parseTomlFile(path));
    std::vector<wire::record> records;
    for (const auto& [kind, node] : table) {
        const auto* list = node.as_array();
        if (!list || !list->is_array_of_tables())
            return failure { fmt::format("{}:{}: {}: write records as [[{}]]", path, node.source().begin.line, kind.str(), kind.str()) };
        for (const auto& item : *list) {
            BOOST_OUTCOME_TRY(auto record, parseRecord(path, std::string(kind.str()), *item.as_table()));
            records.push_back(std::move(record));
        }
    }
    return records;
}

std::string formatRecords(std::vector<wire::record> records)
{
    const auto& kinds = recordKinds();
    auto rank = [&](const wire::record& record) { return std::find(kinds.begin(), kinds.end(), record.kind()) - kinds.begin(); };
    std::sort(records.begin(), records.end(), [&](const auto& a, const auto& b) {
        return std::pair(rank(a), a.name()) < std::pair(rank(b), b.name());
    });
    std::string text;
    for (const auto& record : records) {
        text += fmt::format("[[{}]]\nname = {}\nversion = {}\nschema_version = {}\n", record.kind(), json::serialize(json::value(record.name())), record.version(), record.schema_version());
        json::error_code error;
        auto body = json::parse(record.body(), error);
        if (!error && body.is_object()) {
            for (const auto& member : body.get_object()) {
                text += fmt::format("{} = ", std::string(member.key()));
                appendTomlValue(text, member.value());
                text += "\n";
            }
        }
        text += "\n";
    }
    return text;
}

result<std::vector<wire::record>> parseRecordsResponse(const std::string& body)
{
    json::error_code error;
    auto value = json::parse(body, error);
    if (error || !value.is_object() || !value.get_object().contains("records"))
        return failure { "control's response is not the expected JSON; check that this command and control have the same version" };
    std::vector<wire::record> records;
    for (const auto& item : value.at("records").as_array()) {
        wire::record record;
        record.set_kind(item.at("kind").as_string().c_str());
        record.set_name(item.at("name").as_string().c_str());
        record.set_version(item.at("version").to_number<std::uint64_t>());
        record.set_schema_version(item.at("schema_version").to_number<std::uint32_t>());
        record.set_submitter(item.at("submitter").as_string().c_str());
        record.set_revision(item.at("revision").to_number<std::uint64_t>());
        record.set_body(json::serialize(item.at("body")));
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace pistachiolatch
