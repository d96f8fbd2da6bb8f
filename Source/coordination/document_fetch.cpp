#include "coordination/document_fetch.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// How long a piece may take before it is asked for again, doubled each time. A piece takes some 15 ms at 10 Mbit/s;
    /// the rest is for queues on the way.
    constexpr milliseconds firstPatience { 250 };
    constexpr milliseconds longestPatience { 2000 };
    /// The largest packed document that is gathered; one that names more is damaged.
    constexpr std::uint32_t mostPackedBytes = 32U * 1024 * 1024;
}

bool document_fetch::announce(std::uint64_t version)
{
    if (version <= m_announced)
        return false;
    bool idle = !wanted();
    m_announced = version;
    if (idle) {
        m_askAt = {};
        m_patience = firstPatience;
    }
    return true;
}

std::optional<wire::document_ask> document_fetch::due(time_point now)
{
    if (!wanted() || now < m_askAt)
        return std::nullopt;
    if (m_patience == milliseconds(0))
        m_patience = firstPatience;
    m_askAt = now + m_patience;
    m_patience = std::min(m_patience * 2, longestPatience);
    wire::document_ask ask;
    ask.set_held_version(m_alone ? 0 : m_held.version());
    ask.set_version(m_received.version);
    ask.set_digest(m_received.digest);
    ask.set_offset(static_cast<std::uint32_t>(m_received.bytes.size()));
    return ask;
}

wire::document_ask document_fetch::acknowledgement() const
{
    wire::document_ask ask;
    ask.set_held_version(m_held.version());
    return ask;
}

piece_outcome document_fetch::take(const wire::document_piece& piece, time_point now)
{
    bool another = piece.version() != m_received.version || piece.digest() != m_received.digest;
    if (another) {
        // Only the first piece begins a transfer, and only one that can end well. One of an older version was held up on
        // the way.
        bool usable = piece.version() > m_held.version() && piece.version() >= m_received.version && piece.offset() == 0 && piece.packed_bytes() <= mostPackedBytes
            && (piece.base_version() == 0 || piece.base_version() == m_held.version());
        if (!usable)
            return piece_outcome::Unwanted;
        m_received = { piece.version(), piece.base_version(), piece.digest(), {} };
        m_packedBytes = piece.packed_bytes();
    }
    bool next = piece.offset() == m_received.bytes.size() && !piece.bytes().empty() && piece.bytes().size() <= m_packedBytes - piece.offset();
    if (!next)
        return piece_outcome::Unwanted;
    m_received.bytes += piece.bytes();
    m_patience = firstPatience;
    m_askAt = now;
    if (m_received.bytes.size() < m_packedBytes)
        return piece_outcome::Taken;
    bool whole = packedDigest(m_received.bytes) == m_received.digest;
    auto document = unpackDocument(m_received, m_received.baseVersion > 0 ? &m_held : nullptr);
    beginAnew();
    if (!whole || !document) {
        logEvent("document_damaged", { { "version", piece.version() }, { "base", piece.base_version() }, { "error", document ? "the digest differs" : document.error().message } });
        m_askAt = now + firstPatience;
        m_alone = true;
        return piece_outcome::Damaged;
    }
    m_alone = false;
    m_held = std::move(document.value());
    return piece_outcome::Complete;
}

bool document_fetch::takeWhole(const wire::document& document)
{
    if (document.version() <= m_held.version())
        return false;
    m_held = document;
    if (m_received.version <= m_held.version())
        beginAnew();
    return true;
}

void document_fetch::beginAnew()
{
    m_received = {};
    m_packedBytes = 0;
}

} // namespace pistachiolatch
