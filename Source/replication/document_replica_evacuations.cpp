// Orders to evacuate data centres.
#include "replication/document_replica.h"

namespace pistachiolatch {

void document_replica::submitEvacuation(const std::string& dataCentre, bool evacuated, evacuation_handler handler)
{
    wire::evacuation_order order;
    order.set_data_centre(dataCentre);
    order.set_evacuated(evacuated);
    order.set_known_revision(m_evacuations.revision());
    auto leader = leaderAddress();
    if (isLeader() || leader.empty() || leader == m_self.address()) {
        proposeEvacuation(order, std::move(handler));
        return;
    }
    wire::envelope message;
    *message.mutable_evacuation_submit()->mutable_order() = std::move(order);
    m_network.call(leader, std::move(message), leaderCallTimeout, [handler = std::move(handler)](const wire::envelope* reply) {
        handler(reply && reply->has_evacuation_submit_reply() ? reply->evacuation_submit_reply().result() : wire::EVACUATION_UNAVAILABLE);
    });
}

void document_replica::proposeEvacuation(const wire::evacuation_order& order, evacuation_handler handler)
{
    if (!isLeader()) {
        handler(wire::EVACUATION_UNAVAILABLE);
        return;
    }
    auto result = resultOf(order);
    if (m_evacuations.check(order) != evacuation_table::outcome::Applied || m_evacuations.holds(order)) {
        handler(result);
        return;
    }
    // A replica of such a version would drop the order from its snapshots, and lose it when it is upgraded and elected.
    if (auto vm = findUnsupportingVoter(); !vm.empty()) {
        logEvent("evacuation_unsupported", { { "data_centre", order.data_centre() }, { "vm", vm } });
        handler(wire::EVACUATION_UNAVAILABLE);
        return;
    }
    wire::command command;
    *command.mutable_evacuate() = order;
    proposeCommand(command, [this, order, handler = std::move(handler)](bool lost) { handler(lost ? wire::EVACUATION_UNAVAILABLE : resultOf(order)); });
}

wire::evacuation_result document_replica::resultOf(const wire::evacuation_order& order) const
{
    if (m_evacuations.holds(order))
        return wire::EVACUATION_ACCEPTED;
    bool isFull = m_evacuations.check(order) == evacuation_table::outcome::Full;
    return isFull ? wire::EVACUATION_TOO_MANY : wire::EVACUATION_UNAVAILABLE;
}

void document_replica::applyEvacuation(const wire::evacuation_order& order)
{
    auto before = m_evacuations.revision();
    auto outcome = m_evacuations.apply(order, m_applied);
    bool changed = m_evacuations.revision() != before;
    logEvent("evacuation_committed", { { "data_centre", order.data_centre() }, { "evacuated", order.evacuated() ? 1 : 0 }, { "index", m_applied }, { "known_revision", order.known_revision() }, { "changed", changed ? 1 : 0 }, { "stale", outcome == evacuation_table::outcome::Stale ? 1 : 0 } });
    if (changed)
        m_events.evacuationsChanged();
}

std::string document_replica::findUnsupportingVoter() const
{
    for (const auto& voter : core().members().voters()) {
        auto known = m_supportsEvacuations.find({ voter.vm(), voter.incarnation() });
        if (known != m_supportsEvacuations.end() && !known->second)
            return voter.vm();
    }
    return {};
}

void document_replica::recordSupport(const wire::raft_message& message)
{
    // Forgetting a replica is harmless: it counts as supporting evacuations until its next message.
    constexpr std::size_t maxReplicas = 64;
    if (m_supportsEvacuations.size() >= maxReplicas)
        m_supportsEvacuations.clear();
    m_supportsEvacuations[{ message.from().vm(), message.from().incarnation() }] = message.supports_evacuations();
}

} // namespace pistachiolatch
