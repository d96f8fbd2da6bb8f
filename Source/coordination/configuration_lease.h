#pragma once
#include "kernel/kernel.h"
#include <map>

namespace pistachiolatch {

/// Determines until when an entry may act on the configuration that it has applied. The leader confirms that a version was
/// the newest at some moment; this extends the lease if that version or a newer one is applied. A confirmation often
/// arrives before its document: extending the lease at once would cover an older configuration with a withdrawn key.
/// When a newer version is known, the lease ends early, so that the newer version is in force everywhere within the bound on
/// changes. The lease itself is longer: it covers the time that an entry may run without hearing from a leader.
/// Not thread-safe.
class configuration_lease {
public:
    /// Records the leader's confirmation of a version, valid until the given expiry.
    void confirm(std::uint64_t version, time_point expiry)
    {
        if (version <= m_applied) {
            m_expiry = std::max(m_expiry, expiry);
            return;
        }
        auto& known = m_confirmed[version];
        known = std::max(known, expiry);
        if (m_confirmed.size() > maxTrackedVersions)
            m_confirmed.erase(m_confirmed.begin());
    }

    /// Records that the leader accepted a version. Leases of older versions expire at the given time at the latest.
    void supersede(std::uint64_t version, time_point olderExpiry)
    {
        if (version <= m_applied)
            return;
        auto& expiry = m_successors.try_emplace(version, olderExpiry).first->second;
        expiry = std::min(expiry, olderExpiry);
        // The oldest successor limits the applied version; later ones matter only once it is applied itself.
        if (m_successors.size() > maxTrackedVersions)
            m_successors.erase(std::prev(m_successors.end()));
    }

    void setApplied(std::uint64_t version)
    {
        m_applied = std::max(m_applied, version);
        m_successors.erase(m_successors.begin(), m_successors.upper_bound(m_applied));
        auto newer = m_confirmed.upper_bound(m_applied);
        for (auto it = m_confirmed.begin(); it != newer; ++it)
            m_expiry = std::max(m_expiry, it->second);
        m_confirmed.erase(m_confirmed.begin(), newer);
    }

    time_point expiry() const
    {
        auto expiry = m_expiry;
        for (const auto& [version, end] : m_successors)
            expiry = std::min(expiry, end);
        return expiry;
    }

private:
    /// Bounds memory. A lease needs only the newest confirmations and the oldest successors.
    static constexpr std::size_t maxTrackedVersions = 64;

    std::uint64_t m_applied = 0;
    time_point m_expiry {};
    /// Expiry by confirmed version that is not yet applied.
    std::map<std::uint64_t, time_point> m_confirmed;
    /// Expiry of the applied version, by the newer version that supersedes it.
    std::map<std::uint64_t, time_point> m_successors;
};

} // namespace pistachiolatch
