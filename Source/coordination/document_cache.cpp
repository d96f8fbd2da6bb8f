#include "coordination/document_cache.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Older documents are kept as bases of deltas. Entries fetch a change within fractions of a second; an entry with an
    /// older document than these gets the newest one in full.
    constexpr std::size_t maxDocuments = 8;
    constexpr std::size_t maxDocumentBytes = 8UL * 1024 * 1024;
    /// Compressed documents of which transfers may be in progress.
    constexpr std::size_t maxCompressed = 12;
}

void document_cache::store(const wire::document& document)
{
    if (!m_documents.empty() && document.version() <= m_documents.back().version())
        return;
    m_documents.push_back(document);
    std::size_t total = 0;
    for (const auto& one : m_documents)
        total += one.body().size();
    while (m_documents.size() > 1 && (m_documents.size() > maxDocuments || total > maxDocumentBytes)) {
        total -= m_documents.front().body().size();
        m_documents.pop_front();
    }
}

const wire::document* document_cache::find(std::uint64_t version) const
{
    auto found = std::find_if(m_documents.begin(), m_documents.end(), [&](const auto& one) { return one.version() == version; });
    return found == m_documents.end() ? nullptr : &*found;
}

std::shared_ptr<const compressed_document> document_cache::compressedFor(std::uint64_t heldVersion)
{
    if (m_documents.empty() || m_documents.back().version() <= heldVersion)
        return nullptr;
    return compress(m_documents.back(), heldVersion);
}

std::shared_ptr<const compressed_document> document_cache::findTransfer(std::uint64_t heldVersion, std::uint64_t version, std::uint64_t digest)
{
    auto found = std::find_if(m_compressed.begin(), m_compressed.end(), [&](const auto& one) { return one->version == version && one->digest == digest; });
    if (found != m_compressed.end()) {
        m_compressed.splice(m_compressed.begin(), m_compressed, found);
        return m_compressed.front();
    }
    const auto* document = find(version);
    auto candidate = document ? compress(*document, heldVersion) : nullptr;
    return candidate && candidate->digest == digest ? candidate : nullptr;
}

std::shared_ptr<const compressed_document> document_cache::compress(const wire::document& document, std::uint64_t heldVersion)
{
    const auto* base = heldVersion > 0 ? find(heldVersion) : nullptr;
    auto baseVersion = base ? base->version() : 0;
    auto found = std::find_if(m_compressed.begin(), m_compressed.end(), [&](const auto& one) { return one->version == document.version() && one->baseVersion == baseVersion; });
    if (found != m_compressed.end()) {
        m_compressed.splice(m_compressed.begin(), m_compressed, found);
        return m_compressed.front();
    }
    auto created = compressDocument(document, base);
    if (!created) {
        logEvent("document_not_packed", { { "version", document.version() }, { "base", baseVersion }, { "error", created.error().message } });
        return nullptr;
    }
    m_compressed.push_front(std::make_shared<const compressed_document>(std::move(created.value())));
    if (m_compressed.size() > maxCompressed)
        m_compressed.pop_back();
    return m_compressed.front();
}

std::optional<wire::document_piece> document_cache::findPiece(const wire::document_ask& request, std::size_t maxBytes)
{
    std::size_t offset = request.offset();
    auto compressed = request.version() > 0 ? findTransfer(request.held_version(), request.version(), request.digest()) : nullptr;
    if (!compressed || offset >= compressed->bytes.size()) {
        compressed = compressedFor(request.held_version());
        offset = 0;
    }
    if (!compressed)
        return std::nullopt;
    wire::document_piece piece;
    piece.set_version(compressed->version);
    piece.set_base_version(compressed->baseVersion);
    piece.set_digest(compressed->digest);
    piece.set_packed_bytes(static_cast<std::uint32_t>(compressed->bytes.size()));
    piece.set_offset(static_cast<std::uint32_t>(offset));
    piece.set_bytes(compressed->bytes.substr(offset, maxBytes));
    return piece;
}

std::size_t document_cache::memoryBytes() const
{
    std::size_t total = 0;
    for (const auto& one : m_documents)
        total += one.body().size();
    for (const auto& one : m_compressed)
        total += one->bytes.size();
    return total;
}

} // namespace pistachiolatch
