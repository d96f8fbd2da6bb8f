#pragma once
#include "coordination/compressed_document.h"
#include <optional>

namespace pistachiolatch {

/// What came of a piece.
enum class piece_outcome {
    /// It belongs to another transfer, or was taken before.
    Unwanted,
    Taken,
    /// The document is complete.
    Complete,
    /// All pieces are there and don't make a document; the transfer begins anew.
    Damaged,
};

/// Gets the newest document piece by piece, at the pace of the link. A piece names its place, so it is good whenever it
/// comes: what is late is not asked for again from the start, and what was taken stays taken when a reply is lost or
/// another leader goes on. A document that had to come in one reply, before a timeout, never came over a link on which it
/// takes longer than that.
/// Takes messages and time, returns effects; no I/O. Not thread-safe.
class document_fetch {
public:
    /// Takes note of the leader's word that a version is the newest. Returns whether that is news.
    bool announce(std::uint64_t version);
    /// Whether something is to be fetched.
    bool wanted() const { return m_announced > m_held.version(); }
    /// What to ask the leader now, if it is time to.
    std::optional<wire::document_ask> due(time_point now);
    /// When due() has something to ask; time_point::max() when there is nothing.
    time_point nextDue() const { return wanted() ? m_askAt : time_point::max(); }
    /// What was asked of the last leader is not coming.
    void leaderChanged() { m_askAt = {}; }
    piece_outcome take(const wire::document_piece& piece, time_point now);
    /// The question that tells the leader that all is taken.
    wire::document_ask acknowledgement() const;
    /// The newest document that is complete; version 0 while there is none.
    const wire::document& held() const { return m_held; }
    /// Takes a document that came whole. Returns whether it is newer than the one held.
    bool takeWhole(const wire::document& document);

private:
    void beginAnew();

    std::uint64_t m_announced = 0;
    wire::document m_held;
    packed_document m_received;
    std::uint32_t m_packedBytes = 0;
    time_point m_askAt {};
    milliseconds m_patience { 0 };
    /// Whether the held document is no base for the next transfer, since one that built on it came out damaged.
    bool m_alone = false;
};

} // namespace pistachiolatch
