#include "command/record_commands.h"

#include "command/record_file.h"
#include "program/program_main.h"
#include "records/records.h"
#include <algorithm>
#include <boost/json.hpp>
#include <thread>

namespace pistachiolatch {

namespace json = boost::json;

namespace {
    constexpr unsigned statusOk = 200;
    /// How long to ask whether an accepted change is in force that its leader did not confirm. A new leader can tell
    /// once the leases granted by its predecessor have expired.
    constexpr std::chrono::seconds confirmationTimeout { 10 };
    constexpr std::chrono::milliseconds confirmationInterval { 300 };

    int reportError(const std::string& message, int exitCode)
    {
        fmt::print(stderr, "{}\n", message);
        return exitCode;
    }

    std::string extractErrorMessage(const operator_response& response)
    {
        json::error_code error;
        auto value = json::parse(response.body, error);
        const auto* message = !error && value.is_object() ? value.get_object().if_contains("message") : nullptr;
        return message && message->is_string() ? std::string(message->get_string()) : fmt::format("control responded with status {}", response.status);
    }

    result<std::vector<wire::record>> fetchRecords(const operator_client& client)
    {
        BOOST_OUTCOME_TRY(auto response, client.sendRequest("GET", "/v1/records", ""));
        if (response.status != statusOk)
            return failure { extractErrorMessage(response) };
        return parseRecordsResponse(response.body);
    }

    const wire::record* findRecord(const std::vector<wire::record>& records, const std::string& kind, const std::string& name)
    {
        auto found = std::find_if(records.begin(), records.end(), [&](const auto& record) { return record.kind() == kind && record.name() == name; });
        return found == records.end() ? nullptr : &*found;
    }

    /// Whether an evacuation record, null if there is none, says that its data centre is evacuated.
    bool isEvacuated(const wire::record* record)
    {
        auto decoded = record ? decodeEvacuation(*record) : result<evacuation_record>(evacuation_record { false });
        return decoded && decoded.value().evacuated;
    }

    /// A change that apply would submit for one record, with the text that describes it to the operator.
    struct planned_change {
        wire::record record;
        std::string description;
    };

    /// The version in the file is the one that was edited; the change is submitted as the next version. Two operators
    /// who edit the same version submit the same next version, so control reports a conflict to the second one.
    std::vector<planned_change> planChanges(const std::vector<wire::record>& desired, const std::vector<wire::record>& current)
    {
        std::vector<planned_change> changes;
        for (auto record : desired) {
            const auto* existing = findRecord(current, record.kind(), record.name());
            bool same = existing && !record.removed() && existing->body() == record.body() && existing->schema_version() == record.schema_version();
            if (same || (!existing && record.removed()))
                continue;
            auto base = record.version();
            record.set_version(base + 1);
            auto verb = record.removed() ? "remove" : existing ? "change"
                                                               : "create";
            auto description = fmt::format("{} {} \"{}\" version {}", verb, record.kind(), record.name(), record.version());
            if (existing && !record.removed())
                description += fmt::format("\n  - {}\n  + {}", existing->body(), record.body());
            changes.push_back({ std::move(record), std::move(description) });
        }
        return changes;
    }

    std::string serializeBatch(const std::vector<wire::record>& records)
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

    /// Asks the current leader, until the timeout, whether an accepted revision is in force everywhere.
    bool waitUntilInForce(const operator_client& client, std::uint64_t revision)
    {
        auto deadline = std::chrono::steady_clock::now() + confirmationTimeout;
        while (std::chrono::steady_clock::now() < deadline) {
            auto response = client.sendRequest("GET", "/v1/status", "");
            if (!response || response.value().status != statusOk)
                return false;
            auto status = json::parse(response.value().body);
            if (status.at("revision").to_number<std::uint64_t>() >= revision && status.at("in_force").as_bool())
                return true;
            std::this_thread::sleep_for(confirmationInterval);
        }
        return false;
    }

