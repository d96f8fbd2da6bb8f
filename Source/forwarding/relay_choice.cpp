#include "forwarding/relay_choice.h"

namespace pistachiolatch {

namespace {
    /// Offers are renewed about twice a second, and say by then whether the relay is cut off or gone.
    constexpr milliseconds unavailablePeriod { 700 };
}

void relay_choice::setOffers(const wire::relay_list& offers)
{
    m_offers.assign(offers.offers().begin(), offers.offers().end());
    auto now = m_clock.now();
    std::erase_if(m_unavailableUntil, [now](const auto& item) { return item.second <= now; });
}

std::optional<wire::relay_offer> relay_choice::choose(const std::set<std::string>& exclude)
{
    auto now = m_clock.now();
    std::vector<const wire::relay_offer*> candidates;
    for (const auto& offer : m_offers) {
        auto unavailable = m_unavailableUntil.find(offer.address());
        bool isUnavailable = unavailable != m_unavailableUntil.end() && now < unavailable->second;
        if (!offer.cut_off() && !isUnavailable && exclude.count(offer.address()) == 0)
            candidates.push_back(&offer);
    }
    if (candidates.empty())
        return std::nullopt;
    return *candidates[m_random() % candidates.size()];
}

std::optional<wire::relay_offer> relay_choice::find(const std::string& address) const
{
    for (const auto& offer : m_offers) {
        if (offer.address() == address)
            return offer;
    }
    return std::nullopt;
}

void relay_choice::recordUnavailable(const std::string& address)
{
    m_unavailableUntil[address] = m_clock.now() + unavailablePeriod;
}

} // namespace pistachiolatch
