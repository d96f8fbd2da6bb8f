#include "coordination/document_fetch.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// A piece is requested again after this delay, which doubles each time. A piece takes about 15 ms at 10 Mbit/s; the rest
    /// is for queueing on the way.
    constexpr milliseconds initialRetryDelay { 250 };
    constexpr milliseconds maxRetryDelay { 2000 };
    /// A larger size in a piece means that the piece is corrupt.
    constexpr std::uint32_t maxCompressedBytes = 32U * 1024 * 1024;
}

bool document_fetch::announce(std::uint64_t version)
{
    if (version <= m_announced)
        return false;
    bool wasCurrent = !isBehind();
    m_announced = version;
    if (wasCurrent) {
        m_nextRequestAt = {};
        m_retryDelay = initialRetryDelay;
    }
    return true;
}

std::optional<wire::document_ask> document_fetch::nextRequest(time_point now)
{
    if (!isBehind() || now < m_nextRequestAt)
        return std::nullopt;
    if (m_retryDelay == milliseconds(0))
        m_retryDelay = initialRetryDelay;
    m_nextRequestAt = now + m_retryDelay;
    m_retryDelay = std::min(m_retryDelay * 2, maxRetryDelay);
    wire::document_ask request;
    request.set_held_version(m_withoutBase ? 0 : m_document.version());
    request.set_version(m_received.version);
    request.set_digest(m_received.digest);
    request.set_offset(static_cast<std::uint32_t>(m_received.bytes.size()));
    return request;
}

wire::document_ask document_fetch::acknowledgement() const
{
    wire::document_ask request;
    request.set_held_version(m_document.version());
    return request;
}

piece_outcome document_fetch::handlePiece(const wire::document_piece& piece, time_point now)
{
    bool isNewTransfer = piece.version() != m_received.version || piece.digest() != m_received.digest;
    if (isNewTransfer) {
        // Only a first piece starts a transfer, and only if its base is available. A piece of an older version was delayed.
        bool usable = piece.version() > m_document.version() && piece.version() >= m_received.version && piece.offset() == 0 && piece.packed_bytes() <= maxCompressedBytes
            && (piece.base_version() == 0 || piece.base_version() == m_document.version());
        if (!usable)
            return piece_outcome::Ignored;
        m_received = { piece.version(), piece.base_version(), piece.digest(), {} };
        m_expectedBytes = piece.packed_bytes();
    }
    bool isNextPiece = piece.offset() == m_received.bytes.size() && !piece.bytes().empty() && piece.bytes().size() <= m_expectedBytes - piece.offset();
    if (!isNextPiece)
        return piece_outcome::Ignored;
    m_received.bytes += piece.bytes();
    m_retryDelay = initialRetryDelay;
    m_nextRequestAt = now;
    if (m_received.bytes.size() < m_expectedBytes)
        return piece_outcome::Accepted;
    bool digestMatches = compressedDigest(m_received.bytes) == m_received.digest;
    auto document = decompressDocument(m_received, m_received.baseVersion > 0 ? &m_document : nullptr);
    resetTransfer();
    if (!digestMatches || !document) {
        logEvent("document_damaged", { { "version", piece.version() }, { "base", piece.base_version() }, { "error", document ? "digest mismatch" : document.error().message } });
        m_nextRequestAt = now + initialRetryDelay;
        m_withoutBase = true;
        return piece_outcome::Corrupted;
    }
    m_withoutBase = false;
    m_document = std::move(document.value());
    return piece_outcome::Complete;
}

bool document_fetch::replaceDocument(const wire::document& document)
{
    if (document.version() <= m_document.version())
        return false;
    m_document = document;
    if (m_received.version <= m_document.version())
        resetTransfer();
    return true;
}

void document_fetch::resetTransfer()
{
    m_received = {};
    m_expectedBytes = 0;
}

} // namespace pistachiolatch
