#pragma once
#include "kernel/kernel.h"
#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace pistachiolatch {

/// Decides how much a process holds for all callers and endpoints of all its servers together: connections, heads and their fields,
/// bodies and their copies, responses. Load patterns: many callers, or endpoints, read slowly at the same time, or many callers send
/// most of a request and stop. Each connection is bounded, but a few dozen of them hold more than the VM has, and the process is
/// killed with all its calls. While the limit is near, large buffers grow no further; at the limit nothing new is taken in, and
/// the largest holder whose peer takes nothing is ended. Endpoints get more time than callers: their silence is no reason to end an
/// answer that they may still complete. Large holders take turns to use the last part of what they may, so that some of them become
/// complete and are freed instead of all keeping parts.
/// Without I/O. Thread safety: any thread, unless a method says otherwise.
class buffer_budget {
public:
    /// Identifies a caller's connection with the call on it.
    using holder_id = std::uint64_t;

    /// Why bytes are held.
    enum class wait_for {
        /// The caller has to read or send; a holder is ended for such bytes.
        Caller,
        /// The same, but nothing was sent to an endpoint yet, so that the holder can be ended as soon as others need the room.
        Upload,
        /// An endpoint has to; a holder is ended for them too, but later.
        Endpoint,
        /// A call that waits for its turn. They count for the limit, but are no reason to end the holder.
        Turn,
    };

    /// A holder to end, and what it held.
    struct stalled_holder {
        holder_id id = 0;
        std::size_t bytes = 0;
        duration idleTime { 0 };
    };

    /// Ends what a holder is about and has it release its bytes. Called by the thread that called the budget; must not call it back.
    using end_handler = std::function<void(const stalled_holder&)>;

    /// Holders of at most this many bytes may use the whole limit, so that short calls pass while long ones wait.
    static constexpr std::size_t smallHolderBytes = 64UL * 1024;
    /// The share of the limit at which larger holders have to take turns, and the one at which all of them have to wait.
    static constexpr double sharedShare = 0.5;
    static constexpr double largeHolderShare = 0.75;
    /// How long a large holder has the turn at most.
    static constexpr milliseconds maxTurnTime { 1000 };
    /// Holders that wait for their turn ask for it within this time. The one that had it may not have it again before.
    static constexpr milliseconds maxAskInterval { 300 };
    /// How long a holder may make no progress because of its caller while there is no room. Endpoints cut off responses that stay
    /// unread for some seconds.
    static constexpr milliseconds maxIdleTime { 1000 };
    /// The same because of an endpoint. Sound endpoints stand still for more than a second.
    static constexpr milliseconds maxEndpointIdleTime { 2500 };
    /// How long an incomplete request may make no progress while others need the room.
    static constexpr milliseconds maxUploadIdleTime { 250 };
    /// How long it may take in all while others need the room.
    static constexpr milliseconds maxUploadTime { 3000 };
    /// Fewer bytes than this count as no progress, until more of them have come.
    static constexpr std::size_t minProgressBytes = 1024;
    /// The share of a VM's memory that buffers may take; the rest is for the program, unread data and copies in between.
    static constexpr double memoryShare = 0.5;

    /// Sets the limit to the share of a VM's memory in MB; 0 means no limit.
    void setMemory(std::size_t megabytes);
    /// Sets the limit in bytes; 0 means no limit.
    void setLimit(std::size_t bytes) { m_limit = bytes; }
    /// The limit in bytes; 0 if there is none.
    std::size_t limit() const { return m_limit; }
    /// The bytes that are held.
    std::size_t held() const;
    /// Adds a holder. It is ended by the handler, if there is one.
    holder_id addHolder(end_handler onEnd = {});
    /// Has the budget call the holder's handler no more. What the holder still holds stays accounted until it is released.
    void removeHolder(holder_id holder);

