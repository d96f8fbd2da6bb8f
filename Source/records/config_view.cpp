#include "records/config_view.h"

#include <xxhash.h>

namespace pistachiolatch {

namespace {
    template <typename T, typename Decoder>
    result<void> store(std::map<std::string, T>& items, const wire::record& record, Decoder decode)
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

std::shared_ptr<const config_view> config_view::applyChanges(const config_view& before, std::uint64_t revision,
    const std::vector<wire::record>& changed, std::vector<std::string>& problems)
{
    auto next = std::make_shared<config_view>(before);
    next->m_revision = revision;
    for (const auto& record : changed) {
        auto taken = next->take(record);
        if (!taken)
            problems.push_back(taken.error().message);
    }
    next->m_byDigest.clear();
    for (const auto& [id, key] : next->m_keys)
        next->m_byDigest.emplace(key.sha256, key_view { id, key });
    return next;
}

result<void> config_view::take(const wire::record& record)
{
    if (record.kind() == "organisation")
        return store(m_organisations, record, decodeOrganisation);
    if (record.kind() == "limit")
        return store(m_limits, record, decodeLimit);
    if (record.kind() == "key")
        return store(m_keys, record, decodeKey);
    if (record.kind() == "model")
        return store(m_models, record, decodeModel);
    if (record.kind() == "service")
        return store(m_services, record, decodeService);
    if (record.kind() == "endpoint_role")
        return store(m_roles, record, decodeEndpointRole);
    return failure { fmt::format("kind \"{}\" is unknown to this build", record.kind()) };
}

const key_view* config_view::findKeyByDigest(const std::string& sha256) const
{
    auto found = m_byDigest.find(sha256);
    // The table finds by hash and compares as it likes; the last word is a comparison in constant time.
    if (found == m_byDigest.end() || !equalConstantTime(found->second.record.sha256, sha256))
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
