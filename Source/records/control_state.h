#pragma once
#include "kernel/kernel.h"
#include "records/ledger.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pistachiolatch {

enum class submit_status {
    Accepted,
    /// The same versions with the same content were accepted before, such as when a batch is resent after a lost reply.
    AlreadyAccepted,
    Conflict,
    Invalid,
};

/// The result of submitting a batch of records.
struct submit_outcome {
    submit_status status = submit_status::Invalid;
    std::uint64_t revision = 0;
    std::string message;
};

/// The result of applying a log entry; which member is set depends on the command.
struct apply_outcome {
    std::optional<submit_outcome> submit;
    std::optional<wire::ledger_reply> ledger;
    std::optional<std::uint32_t> crashes;
};

/// The replicated state machine: records, shard owners, the at-most-once ledger and marks of poison requests, which crash
/// endpoints. Deterministic: uses no clock and no randomness. Not thread-safe.
class control_state {
public:
    apply_outcome apply(const wire::command& command);

    std::uint64_t revision() const { return m_revision; }
    std::uint64_t shardVersion() const { return m_shardVersion; }
    std::uint64_t poisonVersion() const { return m_poisonVersion; }
    std::uint64_t nextEpoch() const { return m_nextEpoch; }
    /// The records that changed after a revision, removed ones included.
    std::vector<wire::record> recordsAfter(std::uint64_t revision) const;
    /// The record in force, or null. Also returns removed records.
    const wire::record* find(const std::string& kind, const std::string& name) const;
    std::vector<std::string> listNames(const std::string& kind) const;
    const std::map<std::string, wire::shard_owner>& shards() const { return m_shards; }
    const std::map<std::uint64_t, wire::poison_mark>& poison() const { return m_poison; }
    const class ledger& callLedger() const { return m_ledger; }

    std::string save() const;
    /// Replaces the state with bytes written by save(). Errors: the bytes cannot be decoded.
    result<void> load(const std::string& bytes);

private:
    using record_key = std::pair<std::string, std::string>;
    submit_outcome submit(const wire::submit_batch& batch);
    /// Checks whether a record may replace the one in force; AlreadyAccepted for a resent record.
    submit_outcome validate(const wire::record& record) const;
    void storeRecord(const wire::record& record);
    void assignShards(const wire::assign_shards& command);
    /// Returns the number of distinct attempts with this fingerprint that crashed an endpoint.
    std::uint32_t recordCrash(const wire::crash_report& report);

    std::uint64_t m_revision = 0;
    std::uint64_t m_shardVersion = 0;
    std::uint64_t m_poisonVersion = 0;
    std::uint64_t m_nextEpoch = 1;
    std::map<record_key, wire::record> m_records;
    /// Records by the revision of their latest change, so that finding changes does not scan all records.
    std::map<std::uint64_t, std::set<record_key>> m_keysByRevision;
    std::map<record_key, std::vector<wire::version_digest>> m_history;
    std::map<std::string, wire::shard_owner> m_shards;
    std::map<std::uint64_t, wire::poison_mark> m_poison;
    class ledger m_ledger;
};

} // namespace pistachiolatch
