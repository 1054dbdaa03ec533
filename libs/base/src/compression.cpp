#include "cardamomdeck/base/compression.h"

#include <boost/leaf/error.hpp>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace cardamomdeck {

namespace leaf = boost::leaf;

namespace {

/** Level of zstd; higher ones cost several times the processor time for a few percent of size. */
constexpr int level = 3;

/** Bounds of the window in bits; it must span the base and the text. */
constexpr int minWindowBits = 10;
constexpr int maxWindowBits = 24;

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

// Contexts hold a megabyte and more, and are needed now and then only.
using compression_context = std::unique_ptr<ZSTD_CCtx, context_deleter>;
using decompression_context = std::unique_ptr<ZSTD_DCtx, context_deleter>;

}

std::string compress(std::string_view text, std::string_view base)
{
    const compression_context context(ZSTD_createCCtx());
    const int window
        = std::clamp(static_cast<int>(std::bit_width(base.size() + text.size())), minWindowBits, maxWindowBits);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window);
    if (!base.empty()) {
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0) {
        throw std::bad_alloc();
    }
    bytes.resize(size);
    bytes.shrink_to_fit();
    return bytes;
}

leaf::result<std::string> decompress(std::string_view bytes, std::size_t largest, std::string_view base)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN
        || ZSTD_findFrameCompressedSize(bytes.data(), bytes.size()) != bytes.size()) {
        return leaf::new_error(failure{result_code::frame_malformed, "not one whole compressed frame"});
    }
    if (size > largest) {
        return leaf::new_error(failure{result_code::frame_too_large, std::to_string(size) + " bytes uncompressed"});
    }
    const decompression_context context(ZSTD_createDCtx());
    if (!base.empty()) {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string text(size, '\0');
    const std::size_t written
        = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(written) != 0 || written != size) {
        return leaf::new_error(failure{result_code::frame_malformed, "compressed frame is damaged"});
    }
    return text;
}

}
