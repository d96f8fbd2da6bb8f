#include "coordination/document_cache.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Older documents are kept to tell what changed since. Entries take a change within fractions of a second; one that
    /// holds an older document gets the newest whole.
    constexpr std::size_t mostDocuments = 8;
    constexpr std::size_t mostDocumentBytes = 8UL * 1024 * 1024;
    /// Packed forms that transfers may be under way with.
    constexpr std::size_t mostPacked = 12;
}

void document_shelf::put(const wire::document& document)
{
    if (!m_documents.empty() && document.version() <= m_documents.back().version())
        return;
    m_documents.push_back(document);
    std::size_t held = 0;
    for (const auto& one : m_documents)
        held += one.body().size();
    while (m_documents.size() > 1 && (m_documents.size() > mostDocuments || held > mostDocumentBytes)) {
        held -= m_documents.front().body().size();
        m_documents.pop_front();
    }
}

const wire::document* document_shelf::find(std::uint64_t version) const
{
    auto found = std::find_if(m_documents.begin(), m_documents.end(), [&](const auto& one) { return one.version() == version; });
    return found == m_documents.end() ? nullptr : &*found;
}

std::shared_ptr<const packed_document> document_shelf::newestFor(std::uint64_t heldVersion)
{
    if (m_documents.empty() || m_documents.back().version() <= heldVersion)
        return nullptr;
    return packed(m_documents.back(), heldVersion);
}

std::shared_ptr<const packed_document> document_shelf::begun(std::uint64_t heldVersion, std::uint64_t version, std::uint64_t digest)
{
    auto found = std::find_if(m_packed.begin(), m_packed.end(), [&](const auto& one) { return one->version == version && one->digest == digest; });
    if (found != m_packed.end()) {
        m_packed.splice(m_packed.begin(), m_packed, found);
        return m_packed.front();
    }
    const auto* document = find(version);
    auto same = document ? packed(*document, heldVersion) : nullptr;
    return same && same->digest == digest ? same : nullptr;
}

std::shared_ptr<const packed_document> document_shelf::packed(const wire::document& document, std::uint64_t heldVersion)
{
    const auto* base = heldVersion > 0 ? find(heldVersion) : nullptr;
    auto baseVersion = base ? base->version() : 0;
    auto found = std::find_if(m_packed.begin(), m_packed.end(), [&](const auto& one) { return one->version == document.version() && one->baseVersion == baseVersion; });
    if (found != m_packed.end()) {
        m_packed.splice(m_packed.begin(), m_packed, found);
        return m_packed.front();
    }
    auto fresh = packDocument(document, base);
    if (!fresh) {
        logEvent("document_not_packed", { { "version", document.version() }, { "base", baseVersion }, { "error", fresh.error().message } });
        return nullptr;
    }
    m_packed.push_front(std::make_shared<const packed_document>(std::move(fresh.value())));
    if (m_packed.size() > mostPacked)
        m_packed.pop_back();
    return m_packed.front();
}

std::optional<wire::document_piece> document_shelf::pieceFor(const wire::document_ask& ask, std::size_t mostBytes)
{
    std::size_t offset = ask.offset();
    auto packed = ask.version() > 0 ? begun(ask.held_version(), ask.version(), ask.digest()) : nullptr;
    if (!packed || offset >= packed->bytes.size()) {
        packed = newestFor(ask.held_version());
        offset = 0;
    }
    if (!packed)
        return std::nullopt;
    wire::document_piece piece;
    piece.set_version(packed->version);
    piece.set_base_version(packed->baseVersion);
    piece.set_digest(packed->digest);
    piece.set_packed_bytes(static_cast<std::uint32_t>(packed->bytes.size()));
    piece.set_offset(static_cast<std::uint32_t>(offset));
    piece.set_bytes(packed->bytes.substr(offset, mostBytes));
    return piece;
}

std::size_t document_shelf::bytes() const
{
    std::size_t held = 0;
    for (const auto& one : m_documents)
        held += one.body().size();
    for (const auto& one : m_packed)
        held += one->bytes.size();
    return held;
}

} // namespace pistachiolatch
