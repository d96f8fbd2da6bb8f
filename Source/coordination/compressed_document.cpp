#include "coordination/compressed_document.h"

#include <memory>
#include <xxhash.h>
#include <zstd.h>

namespace pistachiolatch {

namespace {
    /// The fastest level that still finds most of what repeats in a configuration.
    constexpr int compressionLevel = 3;
    /// Looks for repeats in the whole base, however large it is.
    constexpr int windowLog = 25;
    /// The largest document that is unpacked: a frame that names another size is damaged.
    constexpr unsigned long long mostPlainBytes = 1ULL << windowLog;

    struct free_compressor {
        void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
    };
    struct free_decompressor {
        void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
    };
}

std::uint64_t packedDigest(const std::string& bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

result<packed_document> packDocument(const wire::document& document, const wire::document* base)
{
    std::unique_ptr<ZSTD_CCtx, free_compressor> context(ZSTD_createCCtx());
    if (!context)
        return failure { "can't pack a document: no memory for the compressor" };
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    // Unpacked against another base, the bytes would give another text; the checksum shows it.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (base) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
        ZSTD_CCtx_refPrefix(context.get(), base->body().data(), base->body().size());
    }
    packed_document packed;
    packed.version = document.version();
    packed.baseVersion = base ? base->version() : 0;
    packed.bytes.resize(ZSTD_compressBound(document.body().size()));
    auto size = ZSTD_compress2(context.get(), packed.bytes.data(), packed.bytes.size(), document.body().data(), document.body().size());
    if (ZSTD_isError(size))
        return failure { fmt::format("can't pack document {}: {}", document.version(), ZSTD_getErrorName(size)) };
    packed.bytes.resize(size);
    packed.bytes.shrink_to_fit();
    packed.digest = packedDigest(packed.bytes);
    return packed;
}

result<wire::document> unpackDocument(const packed_document& packed, const wire::document* base)
{
    auto plainBytes = ZSTD_getFrameContentSize(packed.bytes.data(), packed.bytes.size());
    if (plainBytes == ZSTD_CONTENTSIZE_ERROR || plainBytes == ZSTD_CONTENTSIZE_UNKNOWN || plainBytes > mostPlainBytes)
        return failure { fmt::format("packed document {} names no size that a document may have", packed.version) };
    std::unique_ptr<ZSTD_DCtx, free_decompressor> context(ZSTD_createDCtx());
    if (!context)
        return failure { "can't unpack a document: no memory for the decompressor" };
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, windowLog + 1);
    if (base)
        ZSTD_DCtx_refPrefix(context.get(), base->body().data(), base->body().size());
    wire::document document;
    document.set_version(packed.version);
    auto& body = *document.mutable_body();
    body.resize(plainBytes);
    auto size = ZSTD_decompressDCtx(context.get(), body.data(), body.size(), packed.bytes.data(), packed.bytes.size());
    if (ZSTD_isError(size) || size != plainBytes)
        return failure { fmt::format("packed document {} is damaged: {}", packed.version, ZSTD_getErrorName(size)) };
    return document;
}

} // namespace pistachiolatch
