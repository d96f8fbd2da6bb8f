#include "command/record_commands.h"

#include "command/record_file.h"
#include "program/program_main.h"
#include "records/records.h"
#include <algorithm>
#include <boost/json.hpp>

namespace pistachiolatch {

namespace json = boost::json;

namespace {
    constexpr unsigned statusOk = 200;

    int complain(const std::string& problem, int code)
    {
        fmt::print(stderr, "{}\n", problem);
        return code;
    }

    std::string messageOf(const operator_answer& answer)
    {
        json::error_code error;
        auto value = json::parse(answer.body, error);
        const auto* message = !error && value.is_object() ? value.get_object().if_contains("message") : nullptr;
        return message && message->is_string() ? std::string(message->get_string()) : fmt::format("control answered {}", answer.status);
    }

    result<std::vector<wire::record>> fetchRecords(const operator_client& client)
    {
        BOOST_OUTCOME_TRY(auto answer, client.call("GET", "/v1/records", ""));
        if (answer.status != statusOk)
            return failure { messageOf(answer) };
        return recordsFromAnswer(answer.body);
    }

    const wire::record* findRecord(const std::vector<wire::record>& records, const std::string& kind, const std::string& name)
    {
        auto found = std::find_if(records.begin(), records.end(), [&](const auto& record) { return record.kind() == kind && record.name() == name; });
        return found == records.end() ? nullptr : &*found;
    }

    /// What an apply would do to one record.
    struct planned_change {
        wire::record record;
        std::string line;
    };

    /// The file's version is the one the edit is based on; the submission gets the next. Two operators who edited
    /// the same version thus submit the same next one, and the second hears of the conflict.
    std::vector<planned_change> planChanges(const std::vector<wire::record>& wanted, const std::vector<wire::record>& current)
    {
        std::vector<planned_change> changes;
        for (auto record : wanted) {
            const auto* known = findRecord(current, record.kind(), record.name());
            bool same = known && !record.removed() && known->body() == record.body() && known->schema_version() == record.schema_version();
            if (same || (!known && record.removed()))
                continue;
            auto base = record.version();
            record.set_version(base + 1);
            auto verb = record.removed() ? "remove" : known ? "change"
                                                            : "create";
            auto line = fmt::format("{} {} \"{}\" version {}", verb, record.kind(), record.name(), record.version());
            if (known && !record.removed())
                line += fmt::format("\n  - {}\n  + {}", known->body(), record.body());
            changes.push_back({ std::move(record), std::move(line) });
        }
        return changes;
    }

    std::string batchJson(const std::vector<wire::record>& records)
    {
        json::array items;
        for (const auto& record : records) {
            json::object item;
            item["kind"] = record.kind();
            item["name"] = record.name();
            item["version"] = record.version();
            item["schema_version"] = record.schema_version();
            item["removed"] = record.removed();
            item["body"] = json::parse(record.body().empty() ? "{}" : record.body());
            items.push_back(std::move(item));
        }
        json::object body;
        body["records"] = std::move(items);
        return json::serialize(body);
    }

    int submit(const operator_client& client, const std::vector<wire::record>& records)
    {
        auto answer = client.call("POST", "/v1/records", batchJson(records));
        if (!answer)
            return complain(answer.error().message, exitFailed);
        if (answer.value().status != statusOk)
            return complain(messageOf(answer.value()), exitFailed);
        auto value = json::parse(answer.value().body);
        bool inForce = value.at("in_force").as_bool();
        fmt::print("{} as revision {}, {}\n", value.at("status").as_string().c_str(), value.at("revision").to_number<std::uint64_t>(),
            inForce ? "in force everywhere" : "accepted but not yet confirmed in force; look again with status");
        return inForce ? exitOk : exitFailed;
    }
}

int commandGet(const operator_client& client, const std::string& kind, const std::string& name)
{
    auto records = fetchRecords(client);
    if (!records)
        return complain(records.error().message, exitFailed);
    std::vector<wire::record> chosen;
    for (const auto& record : records.value()) {
        if ((kind.empty() || record.kind() == kind) && (name.empty() || record.name() == name))
            chosen.push_back(record);
    }
    if (chosen.empty() && !kind.empty())
        return complain(fmt::format("no {} {} is in force", kind, name), exitFailed);
    fmt::print("{}", writeRecordFile(std::move(chosen)));
    return exitOk;
}

int commandDiff(const operator_client& client, const std::string& path)
{
    auto wanted = readRecordFile(path);
    if (!wanted)
        return complain(wanted.error().message, exitBadInput);
    auto current = fetchRecords(client);
    if (!current)
        return complain(current.error().message, exitFailed);
    auto changes = planChanges(wanted.value(), current.value());
    for (const auto& change : changes)
        fmt::print("{}\n", change.line);
    if (changes.empty())
        fmt::print("nothing to change\n");
    return exitOk;
}

int commandApply(const operator_client& client, const std::string& path)
{
    auto wanted = readRecordFile(path);
    if (!wanted)
        return complain(wanted.error().message, exitBadInput);
    auto current = fetchRecords(client);
    if (!current)
        return complain(current.error().message, exitFailed);
    std::vector<wire::record> records;
    for (auto& change : planChanges(wanted.value(), current.value())) {
        fmt::print("{}\n", change.line);
        records.push_back(std::move(change.record));
    }
    if (records.empty()) {
        fmt::print("nothing to change\n");
        return exitOk;
    }
    return submit(client, records);
}

int commandRemove(const operator_client& client, const std::string& kind, const std::string& name)
{
    auto current = fetchRecords(client);
    if (!current)
        return complain(current.error().message, exitFailed);
    const auto* known = findRecord(current.value(), kind, name);
    if (!known)
        return complain(fmt::format("no {} \"{}\" is in force; list all with get", kind, name), exitFailed);
    auto record = *known;
    record.set_version(known->version() + 1);
    record.set_removed(true);
    return submit(client, { record });
}

int commandKeyIssue(const operator_client& client, const std::string& organisation)
{
    auto current = fetchRecords(client);
    if (!current)
        return complain(current.error().message, exitFailed);
    if (!findRecord(current.value(), "organisation", organisation))
        return complain(fmt::format("no organisation \"{}\" is in force; apply its record first", organisation), exitFailed);
    constexpr std::size_t secretBytes = 32;
    constexpr std::size_t idBytes = 4;
    auto secret = "pl-" + randomHex(secretBytes);
    json::object body;
    body["organisation"] = organisation;
    body["sha256"] = sha256Hex(secret);
    body["withdrawn"] = false;
    wire::record record;
    record.set_kind("key");
    record.set_name(organisation + "-" + randomHex(idBytes));
    record.set_version(1);
    record.set_schema_version(1);
    record.set_body(json::serialize(body));
    int code = submit(client, { record });
    if (code == exitOk)
        fmt::print("id={}\nkey={}\nThis key is shown once; only its digest is stored.\n", record.name(), secret);
    return code;
}

int commandKeyWithdraw(const operator_client& client, const std::string& keyId)
{
    auto current = fetchRecords(client);
    if (!current)
        return complain(current.error().message, exitFailed);
    const auto* known = findRecord(current.value(), "key", keyId);
    if (!known)
        return complain(fmt::format("no key \"{}\" is in force; list keys with get key", keyId), exitFailed);
    auto record = *known;
    auto body = json::parse(known->body()).as_object();
    body["withdrawn"] = true;
    record.set_version(known->version() + 1);
    record.set_body(json::serialize(body));
    return submit(client, { record });
}

} // namespace pistachiolatch
