#pragma once
#include "routing/configuration.h"
#include <string_view>
#include <unordered_map>

namespace pistachiolatch {

/// Indexes a configuration for lookups. Immutable, so any thread may read it.
class route_table {
public:
    /// Precondition: validateConfiguration() accepts the configuration.
    explicit route_table(configuration source);

    /// The route of the host with the longest matching path prefix; null if there is none. A query in the path and a
    /// port in the host are ignored.
    const route_config* find(std::string_view host, std::string_view path) const;
    /// The organisation that owns the API key; null if there is none.
    const organisation_config* findOrganisation(const std::string& key) const;
    const service_config* findService(const std::string& name) const;
    /// Whether callers need API keys, except on public routes.
    bool requiresKeys() const { return m_source.requiresKeys || !m_source.organisations.empty(); }
    const configuration& source() const { return m_source; }
    std::uint64_t version() const { return m_source.version; }

private:
    configuration m_source;
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> m_routes;
    std::unordered_map<std::string, std::size_t> m_keys;
    std::unordered_map<std::string, std::size_t> m_services;
};

/// Maps a number in [0, 1) to one of the route's services in proportion to their weights. Precondition: the weights
/// don't add up to 0.
const std::string& chooseService(const route_config& route, double number);

} // namespace pistachiolatch
