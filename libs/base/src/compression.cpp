#include "cardamomdeck/base/compression.h"

#include <boost/leaf/error.hpp>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace cardamomdeck {

namespace leaf = boost::leaf;

namespace {

/** zstd compression level; higher levels take several times the CPU time for a few percent of size. */
constexpr int compressionLevel = 3;

/** Limits of the zstd window size as base-2 logarithms; the window must cover the base and the text. */
constexpr int minWindowLog = 10;
constexpr int maxWindowLog = 24;

struct context_deleter
{
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

// Contexts are not kept between calls: each takes a megabyte or more and is rarely needed.
using compression_context = std::unique_ptr<ZSTD_CCtx, context_deleter>;
using decompression_context = std::unique_ptr<ZSTD_DCtx, context_deleter>;

}

std::string compress(std::string_view text, std::string_view base)
{
    const compression_context context(ZSTD_createCCtx());
    const int windowLog
        = std::clamp(static_cast<int>(std::bit_width(base.size() + text.size())), minWindowLog, maxWindowLog);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
    if (!base.empty()) {
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string compressed(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size
        = ZSTD_compress2(context.get(), compressed.data(), compressed.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0) {
        throw std::bad_alloc();
    }
    compressed.resize(size);
    compressed.shrink_to_fit();
    return compressed;
}

leaf::result<std::string> decompress(std::string_view compressed, std::size_t maxBytes, std::string_view base)
{
    const unsigned long long size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN
        || ZSTD_findFrameCompressedSize(compressed.data(), compressed.size()) != compressed.size()) {
        return leaf::new_error(failure{result_code::frame_malformed, "not a single complete compressed frame"});
    }
    if (size > maxBytes) {
        return leaf::new_error(failure{result_code::frame_too_large, std::to_string(size) + " bytes uncompressed"});
    }
    const decompression_context context(ZSTD_createDCtx());
    if (!base.empty()) {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string text(size, '\0');
    const std::size_t written
        = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(written) != 0 || written != size) {
        return leaf::new_error(failure{result_code::frame_malformed, "compressed frame is corrupt"});
    }
    return text;
}

}
