#pragma once
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>

namespace pistachiolatch {

/// The load that each entry reports by endpoint. Sums are updated with each report: summing up for each entry that asks
/// would make the leader's work grow with the square of the number of entries. Performs no I/O. Not thread-safe.
class entry_loads {
public:
    using loads = google::protobuf::RepeatedPtrField<wire::endpoint_load>;

    /// Replaces an entry's last report.
    void replace(const std::string& entry, const loads& reported);
    void remove(const std::string& entry);
    void clear();
    /// Adds the load of all other entries; leaves out endpoints without any.
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
