#include "membership/evacuation_table.h"

#include <algorithm>
#include <cctype>

namespace pistachiolatch {

bool evacuation_table::isValidName(const std::string& name)
{
    auto isNameCharacter = [](unsigned char character) { return std::isalnum(character) || character == '-' || character == '_' || character == '.'; };
    return !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), isNameCharacter);
}

bool evacuation_table::isEvacuated(const std::string& dataCentre) const
{
    auto found = m_dataCentres.find(dataCentre);
    return found != m_dataCentres.end() && found->second.evacuated;
}

std::set<std::string> evacuation_table::evacuated() const
{
    std::set<std::string> names;
    for (const auto& [name, state] : m_dataCentres) {
        if (state.evacuated)
            names.insert(name);
    }
    return names;
}

evacuation_table::outcome evacuation_table::check(const wire::evacuation_order& order) const
{
    if (holds(order))
        return outcome::Applied;
    auto found = m_dataCentres.find(order.data_centre());
    if (found != m_dataCentres.end() && found->second.revision > order.known_revision())
        return outcome::Stale;
    auto isEvacuation = [](const auto& item) { return item.second.evacuated; };
    auto count = static_cast<std::size_t>(std::count_if(m_dataCentres.begin(), m_dataCentres.end(), isEvacuation));
    return order.evacuated() && count >= maxEvacuated ? outcome::Full : outcome::Applied;
}

evacuation_table::outcome evacuation_table::apply(const wire::evacuation_order& order, std::uint64_t revision)
{
    auto checked = check(order);
    if (checked != outcome::Applied || holds(order))
        return checked;
    m_dataCentres[order.data_centre()] = { order.evacuated(), revision };
    m_revision = revision;
    removeOldWithdrawals();
    return checked;
}

void evacuation_table::removeOldWithdrawals()
{
    // Every replica must remove the same ones, so the choice depends on the table alone.
    while (m_dataCentres.size() > 2 * maxEvacuated) {
        auto isOlderWithdrawal = [](const auto& left, const auto& right) {
            return std::pair(left.second.evacuated, left.second.revision) < std::pair(right.second.evacuated, right.second.revision);
        };
        m_dataCentres.erase(std::min_element(m_dataCentres.begin(), m_dataCentres.end(), isOlderWithdrawal));
    }
}

wire::evacuation_state evacuation_table::encode() const
{
    wire::evacuation_state state;
    state.set_revision(m_revision);
    for (const auto& [name, dataCentre] : m_dataCentres) {
        auto& row = *state.add_data_centres();
        row.set_data_centre(name);
        row.set_evacuated(dataCentre.evacuated);
        row.set_revision(dataCentre.revision);
    }
    return state;
}

bool evacuation_table::load(const wire::evacuation_state& state)
{
    if (state.revision() <= m_revision)
        return false;
    m_dataCentres.clear();
    for (const auto& row : state.data_centres())
        m_dataCentres[row.data_centre()] = { row.evacuated(), row.revision() };
    m_revision = state.revision();
    return true;
}

} // namespace pistachiolatch
