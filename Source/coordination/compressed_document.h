#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <string>

namespace pistachiolatch {

/// A document as it is transferred: compressed on its own, or as a delta against an older version that the receiver holds.
struct compressed_document {
    std::uint64_t version = 0;
    /// The version that the receiver must hold; 0 if the bytes are not a delta.
    std::uint64_t baseVersion = 0;
    /// Digest of the bytes; differs for the same version compressed against another base.
    std::uint64_t digest = 0;
    std::string bytes;
};

/// Thread safety: any thread.
std::uint64_t compressedDigest(const std::string& bytes);

/// Compresses a document, as a delta if a base is given. The result is deterministic, so that a transfer can continue at
/// another leader. Thread safety: any thread.
/// Errors: out of memory in the compressor.
result<compressed_document> compressDocument(const wire::document& document, const wire::document* base);

/// Decompresses a document. Precondition: the base is the one that it was compressed against, or null for none.
/// Thread safety: any thread. Errors: corrupt bytes, wrong base, or a size above the limit.
result<wire::document> decompressDocument(const compressed_document& compressed, const wire::document* base);

} // namespace pistachiolatch