    int submitRecords(const operator_client& client, const std::vector<wire::record>& records)
    {
        auto response = client.sendRequest("POST", "/v1/records", serializeBatch(records));
        if (!response)
            return reportError(response.error().message, exitFailed);
        if (response.value().status != statusOk)
            return reportError(extractErrorMessage(response.value()), exitFailed);
        auto value = json::parse(response.value().body);
        auto revision = value.at("revision").to_number<std::uint64_t>();
        // The record is in the log, so it outlives a leader that stopped leading before every process had applied it.
        bool inForce = value.at("in_force").as_bool() || waitUntilInForce(client, revision);
        fmt::print("{} as revision {}, {}\n", value.at("status").as_string().c_str(), revision,
            inForce ? "in force everywhere" : "accepted but not yet confirmed in force; look again with status");
        return inForce ? exitOk : exitFailed;
    }
}

int commandGet(const operator_client& client, const std::string& kind, const std::string& name)
{
    auto records = fetchRecords(client);
    if (!records)
        return reportError(records.error().message, exitFailed);
    std::vector<wire::record> selected;
    for (const auto& record : records.value()) {
        if ((kind.empty() || record.kind() == kind) && (name.empty() || record.name() == name))
            selected.push_back(record);
    }
    if (selected.empty() && !kind.empty())
        return reportError(fmt::format("no {} {} is in force", kind, name), exitFailed);
    fmt::print("{}", formatRecords(std::move(selected)));
    return exitOk;
}

int commandDiff(const operator_client& client, const std::string& path)
{
    auto desired = readRecordFile(path);
    if (!desired)
        return reportError(desired.error().message, exitBadInput);
    auto current = fetchRecords(client);
    if (!current)
        return reportError(current.error().message, exitFailed);
    auto changes = planChanges(desired.value(), current.value());
    for (const auto& change : changes)
        fmt::print("{}\n", change.description);
    if (changes.empty())
        fmt::print("nothing to change\n");
    return exitOk;
}

int commandApply(const operator_client& client, const std::string& path)
{
    auto desired = readRecordFile(path);
    if (!desired)
        return reportError(desired.error().message, exitBadInput);
    auto current = fetchRecords(client);
    if (!current)
        return reportError(current.error().message, exitFailed);
    std::vector<wire::record> records;
    for (auto& change : planChanges(desired.value(), current.value())) {
        fmt::print("{}\n", change.description);
        records.push_back(std::move(change.record));
    }
    if (records.empty()) {
        fmt::print("nothing to change\n");
        return exitOk;
    }
    return submitRecords(client, records);
}

int commandRemove(const operator_client& client, const std::string& kind, const std::string& name)
{
    auto current = fetchRecords(client);
    if (!current)
        return reportError(current.error().message, exitFailed);
    const auto* existing = findRecord(current.value(), kind, name);
    if (!existing)
        return reportError(fmt::format("no {} \"{}\" is in force; list all with get", kind, name), exitFailed);
    auto record = *existing;
    record.set_version(existing->version() + 1);
    record.set_removed(true);
    return submitRecords(client, { record });
}

int commandEvacuate(const operator_client& client, const std::string& dataCentre, bool evacuated)
{
    auto current = fetchRecords(client);
    if (!current)
        return reportError(current.error().message, exitFailed);
    const auto* existing = findRecord(current.value(), "evacuation", dataCentre);
    if (isEvacuated(existing) == evacuated) {
        fmt::print("data centre \"{}\" is {}; nothing to change\n", dataCentre, evacuated ? "evacuated already" : "not evacuated");
        return exitOk;
    }
    wire::record record;
    record.set_kind("evacuation");
    record.set_name(dataCentre);
    record.set_version(existing ? existing->version() + 1 : 1);
    record.set_schema_version(newestSchemaVersion);
    record.set_body(json::serialize(json::object { { "evacuated", evacuated } }));
    if (auto valid = validateRecord(record); !valid)
        return reportError(valid.error().message, exitBadInput);
    return submitRecords(client, { record });
}

int commandEvacuations(const operator_client& client)
{
    auto records = fetchRecords(client);
    if (!records)
        return reportError(records.error().message, exitFailed);
    for (const auto& record : records.value()) {
        if (record.kind() == "evacuation" && isEvacuated(&record))
            fmt::print("data_centre={} since_revision={}\n", record.name(), record.revision());
    }
    return exitOk;
}

int commandKeyIssue(const operator_client& client, const std::string& organisation)
{
    auto current = fetchRecords(client);
    if (!current)
        return reportError(current.error().message, exitFailed);
    if (!findRecord(current.value(), "organisation", organisation))
        return reportError(fmt::format("no organisation \"{}\" is in force; apply its record first", organisation), exitFailed);
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
    int exitCode = submitRecords(client, { record });
    if (exitCode == exitOk)
        fmt::print("id={}\nkey={}\nThis key is shown once; only its digest is stored.\n", record.name(), secret);
    return exitCode;
}

int commandKeyWithdraw(const operator_client& client, const std::string& keyId)
{
    auto current = fetchRecords(client);
    if (!current)
        return reportError(current.error().message, exitFailed);
    const auto* existing = findRecord(current.value(), "key", keyId);
    if (!existing)
        return reportError(fmt::format("no key \"{}\" is in force; list keys with get key", keyId), exitFailed);
    auto record = *existing;
    auto body = json::parse(existing->body()).as_object();
    body["withdrawn"] = true;
    record.set_version(existing->version() + 1);
    record.set_body(json::serialize(body));
    return submitRecords(client, { record });
}

} // namespace pistachiolatch
