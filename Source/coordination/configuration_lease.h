#pragma once
#include "kernel/kernel.h"
#include <map>

namespace pistachiolatch {

/// Until when an entry may act on the configuration that it holds. The leader's word that a version was the newest at some
/// moment counts for whoever holds that version or a newer one. It often comes before the document itself: extended at
/// once, the lease would cover an older configuration with a key that was withdrawn.
/// A configuration that the entry knows to be superseded ends sooner than its lease, which is as long as an entry may go on
/// without word from a leader: the successor must be in force everywhere by then.
/// Not thread-safe.
class configuration_lease {
public:
    /// Takes the leader's word on a version, which lasts until a moment.
    void vouch(std::uint64_t version, time_point until)
    {
        if (version <= m_held) {
            m_until = std::max(m_until, until);
            return;
        }
        auto& known = m_vouched[version];
        known = std::max(known, until);
        if (m_vouched.size() > mostVouched)
            m_vouched.erase(m_vouched.begin());
    }

    /// Takes the leader's word that a version was accepted. Older ones end at a moment, unless they end sooner already.
    void supersede(std::uint64_t version, time_point olderEndAt)
    {
        if (version <= m_held)
            return;
        auto& end = m_superseding.try_emplace(version, olderEndAt).first->second;
        end = std::min(end, olderEndAt);
        // The oldest of them ends what is held; those behind it matter only once it is applied.
        if (m_superseding.size() > mostVouched)
            m_superseding.erase(std::prev(m_superseding.end()));
    }

    /// Notes that a version is in force here.
    void hold(std::uint64_t version)
    {
        m_held = std::max(m_held, version);
        m_superseding.erase(m_superseding.begin(), m_superseding.upper_bound(m_held));
        auto newer = m_vouched.upper_bound(m_held);
        for (auto it = m_vouched.begin(); it != newer; ++it)
            m_until = std::max(m_until, it->second);
        m_vouched.erase(m_vouched.begin(), newer);
    }

    time_point until() const
    {
        auto until = m_until;
        for (const auto& [version, end] : m_superseding)
            until = std::min(until, end);
        return until;
    }

private:
    /// More words than fit into a lease are never needed: the newest of them count.
    static constexpr std::size_t mostVouched = 64;

    std::uint64_t m_held = 0;
    time_point m_until {};
    std::map<std::uint64_t, time_point> m_vouched;
    /// When the configuration that is held ends because of a newer one, by the newer one's version.
    std::map<std::uint64_t, time_point> m_superseding;
};

} // namespace pistachiolatch
