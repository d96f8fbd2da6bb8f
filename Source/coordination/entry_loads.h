#pragma once
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// What the entries have at each endpoint, as they report it. Sums are kept as reports come: added up anew for each entry
/// that asks, the leader's work grew with the square of the entries. Pure; not thread-safe.
class entry_loads {
public:
    using loads = google::protobuf::RepeatedPtrField<wire::endpoint_load>;

    /// Takes an entry's report in place of its last.
    void replace(const std::string& entry, const loads& reported);
    void forget(const std::string& entry);
    void clear();
    /// What all other entries have; endpoints at which they have nothing are left out.
    void fillOthers(const std::string& entry, loads& others) const;

private:
    struct load {
        std::uint32_t requests = 0;
        std::uint64_t tokens = 0;
    };
    void subtract(const std::string& endpoint, const load& part);

    std::map<std::string, std::map<std::string, load>> m_entries;
    std::map<std::string, load> m_sums;
};

} // namespace pistachiolatch
