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
    /// The same versions with the same content were accepted before: a resend after a lost answer.
    AlreadyAccepted,
    Conflict,
    Invalid,
};

/// What a batch of records came to.
struct submit_outcome {
    submit_status status = submit_status::Invalid;
    std::uint64_t revision = 0;
    std::string message;
};

/// What applying one log entry came to; which member is set depends on the command.
struct apply_outcome {
    std::optional<submit_outcome> submit;
    std::optional<wire::ledger_reply> ledger;
    std::optional<std::uint32_t> crashes;
};

/// The state machine behind the replicated log: records, shard owners, the at-most-once ledger and marks of
/// requests that crash endpoints. Deterministic: no clock, no randomness. Not thread-safe.
class control_state {
public:
    apply_outcome apply(const wire::command& command);

    std::uint64_t revision() const { return m_revision; }
    std::uint64_t shardVersion() const { return m_shardVersion; }
    std::uint64_t poisonVersion() const { return m_poisonVersion; }
    std::uint64_t nextEpoch() const { return m_nextEpoch; }
    /// The records that changed after a revision, removed ones included.
    std::vector<wire::record> recordsAfter(std::uint64_t revision) const;
    /// The record in force, or null. Removed records are found too.
    const wire::record* find(const std::string& kind, const std::string& name) const;
    std::vector<std::string> listNames(const std::string& kind) const;
    const std::map<std::string, wire::shard_owner>& shards() const { return m_shards; }
    const std::map<std::uint64_t, wire::poison_mark>& poison() const { return m_poison; }
    const class ledger& callLedger() const { return m_ledger; }

    std::string save() const;
    /// Errors: bytes that save() did not write.
    result<void> load(const std::string& bytes);

private:
    using record_key = std::pair<std::string, std::string>;
    submit_outcome submit(const wire::submit_batch& batch);
    /// Whether one record may follow what is in force; AlreadyAccepted for a resend.
    submit_outcome judge(const wire::record& record) const;
    void accept(const wire::record& record);
    void assign(const wire::assign_shards& command);
    std::uint32_t markCrash(const wire::crash_report& report);

    std::uint64_t m_revision = 0;
    std::uint64_t m_shardVersion = 0;
    std::uint64_t m_poisonVersion = 0;
    std::uint64_t m_nextEpoch = 1;
    std::map<record_key, wire::record> m_records;
    /// Where each record's latest change stands, so that a change is found without a look at every record.
    std::map<std::uint64_t, std::set<record_key>> m_byRevision;
    std::map<record_key, std::vector<wire::version_digest>> m_history;
    std::map<std::string, wire::shard_owner> m_shards;
    std::map<std::uint64_t, wire::poison_mark> m_poison;
    class ledger m_ledger;
};

} // namespace pistachiolatch
