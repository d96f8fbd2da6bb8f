#pragma once
#include "records/record_types.h"
#include <map>
#include <memory>
#include <unordered_map>

namespace pistachiolatch {

/// A caller's API key: its record and the name of the record.
struct api_key {
    std::string id;
    key_record record;
};

/// The decoded records in force at one revision. Immutable, so any thread may read it.
class config_view {
public:
    /// Returns a view with the changed records applied. Records that cannot be decoded are skipped and reported in
    /// `problems`. Precondition: revision is not lower than that of `previous`.
    static std::shared_ptr<const config_view> applyChanges(const config_view& previous, std::uint64_t revision,
        const std::vector<wire::record>& changed, std::vector<std::string>& problems);

    std::uint64_t revision() const { return m_revision; }
    const api_key* findKeyByDigest(const std::string& sha256) const;
    const organisation_record* organisation(const std::string& name) const { return findByName(m_organisations, name); }
    const limit_record* limit(const std::string& name) const { return findByName(m_limits, name); }
    const model_record* model(const std::string& name) const { return findByName(m_models, name); }
    const service_record* service(const std::string& name) const { return findByName(m_services, name); }
    const std::map<std::string, model_record>& models() const { return m_models; }
    const std::map<std::string, endpoint_role_record>& endpointRoles() const { return m_roles; }
    const std::map<std::string, limit_record>& limits() const { return m_limits; }
    std::set<std::string> evacuatedDataCentres() const;

private:
    template <typename T>
    static const T* findByName(const std::map<std::string, T>& items, const std::string& name)
    {
        auto found = items.find(name);
        return found == items.end() ? nullptr : &found->second;
    }
    result<void> applyRecord(const wire::record& record);

    std::uint64_t m_revision = 0;
    std::map<std::string, organisation_record> m_organisations;
    std::map<std::string, limit_record> m_limits;
    std::map<std::string, model_record> m_models;
    std::map<std::string, service_record> m_services;
    std::map<std::string, endpoint_role_record> m_roles;
    std::map<std::string, evacuation_record> m_evacuations;
    std::map<std::string, key_record> m_keys;
    std::unordered_map<std::string, api_key> m_keysByDigest;
};

/// The number of limit shards that organisations are distributed over.
constexpr std::uint32_t limitShardCount = 8;
/// Return the name of the shard that owns a model, a service or an organisation's limit. Thread safety: any thread.
std::string modelShard(const std::string& model);
std::string serviceShard(const std::string& service);
std::string limitShard(const std::string& organisation);

} // namespace pistachiolatch