    /// Whether the holder may take in more, for which a large one takes the turn if it is free. If not, its source should not be read
    /// until it asks again. The turn ends once the holder frees bytes, or after its time.
    bool mayGrow(holder_id holder, time_point now);
    /// Whether so many bytes more would leave large holders without the need to take turns.
    bool hasRoom(std::size_t bytes) const;
    /// Whether new connections and requests may be taken in.
    bool takesNewCalls() const { return fits(0); }
    /// Whether so many bytes more are within the limit.
    bool fits(std::size_t bytes) const;
    /// Ends holders with incomplete requests, those first that hold most and have moved least, until so many bytes are free or about
    /// to be. A holder that asks for room for itself is not ended. Returns how many were ended.
    unsigned makeRoom(holder_id holder, std::size_t bytes, time_point now);
    /// Ends and returns the largest holder that made no progress for as long as it may and doesn't have the turn, while large holders have to
    /// wait. It is returned once: the next call finds another one only if the holders that are not ended still hold too much.
    std::optional<stalled_holder> endStalled(time_point now);

    /// Accounts bytes to a holder. The first ones that wait for a caller or an endpoint count as progress.
    void hold(holder_id holder, std::size_t bytes, wait_for wait, time_point now);
    /// Takes bytes off again. Precondition: as many were held.
    void release(holder_id holder, std::size_t bytes, wait_for wait);
    /// Records that a peer of the holder took or sent bytes.
    void recordProgress(holder_id holder, time_point now, std::size_t bytes = minProgressBytes);

private:
    struct usage {
        std::size_t callerBytes = 0;
        std::size_t uploadBytes = 0;
        std::size_t endpointBytes = 0;
        std::size_t turnBytes = 0;
        /// When a peer made progress, and what it has taken or sent since.
        time_point progressAt {};
        std::size_t bytesSinceProgress = 0;
        time_point uploadStartedAt {};
        bool ended = false;

        std::size_t& bytes(wait_for wait);
        std::size_t peerBytes() const { return callerBytes + uploadBytes + endpointBytes; }
        std::size_t allBytes() const { return peerBytes() + turnBytes; }
        duration allowedIdleTime() const { return endpointBytes > 0 ? maxEndpointIdleTime : maxIdleTime; }
    };

    bool isLarge(holder_id holder) const;
    bool fitsLocked(std::size_t bytes) const { return m_limit == 0 || m_held + bytes < m_limit; }
    std::optional<stalled_holder> findStalled(time_point now) const;
    std::optional<stalled_holder> findUpload(holder_id except, time_point now) const;
    /// What holders that were ended have yet to release.
    std::size_t endedBytes() const;
    /// Marks a holder as ended and returns its handler.
    end_handler markEnded(holder_id holder);
    bool hasTurn(holder_id holder, time_point now) const { return m_turnHolder == holder && now < m_turnEndsAt; }
    std::size_t shareOfLimit(double share) const { return static_cast<std::size_t>(static_cast<double>(m_limit) * share); }

    mutable std::mutex m_mutex;
    std::size_t m_limit = 0;
    std::size_t m_held = 0;
    holder_id m_lastHolder = 0;
    /// The holder that took the turn last, until when it has it, and when another one asked for it in vain.
    holder_id m_turnHolder = 0;
    time_point m_turnEndsAt {};
    time_point m_deniedAt {};
    /// Holders of at least one byte.
    std::map<holder_id, usage> m_holders;
    std::map<holder_id, end_handler> m_endHandlers;
};

/// Bytes that are accounted to a holder until the charge is destroyed. Precondition: the budget outlives it. Used by one thread at a time.
class buffer_charge {
public:
    buffer_charge() = default;
    buffer_charge(buffer_budget& budget, buffer_budget::holder_id holder, buffer_budget::wait_for wait = buffer_budget::wait_for::Endpoint)
        : m_budget(&budget)
        , m_holder(holder)
        , m_wait(wait)
    {
    }
    ~buffer_charge() { clear(); }
    buffer_charge(buffer_charge&& other) noexcept;
    buffer_charge& operator=(buffer_charge&& other) noexcept;

    /// Changes the charge to this many bytes. Bytes that are added count as progress.
    void resize(std::size_t bytes, time_point now);
    std::size_t bytes() const { return m_bytes; }
    /// Has the bytes wait for something else.
    void setWait(buffer_budget::wait_for wait, time_point now);
    /// Records that the peer took some of the bytes.
    void recordProgress(time_point now, std::size_t bytes = buffer_budget::minProgressBytes);
    void clear();

private:
    buffer_budget* m_budget = nullptr;
    buffer_budget::holder_id m_holder = 0;
    buffer_budget::wait_for m_wait = buffer_budget::wait_for::Endpoint;
    std::size_t m_bytes = 0;
};

} // namespace pistachiolatch
