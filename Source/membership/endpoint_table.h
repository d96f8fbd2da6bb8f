#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// An endpoint not heard for this long gets no new work.
constexpr milliseconds endpointTimeout { 3000 };
/// An announcement that left an endpoint just before its connection broke may still be on its way for this long.
constexpr milliseconds maxAnnouncementDelay { 700 };
/// How long an endpoint gone is remembered, so that a delayed announcement can't bring it back.
constexpr milliseconds endpointRetention { 60000 };

enum class announcement_effect {
    /// Older than what is known; ignored.
    Stale,
    Refreshed,
    Joined,
    /// The same id under a new incarnation: the earlier one ended.
    Restarted,
    Leaving,
};

/// The endpoints of one pool as their announcements tell them. Not thread-safe.
class endpoint_table {
public:
    /// Takes an announcement that was made `age` before now. Ordered by (incarnation, sequence), so one that was
    /// delayed on its way can't undo a later one.
    announcement_effect applyAnnouncement(const wire::endpoint_announcement& announcement, milliseconds age, time_point now);
    /// Keeps new work away from an endpoint whose connection just broke, until it is heard again. Without it the next
    /// requests run into the dead endpoint too and fail, or are taken for what killed it.
    void suspend(const std::string& id, time_point now);
    /// Drops endpoints not heard lately; returns their ids.
    std::vector<std::string> expire(time_point now);
    /// The announcement of an endpoint that is alive, leaving or not; else null.
    const wire::endpoint_announcement* find(const std::string& id) const;
    /// Announcements of endpoints that may get new work. The pointers hold until the table is changed.
    std::vector<const wire::endpoint_announcement*> serving() const;
    /// Ids of all endpoints alive.
    std::vector<std::string> alive() const;

private:
    struct row {
        wire::endpoint_announcement announcement;
        time_point heardAt;
        bool alive = true;
        /// When its connection broke; the start of time when it is not suspended.
        time_point suspendedAt {};
    };
    std::map<std::string, row> m_rows;
};

} // namespace pistachiolatch
