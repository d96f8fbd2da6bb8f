#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <map>
#include <string>
#include <vector>

namespace pistachiolatch {

/// An endpoint that hasn't announced itself for this long gets no new work.
constexpr milliseconds endpointTimeout { 3000 };
/// Maximum delay of an announcement that an endpoint sent just before its connection broke.
constexpr milliseconds maxAnnouncementDelay { 700 };
/// How long the row of a silent endpoint is kept, so that a delayed announcement can't add it again.
constexpr milliseconds endpointRetention { 60000 };

enum class announcement_effect {
    /// Not newer than the known announcement; ignored.
    Stale,
    Refreshed,
    Joined,
    /// The id has a new incarnation: the earlier one has ended.
    Restarted,
    Leaving,
};

/// The endpoints of one pool, built from their announcements. Not thread-safe.
class endpoint_table {
public:
    /// Applies an announcement that was sent `age` ago. Announcements are ordered by (incarnation, sequence), so that a
    /// delayed one can't overwrite a later one.
    announcement_effect applyAnnouncement(const wire::endpoint_announcement& announcement, milliseconds age, time_point now);
    /// Excludes an endpoint whose connection broke from new work until its next announcement. Otherwise the next
    /// requests would go to the failed endpoint too, and would fail or be suspected of having crashed it.
    void suspend(const std::string& id, time_point now);
    /// Marks endpoints as dead after endpointTimeout and returns their ids; removes their rows after endpointRetention.
    std::vector<std::string> expire(time_point now);
    /// The announcement of an endpoint that is alive, even if it is leaving; null otherwise.
    const wire::endpoint_announcement* find(const std::string& id) const;
    /// Announcements of endpoints that may get new work. The pointers are valid until the table changes.
    std::vector<const wire::endpoint_announcement*> serving() const;
    /// Ids of all endpoints that are alive.
    std::vector<std::string> alive() const;

private:
    struct row {
        wire::endpoint_announcement announcement;
        time_point lastContact;
        bool alive = true;
        /// When the connection broke; the epoch if the endpoint is not suspended.
        time_point suspendedAt {};
    };
    std::map<std::string, row> m_rows;
};

} // namespace pistachiolatch
