#pragma once
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace pistachiolatch {

/// The data centres that operators have evacuated: no new work goes to the endpoints there. Every replica applies the same
/// orders in the order of the log, so all of them hold the same table. An order names no id, so its copies can't be told
/// from new orders; instead each states the revision of the table that it was issued against, and a copy that arrives after
/// its data centre has changed again is recognised as stale.
/// Performs no I/O. Not thread-safe.
class evacuation_table {
public:
    enum class outcome {
        /// The table holds what was ordered, either since this order or already before it.
        Applied,
        /// The data centre has changed since the order was issued; nothing was changed.
        Stale,
        /// Too many data centres are evacuated; nothing was changed.
        Full,
    };
    /// Data centres that can be evacuated at the same time, far more than any fleet has. Bounds what misspelt orders leave.
    static constexpr std::size_t maxEvacuated = 256;
    /// Longest accepted name of a data centre.
    static constexpr std::size_t maxNameLength = 100;

    /// Whether a text can be the name of a data centre: not empty, not overlong, and only letters, digits, '-', '_' and '.'.
    /// Thread safety: any thread.
    static bool isValidName(const std::string& name);

    /// Applies an order. The revision must be higher than that of any order before, such as its index in the log.
    outcome apply(const wire::evacuation_order& order, std::uint64_t revision);
    /// What apply() would return, without changing anything.
    outcome check(const wire::evacuation_order& order) const;
    /// Whether the table holds what the order asks for.
    bool holds(const wire::evacuation_order& order) const { return isEvacuated(order.data_centre()) == order.evacuated(); }
    bool isEvacuated(const std::string& dataCentre) const;
    std::set<std::string> evacuated() const;
    /// The revision of the last change; 0 if there was none.
    std::uint64_t revision() const { return m_revision; }

    wire::evacuation_state encode() const;
    /// Replaces the table by a newer one. Returns whether the state is newer; an older one changes nothing.
    bool load(const wire::evacuation_state& state);

private:
    struct data_centre {
        bool evacuated = false;
        /// The revision of the last change.
        std::uint64_t revision = 0;
    };
    /// Forgets the withdrawals that are the longest ago, beyond as many as there can be evacuations.
    void removeOldWithdrawals();

    std::map<std::string, data_centre> m_dataCentres;
    std::uint64_t m_revision = 0;
};

} // namespace pistachiolatch
