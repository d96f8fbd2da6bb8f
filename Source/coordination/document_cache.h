#pragma once
#include "coordination/compressed_document.h"
#include <deque>
#include <list>
#include <memory>
#include <optional>

namespace pistachiolatch {

/// Keeps the newest documents and their compressed forms, which all entries share. A transfer continues with the version
/// that it started with: if each change restarted it, an entry on a slow link would receive nothing for as long as changes
/// come faster than a full transfer.
/// Not thread-safe.
class document_cache {
public:
    /// Adds the newest document; ignores older ones.
    void store(const wire::document& document);
    /// The newest document compressed for a reader that holds the given version, 0 for none. Null if there is no newer one.
    std::shared_ptr<const compressed_document> compressedFor(std::uint64_t heldVersion);
    /// The requested piece of a reader's transfer, or the first piece of the newest document if the transfer can't continue.
    /// Nothing if the reader holds the newest document.
    std::optional<wire::document_piece> findPiece(const wire::document_ask& request, std::size_t maxBytes);
    std::size_t memoryBytes() const;

private:
    /// The compressed document of a transfer that was started here or at another leader; null if it is not available.
    std::shared_ptr<const compressed_document> findTransfer(std::uint64_t heldVersion, std::uint64_t version, std::uint64_t digest);
    const wire::document* find(std::uint64_t version) const;
    std::shared_ptr<const compressed_document> compress(const wire::document& document, std::uint64_t heldVersion);

    /// Newest last.
    std::deque<wire::document> m_documents;
    /// Most recently used first.
    std::list<std::shared_ptr<const compressed_document>> m_compressed;
};

} // namespace pistachiolatch
