#include "records/config_view.h"

#include <xxhash.h>

namespace pistachiolatch {

namespace {
    template <typename T, typename Decoder>
    result<void> storeOrErase(std::map<std::string, T>& items, const wire::record& record, Decoder decode)
    {
        if (record.removed()) {
            items.erase(record.name());
            return ok();
        }
        BOOST_OUTCOME_TRY(auto value, decode(record));
        items[record.name()] = std::move(value);
        return ok();
    }
}

std::shared_ptr<const config_view> config_view::applyChanges(const config_view& previous, std::uint64_t revision,
    const std::vector<wire::record>& changed, std::vector<std::string>& problems)
{
    auto next = std::make_shared<config_view>(previous);
    next->m_revision = revision;
    for (const auto& record : changed) {
        auto applied = next->applyRecord(record);
        if (!applied)
            problems.push_back(applied.error().message);
    }
    next->m_keysByDigest.clear();
    for (const auto& [id, key] : next->m_keys)
        next->m_keysByDigest.emplace(key.sha256, api_key { id, key });
    return next;
}

result<void> config_view::applyRecord(const wire::record& record)
{
    if (record.kind() == "organisation")
        return storeOrErase(m_organisations, record, decodeOrganisation);
    if (record.kind() == "limit")
        return storeOrErase(m_limits, record, decodeLimit);
    if (record.kind() == "key")
        return storeOrErase(m_keys, record, decodeKey);
    if (record.kind() == "model")
        return storeOrErase(m_models, record, decodeModel);
    if (record.kind() == "service")
        return storeOrErase(m_services, record, decodeService);
    if (record.kind() == "endpoint_role")
        return storeOrErase(m_roles, record, decodeEndpointRole);
    if (record.kind() == "evacuation")
        return storeOrErase(m_evacuations, record, decodeEvacuation);
    return failure { fmt::format("kind \"{}\" is unknown to this build", record.kind()) };
}

std::set<std::string> config_view::evacuatedDataCentres() const
{
    std::set<std::string> names;
    for (const auto& [name, evacuation] : m_evacuations) {
        if (evacuation.evacuated)
            names.insert(name);
    }
    return names;
}

const api_key* config_view::findKeyByDigest(const std::string& sha256) const
{
    auto found = m_keysByDigest.find(sha256);
    // The map's own comparison is not constant-time, so the digest is compared again in constant time.
    if (found == m_keysByDigest.end() || !equalConstantTime(found->second.record.sha256, sha256))
        return nullptr;
    return &found->second;
}

std::string modelShard(const std::string& model)
{
    return "model:" + model;
}

std::string serviceShard(const std::string& service)
{
    return "service:" + service;
}

std::string limitShard(const std::string& organisation)
{
    return fmt::format("limit:{}", XXH3_64bits(organisation.data(), organisation.size()) % limitShardCount);
}

} // namespace pistachiolatch
