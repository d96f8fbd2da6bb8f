#include "control/operator_json.h"

#include "control/control_node.h"
#include <boost/json.hpp>

namespace pistachiolatch {

namespace json = boost::json;

namespace {
    constexpr std::size_t maxRecordsInBatch = 10000;

    json::object recordToJson(const wire::record& record)
    {
        json::object item;
        item["kind"] = record.kind();
        item["name"] = record.name();
        item["version"] = record.version();
        item["schema_version"] = record.schema_version();
        item["removed"] = record.removed();
        item["submitter"] = record.submitter();
        item["revision"] = record.revision();
        json::error_code error;
        item["body"] = json::parse(record.body().empty() ? "{}" : record.body(), error);
        return item;
    }

    result<wire::record> recordFromJson(const json::value& value, const std::string& submitter)
    {
        if (!value.is_object())
            return failure { "each record must be an object" };
        const auto& item = value.get_object();
        wire::record record;
        const auto* kind = item.if_contains("kind");
        const auto* name = item.if_contains("name");
        const auto* version = item.if_contains("version");
        const auto* schema = item.if_contains("schema_version");
        const auto* body = item.if_contains("body");
        const auto* removed = item.if_contains("removed");
        if (!kind || !kind->is_string() || !name || !name->is_string())
            return failure { "each record needs the strings kind and name" };
        if (!version || !version->is_int64() || version->get_int64() < 1)
            return failure { fmt::format("{} \"{}\": version must be an integer from 1", kind->get_string().c_str(), name->get_string().c_str()) };
        if (schema && (!schema->is_int64() || schema->get_int64() < 1 || schema->get_int64() > UINT32_MAX))
            return failure { fmt::format("{} \"{}\": schema_version must be an integer from 1", kind->get_string().c_str(), name->get_string().c_str()) };
        if (removed && !removed->is_bool())
            return failure { fmt::format("{} \"{}\": removed must be true or false", kind->get_string().c_str(), name->get_string().c_str()) };
        record.set_kind(kind->get_string().c_str());
        record.set_name(name->get_string().c_str());
        record.set_version(static_cast<std::uint64_t>(version->get_int64()));
        record.set_schema_version(schema ? static_cast<std::uint32_t>(schema->get_int64()) : 1);
        record.set_removed(removed && removed->get_bool());
        record.set_submitter(submitter);
        BOOST_OUTCOME_TRY(auto canonical, canonicalJson(body ? json::serialize(*body) : "{}"));
        record.set_body(canonical);
        BOOST_OUTCOME_TRYV(validateRecordShape(record));
        return record;
    }
}

std::string recordsToJson(const std::vector<wire::record>& records)
{
    json::array items;
    for (const auto& record : records) {
        if (!record.removed())
            items.push_back(recordToJson(record));
    }
    json::object all;
    all["records"] = std::move(items);
    return json::serialize(all);
}

result<wire::submit_batch> batchFromJson(const std::string& text, const std::string& submitter)
{
    json::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object() || !value.get_object().contains("records") || !value.at("records").is_array())
        return failure { "the body must be a JSON object with a list \"records\"" };
    wire::submit_batch batch;
    for (const auto& item : value.at("records").get_array()) {
        BOOST_OUTCOME_TRY(auto record, recordFromJson(item, submitter));
        *batch.add_records() = std::move(record);
    }
    if (batch.records_size() == 0 || static_cast<std::size_t>(batch.records_size()) > maxRecordsInBatch)
        return failure { fmt::format("a batch holds 1 to {} records", maxRecordsInBatch) };
    return batch;
}

std::string control_node::statusJson() const
{
    json::object status;
    status["leader"] = m_self.vm();
    status["term"] = core().term();
    status["commit_index"] = core().commitIndex();
    status["revision"] = m_state.revision();
    status["in_force"] = m_sessions && m_sessions->isInForce(m_state.revision(), m_clock.now());
    status["ledger_entries"] = m_state.callLedger().size();
    json::array replicas;
    for (const auto& voter : core().members().voters())
        replicas.push_back(json::object { { "vm", voter.vm() }, { "incarnation", std::to_string(voter.incarnation()) }, { "address", voter.address() } });
    status["replicas"] = std::move(replicas);
    json::array processes;
    if (m_sessions) {
        for (const auto& [key, session] : m_sessions->sessions()) {
            processes.push_back(json::object { { "process", key }, { "data_centre", session.process.data_centre() }, { "live", !session.expired },
                { "leaving", session.process.leaving() }, { "applied_revision", session.appliedRevision }, { "schema", session.maxSchemaVersion } });
        }
    }
    status["processes"] = std::move(processes);
    json::array shards;
    for (const auto& [name, owner] : m_state.shards())
        shards.push_back(json::object { { "shard", name }, { "owner", owner.scheduler() }, { "epoch", owner.epoch() } });
    status["shards"] = std::move(shards);
    return json::serialize(status);
}

std::string control_node::eventsJson() const
{
    json::array items;
    for (const auto& event : m_events)
        items.push_back(json::object { { "at_ms", event.at_ms() }, { "process", event.process() }, { "text", event.text() } });
    return json::serialize(json::object { { "events", std::move(items) } });
}

} // namespace pistachiolatch
