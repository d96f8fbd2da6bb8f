#pragma once
#include "coordination/compressed_document.h"
#include <optional>

namespace pistachiolatch {

enum class piece_outcome {
    /// The piece belongs to another transfer or is a duplicate.
    Ignored,
    Accepted,
    /// The document is complete.
    Complete,
    /// All pieces arrived but don't form a valid document; the transfer restarts.
    Corrupted,
};

/// Downloads the newest document in pieces. Each piece carries its offset, so a late one is still usable, and progress
/// survives lost replies and a change of leader. A whole document in one reply would never arrive over a link on which it
/// takes longer than the timeout.
/// Performs no I/O. Not thread-safe.
class document_fetch {
public:
    /// Records that the leader announced a version as the newest. Returns whether it was unknown.
    bool announce(std::uint64_t version);
    /// Whether a newer version than the held one was announced.
    bool isBehind() const { return m_announced > m_document.version(); }
    /// The request to send to the leader now, if one is due.
    std::optional<wire::document_ask> nextRequest(time_point now);
    /// When the next request is due; time_point::max() if none is.
    time_point nextRequestAt() const { return isBehind() ? m_nextRequestAt : time_point::max(); }
    /// Makes the next request due at once, since the previous leader won't reply.
    void onLeaderChanged() { m_nextRequestAt = {}; }
    piece_outcome handlePiece(const wire::document_piece& piece, time_point now);
    /// The request that tells the leader that the transfer is complete.
    wire::document_ask acknowledgement() const;
    /// The newest complete document; version 0 if there is none.
    const wire::document& document() const { return m_document; }
    /// Replaces the held document by a newer one that was received in one message. Returns whether it is newer.
    bool replaceDocument(const wire::document& document);

private:
    void resetTransfer();

    std::uint64_t m_announced = 0;
    wire::document m_document;
    compressed_document m_received;
    std::uint32_t m_expectedBytes = 0;
    time_point m_nextRequestAt {};
    milliseconds m_retryDelay { 0 };
    /// Whether to request a full document, since the last transfer based on the held one was corrupted.
    bool m_withoutBase = false;
};

} // namespace pistachiolatch
