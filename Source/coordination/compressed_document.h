#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <string>

namespace pistachiolatch {

/// A document as it travels: compressed by itself, or as what changed since an older one that the receiver holds.
struct packed_document {
    std::uint64_t version = 0;
    /// The version that the receiver must hold; 0 when the bytes stand alone.
    std::uint64_t baseVersion = 0;
    /// Tells these bytes from any others, those of the same version against another base among them.
    std::uint64_t digest = 0;
    std::string bytes;
};

/// The digest of packed bytes. Thread safety: any thread.
std::uint64_t packedDigest(const std::string& bytes);

/// Packs a document, against a base where one is given. The bytes follow from the arguments alone, so that another leader
/// packs the same ones and a transfer goes on there. Thread safety: any thread.
/// Errors: the compressor has no memory.
result<packed_document> packDocument(const wire::document& document, const wire::document* base);

/// Unpacks a document. Precondition: the base is the one that it was packed against, or null for none.
/// Thread safety: any thread. Errors: damaged bytes, another base, or a size that no document may have.
result<wire::document> unpackDocument(const packed_document& packed, const wire::document* base);

} // namespace pistachiolatch
