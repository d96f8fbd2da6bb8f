#include "records/control_state.h"

#include "records/record_types.h"
#include <algorithm>
#include <set>

namespace pistachiolatch {

namespace {
    /// Versions kept in each record's history, to recognise records that are resent late.
    constexpr std::size_t maxHistoryVersions = 32;
    constexpr std::int64_t poisonLifetimeMillis = 10LL * 60 * 1000;
    constexpr std::size_t maxPoisonMarks = 10000;
}

apply_outcome control_state::apply(const wire::command& command)
{
    apply_outcome outcome;
    switch (command.body_case()) {
    case wire::command::kSubmit:
        outcome.submit = submit(command.submit());
        break;
    case wire::command::kAssign:
        assignShards(command.assign());
        break;
    case wire::command::kLedgerBegin:
        outcome.ledger = m_ledger.begin(command.ledger_begin());
        break;
    case wire::command::kLedgerFinish:
        outcome.ledger = m_ledger.finish(command.ledger_finish());
        break;
    case wire::command::kExpire:
        m_ledger.expire(command.expire().before_ms(), command.expire().answers_before_ms());
        break;
    case wire::command::kCrash:
        outcome.crashes = recordCrash(command.crash());
        break;
    // These belong to another state machine, so they never reach this one.
    case wire::command::kDocument:
    case wire::command::kEvacuate:
    case wire::command::BODY_NOT_SET:
        break;
    }
    return outcome;
}

submit_outcome control_state::submit(const wire::submit_batch& batch)
{
    submit_outcome outcome { submit_status::AlreadyAccepted, 0, "" };
    std::vector<const wire::record*> accepted;
    std::set<record_key> seen;
    for (const auto& record : batch.records()) {
        if (!seen.insert({ record.kind(), record.name() }).second)
            return { submit_status::Invalid, 0, fmt::format("{} \"{}\" appears twice in the batch; remove one of them", record.kind(), record.name()) };
        auto validated = validate(record);
        if (validated.status == submit_status::Conflict || validated.status == submit_status::Invalid)
            return validated;
        if (validated.status == submit_status::Accepted)
            accepted.push_back(&record);
        else
            outcome.revision = std::max(outcome.revision, validated.revision);
    }
    if (accepted.empty())
        return outcome;
    // The whole batch gets one revision, so it takes effect atomically.
    ++m_revision;
    for (const auto* record : accepted)
        storeRecord(*record);
    return { submit_status::Accepted, m_revision, "" };
}

submit_outcome control_state::validate(const wire::record& record) const
{
    auto valid = validateRecord(record);
    if (!valid)
        return { submit_status::Invalid, 0, valid.error().message };
    const auto* current = find(record.kind(), record.name());
    auto currentVersion = current ? current->version() : 0;
    if (record.version() == currentVersion + 1)
        return { submit_status::Accepted, 0, "" };
    if (record.version() > currentVersion)
        return { submit_status::Conflict, 0,
            fmt::format("{} \"{}\": version {} cannot follow version {}; read it back with get and submit version {}", record.kind(), record.name(), record.version(), currentVersion, currentVersion + 1) };

    auto history = m_history.find({ record.kind(), record.name() });
    auto digest = recordDigest(record);
    for (const auto& known : history->second) {
        if (known.version() != record.version())
            continue;
        if (known.digest() == digest)
            return { submit_status::AlreadyAccepted, current->revision(), "" };
        return { submit_status::Conflict, 0,
            fmt::format("{} \"{}\": version {} was already submitted by {} with other content; read it back with get", record.kind(), record.name(), record.version(), known.submitter()) };
    }
    return { submit_status::Conflict, 0, fmt::format("{} \"{}\": version {} is older than the version in force; read it back with get", record.kind(), record.name(), record.version()) };
}

void control_state::storeRecord(const wire::record& record)
{
    record_key key { record.kind(), record.name() };
    auto& stored = m_records[key];
    auto earlier = m_keysByRevision.find(stored.revision());
    if (earlier != m_keysByRevision.end() && earlier->second.erase(key) > 0 && earlier->second.empty())
        m_keysByRevision.erase(earlier);
    stored = record;
    stored.set_revision(m_revision);
    m_keysByRevision[m_revision].insert(key);
    auto& versions = m_history[key];
    wire::version_digest digest;
    digest.set_version(record.version());
    digest.set_digest(recordDigest(record));
    digest.set_submitter(record.submitter());
    versions.push_back(std::move(digest));
    if (versions.size() > maxHistoryVersions)
        versions.erase(versions.begin());
}

void control_state::assignShards(const wire::assign_shards& command)
{
    for (const auto& owner : command.owners()) {
        auto& stored = m_shards[owner.shard()];
        stored = owner;
        stored.set_epoch(m_nextEpoch++);
    }
    ++m_shardVersion;
}

std::uint32_t control_state::recordCrash(const wire::crash_report& report)
{
    std::erase_if(m_poison, [&](const auto& item) { return item.second.until_ms() < report.now_ms(); });
    auto& mark = m_poison[report.fingerprint()];
    mark.set_fingerprint(report.fingerprint());
    auto attempt = fmt::format("{}#{}", report.request_id(), report.attempt());
    // A report that is resent after a lost reply counts once.
    if (std::find(mark.attempts().begin(), mark.attempts().end(), attempt) == mark.attempts().end()) {
        mark.add_attempts(attempt);
        ++m_poisonVersion;
    }
    mark.set_until_ms(report.now_ms() + poisonLifetimeMillis);
    auto crashes = static_cast<std::uint32_t>(mark.attempts_size());
    if (m_poison.size() > maxPoisonMarks)
        m_poison.erase(std::min_element(m_poison.begin(), m_poison.end(), [](const auto& a, const auto& b) { return a.second.until_ms() < b.second.until_ms(); }));
    return crashes;
}

std::vector<wire::record> control_state::recordsAfter(std::uint64_t revision) const
{
    std::vector<wire::record> changed;
    for (auto it = m_keysByRevision.upper_bound(revision); it != m_keysByRevision.end(); ++it) {
        for (const auto& key : it->second)
            changed.push_back(m_records.at(key));
    }
    return changed;
}

const wire::record* control_state::find(const std::string& kind, const std::string& name) const
{
    auto found = m_records.find({ kind, name });
    return found == m_records.end() ? nullptr : &found->second;
}

std::vector<std::string> control_state::listNames(const std::string& kind) const
{
    std::vector<std::string> names;
    for (const auto& [key, record] : m_records) {
        if (key.first == kind && !record.removed())
            names.push_back(key.second);
    }
    return names;
}

std::string control_state::save() const
{
    wire::control_image image;
    image.set_revision(m_revision);
    image.set_shard_version(m_shardVersion);
    image.set_poison_version(m_poisonVersion);
    image.set_next_epoch(m_nextEpoch);
    for (const auto& [key, record] : m_records)
        *image.add_records() = record;
    for (const auto& [key, versions] : m_history) {
        auto* history = image.add_history();
        history->set_kind(key.first);
        history->set_name(key.second);
        for (const auto& version : versions)
            *history->add_versions() = version;
    }
    for (const auto& [name, owner] : m_shards)
        *image.add_shards() = owner;
    for (const auto& [fingerprint, mark] : m_poison)
        *image.add_poison() = mark;
    m_ledger.save(image);
    return image.SerializeAsString();
}

result<void> control_state::load(const std::string& bytes)
{
    wire::control_image image;
    if (!image.ParseFromString(bytes))
        return failure { "the state in the snapshot cannot be decoded" };
    *this = control_state();
    m_revision = image.revision();
    m_shardVersion = image.shard_version();
    m_poisonVersion = image.poison_version();
    m_nextEpoch = std::max<std::uint64_t>(image.next_epoch(), 1);
    for (const auto& record : image.records()) {
        m_records[{ record.kind(), record.name() }] = record;
        m_keysByRevision[record.revision()].insert({ record.kind(), record.name() });
    }
    for (const auto& history : image.history())
        m_history[{ history.kind(), history.name() }].assign(history.versions().begin(), history.versions().end());
    for (const auto& owner : image.shards())
        m_shards[owner.shard()] = owner;
    for (const auto& mark : image.poison())
        m_poison[mark.fingerprint()] = mark;
    m_ledger.load(image);
    return ok();
}

} // namespace pistachiolatch
