#pragma once
#include "coordination/compressed_document.h"
#include <deque>
#include <list>
#include <memory>
#include <optional>

namespace pistachiolatch {

/// The newest documents, and their packed forms, made once for all entries that ask. A transfer that has begun goes on
/// with the version that it began with: were it started anew at each change, an entry on a slow link would get nothing for
/// as long as changes come faster than the whole takes.
/// Not thread-safe.
class document_shelf {
public:
    /// Takes in the newest document; older ones change nothing.
    void put(const wire::document& document);
    /// The newest document's packed form for a reader that holds a version, 0 for none. Null while there is no newer one.
    std::shared_ptr<const packed_document> newestFor(std::uint64_t heldVersion);
    /// The next piece of what a reader asks for, of at most so many bytes: of the transfer that it has begun, or the first
    /// of the newest document. Nothing where it holds the newest.
    std::optional<wire::document_piece> pieceFor(const wire::document_ask& ask, std::size_t mostBytes);
    /// The memory that is held.
    std::size_t bytes() const;

private:
    /// The packed form with which a reader's transfer began, here or at another leader; null where it can't be had.
    std::shared_ptr<const packed_document> begun(std::uint64_t heldVersion, std::uint64_t version, std::uint64_t digest);
    const wire::document* find(std::uint64_t version) const;
    std::shared_ptr<const packed_document> packed(const wire::document& document, std::uint64_t heldVersion);

    /// Newest last.
    std::deque<wire::document> m_documents;
    /// Last used first.
    std::list<std::shared_ptr<const packed_document>> m_packed;
};

} // namespace pistachiolatch
