#pragma once
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// The load that each entry reports by endpoint. Sums are updated with each report: summing up for each entry that asks
/// would make the leader's work grow with the square of the number of entries. For the same reason an entry receives the
/// load of a bounded number of endpoints, the busiest ones: among the others any choice is about as good.
/// Performs no I/O. Not thread-safe.
class entry_loads {
public:
    using loads = google::protobuf::RepeatedPtrField<wire::endpoint_load>;

    /// Replaces an entry's last report.
    void replace(const std::string& entry, const loads& reported);
    void remove(const std::string& entry);
    void clear();
    /// Endpoints whose load an entry receives at most.
    static constexpr std::size_t maxRows = 64;

    /// Adds the load of all other entries; leaves out endpoints without any, and all but the busiest if there are many.
    void fillOthers(const std::string& entry, loads& others);

private:
    struct load {
        std::uint32_t requests = 0;
        std::uint64_t tokens = 0;
    };
    using sum_map = std::map<std::string, load>;
    void subtract(const std::string& endpoint, const load& part);
    void addRow(const std::map<std::string, load>* own, const sum_map::value_type& sum, loads& others) const;
    void updateBusiest();

    std::map<std::string, std::map<std::string, load>> m_entries;
    sum_map m_sums;
    /// The busiest endpoints as of some reports ago.
    std::vector<std::string> m_busiest;
    unsigned m_reportsSinceUpdate = 0;
};

} // namespace pistachiolatch
