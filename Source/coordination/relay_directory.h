#pragma once
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>
#include <map>
#include <string>

namespace pistachiolatch {

/// The relay offers that a leader knows, by name of their entry. Not thread-safe.
class relay_directory {
public:
    /// Offers that an entry receives at most; enough to spread the calls of an entry that is cut off.
    static constexpr std::size_t maxOffers = 16;

    /// Replaces an entry's offer; an offer without an address withdraws it.
    void update(const std::string& entry, const wire::relay_offer& offer);
    void remove(const std::string& entry);
    void clear();
    /// Changes whenever an offer does.
    std::uint64_t version() const { return m_version; }
    /// Offers of others for this entry, those that reach endpoints first. Entries receive different ones, so that those
    /// that are cut off together don't all use the same relays.
    wire::relay_list offersFor(const std::string& entry) const;

private:
    std::map<std::string, wire::relay_offer> m_offers;
    std::uint64_t m_version = 1;
};

} // namespace pistachiolatch
