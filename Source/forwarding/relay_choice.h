#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// The other entries that can open connections for this one, and the choice among them. Those that aren't cut off
/// themselves are chosen at random with equal chances, so that entries that are cut off together spread their calls.
/// Not thread-safe.
class relay_choice {
public:
    relay_choice(const clock_source& clock, std::uint64_t seed)
        : m_clock(clock)
        , m_random(seed)
    {
    }

    void setOffers(const wire::relay_list& offers);
    /// Chooses a relay whose address is not excluded; empty if there is none that may help.
    std::optional<wire::relay_offer> choose(const std::set<std::string>& exclude);
    /// The offer of a relay; empty if it makes none any more.
    std::optional<wire::relay_offer> find(const std::string& address) const;
    /// Records that a relay could not help, so that it is left out for a while.
    void recordUnavailable(const std::string& address);
    bool empty() const { return m_offers.empty(); }

private:
    const clock_source& m_clock;
    std::mt19937_64 m_random;
    std::vector<wire::relay_offer> m_offers;
    std::map<std::string, time_point> m_unavailableUntil;
};

} // namespace pistachiolatch
