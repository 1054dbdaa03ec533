/**
 * @file
 * Encodes the operator's configuration for transfer between entries: compressed, and as a delta when sender and
 * receiver have a version in common.
 */
#pragma once

#include "cardamomdeck/base/resultcode.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace cardamomdeck {

/** One version of the configuration in a message, as a delta or in full. */
struct config_update
{
    std::uint64_t version = 0;
    /** Version that the delta is based on; 0 for the full text. */
    std::uint64_t baseVersion = 0;
    /** The text as the operator wrote it, compressed; with a base version, relative to the base text. */
    std::string compressedText;

    bool operator==(const config_update &) const = default;
};

/** The texts of the newest versions, which serve as bases of deltas; does no I/O. */
class config_history
{
public:
    /** Versions kept; an entry that misses a few versions of a quick series can still be sent a delta. */
    static constexpr std::size_t maxVersions = 4;
    /** Largest text in bytes; the store accepts records of up to 256 KiB. */
    static constexpr std::size_t maxTextBytes = 4U * 1024U * 1024U;

    /** Adds the text of @p version, which becomes the newest. */
    void add(std::uint64_t version, std::string text);

    /**
     * The newest version for a receiver that has version @p knownVersion: a delta, or the full text when that version
     * is not kept. An update with version 0 when the history is empty.
     */
    const config_update &updateFrom(std::uint64_t knownVersion);

    /**
     * The text of @p configUpdate. Errors: base_unknown when its base is not kept, frame_malformed when it is corrupted
     * or was made from a different text of the base version, frame_too_large when the text exceeds maxTextBytes.
     */
    boost::leaf::result<std::string> restore(const config_update &configUpdate) const;

private:
    /** Texts by version. */
    std::map<std::uint64_t, std::string> m_texts;
    /** Cached updates to the newest version by base version, because many receivers request the same one. */
    std::map<std::uint64_t, config_update> m_updates;
};

}
