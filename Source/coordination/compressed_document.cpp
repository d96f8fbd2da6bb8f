#include "coordination/compressed_document.h"

#include <memory>
#include <xxhash.h>
#include <zstd.h>

namespace pistachiolatch {

namespace {
    /// The fastest level that still finds most repetitions in a configuration.
    constexpr int compressionLevel = 3;
    /// Matches against the whole base, however large it is.
    constexpr int windowLog = 25;
    /// A frame that declares a larger size is corrupt.
    constexpr unsigned long long maxDocumentBytes = 1ULL << windowLog;

    struct free_compressor {
        void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
    };
    struct free_decompressor {
        void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
    };
}

std::uint64_t compressedDigest(const std::string& bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

result<compressed_document> compressDocument(const wire::document& document, const wire::document* base)
{
    std::unique_ptr<ZSTD_CCtx, free_compressor> context(ZSTD_createCCtx());
    if (!context)
        return failure { "cannot compress document: out of memory" };
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    // The checksum detects decompression against a wrong base.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (base) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
        ZSTD_CCtx_refPrefix(context.get(), base->body().data(), base->body().size());
    }
    compressed_document compressed;
    compressed.version = document.version();
    compressed.baseVersion = base ? base->version() : 0;
    compressed.bytes.resize(ZSTD_compressBound(document.body().size()));
    auto size = ZSTD_compress2(context.get(), compressed.bytes.data(), compressed.bytes.size(), document.body().data(), document.body().size());
    if (ZSTD_isError(size))
        return failure { fmt::format("cannot compress document {}: {}", document.version(), ZSTD_getErrorName(size)) };
    compressed.bytes.resize(size);
    compressed.bytes.shrink_to_fit();
    compressed.digest = compressedDigest(compressed.bytes);
    return compressed;
}

result<wire::document> decompressDocument(const compressed_document& compressed, const wire::document* base)
{
    auto documentBytes = ZSTD_getFrameContentSize(compressed.bytes.data(), compressed.bytes.size());
    if (documentBytes == ZSTD_CONTENTSIZE_ERROR || documentBytes == ZSTD_CONTENTSIZE_UNKNOWN || documentBytes > maxDocumentBytes)
        return failure { fmt::format("compressed document {} declares an invalid size", compressed.version) };
    std::unique_ptr<ZSTD_DCtx, free_decompressor> context(ZSTD_createDCtx());
    if (!context)
        return failure { "cannot decompress document: out of memory" };
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, windowLog + 1);
    if (base)
        ZSTD_DCtx_refPrefix(context.get(), base->body().data(), base->body().size());
    wire::document document;
    document.set_version(compressed.version);
    auto& body = *document.mutable_body();
    body.resize(documentBytes);
    auto size = ZSTD_decompressDCtx(context.get(), body.data(), body.size(), compressed.bytes.data(), compressed.bytes.size());
    if (ZSTD_isError(size) || size != documentBytes)
        return failure { fmt::format("compressed document {} is corrupt: {}", compressed.version, ZSTD_getErrorName(size)) };
    return document;
}

} // namespace pistachiolatch
