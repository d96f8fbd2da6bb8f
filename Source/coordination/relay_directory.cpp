#include "coordination/relay_directory.h"

#include <vector>

namespace pistachiolatch {

void relay_directory::update(const std::string& entry, const wire::relay_offer& offer)
{
    if (offer.address().empty()) {
        remove(entry);
        return;
    }
    auto& known = m_offers[entry];
    if (known.SerializeAsString() == offer.SerializeAsString())
        return;
    known = offer;
    ++m_version;
}

void relay_directory::remove(const std::string& entry)
{
    if (m_offers.erase(entry) > 0)
        ++m_version;
}

void relay_directory::clear()
{
    m_offers.clear();
    ++m_version;
}

wire::relay_list relay_directory::offersFor(const std::string& entry) const
{
    std::vector<const wire::relay_offer*> connected;
    std::vector<const wire::relay_offer*> cutOff;
    auto add = [&](auto begin, auto end) {
        for (auto it = begin; it != end; ++it) {
            if (it->first != entry)
                (it->second.cut_off() ? cutOff : connected).push_back(&it->second);
        }
    };
    auto own = m_offers.lower_bound(entry);
    add(own, m_offers.end());
    add(m_offers.begin(), own);
    connected.insert(connected.end(), cutOff.begin(), cutOff.end());
    wire::relay_list list;
    for (std::size_t i = 0; i < connected.size() && i < maxOffers; ++i)
        *list.add_offers() = *connected[i];
    return list;
}

} // namespace pistachiolatch
