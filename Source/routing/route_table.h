#pragma once
#include "routing/configuration.h"
#include <string_view>
#include <unordered_map>

namespace pistachiolatch {

/// A configuration made ready for look-ups. Immutable once built, so any thread may read it.
class route_table {
public:
    /// Precondition: validateConfiguration() accepted it.
    explicit route_table(configuration source);

    /// The route of that host with the longest prefix of the path; null when there is none. A query after the path
    /// is not part of it, nor is a port after the host.
    const route_config* find(std::string_view host, std::string_view path) const;
    /// The organisation that holds the key; null when none does.
    const organisation_config* findOrganisation(const std::string& key) const;
    const service_config* findService(const std::string& name) const;
    /// Whether callers need keys at all.
    bool requiresKeys() const { return !m_source.organisations.empty(); }
    const configuration& source() const { return m_source; }
    std::uint64_t version() const { return m_source.version; }

private:
    configuration m_source;
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> m_routes;
    std::unordered_map<std::string, std::size_t> m_keys;
    std::unordered_map<std::string, std::size_t> m_services;
};

/// The service that a number in [0, 1) falls on by the weights. Precondition: the weights don't add up to 0.
const std::string& chooseService(const route_config& route, double number);

} // namespace pistachiolatch
