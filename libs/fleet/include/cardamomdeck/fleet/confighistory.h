/**
 * @file
 * The operator's configuration on its way between entries: compressed, and as a change wherever the receiver has a
 * version that the sender has too.
 */
#pragma once

#include "cardamomdeck/base/resultcode.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace cardamomdeck {

/** One version of the configuration in a message. */
struct config_update
{
    std::uint64_t version = 0;
    /** Version whose text is needed to restore this one; 0 when none is. */
    std::uint64_t baseVersion = 0;
    /** The text as the operator wrote it, compressed. */
    std::string compressedText;

    bool operator==(const config_update &) const = default;
};

/** The texts of the newest versions, from which changes are made and to which they are applied; makes no I/O. */
class config_history
{
public:
    /** Versions kept: an entry that misses some of a quick series still gets a change. */
    static constexpr std::size_t maxVersions = 4;
    /** Largest text in bytes; the store takes records of 256 KiB. */
    static constexpr std::size_t maxTextBytes = 4U * 1024U * 1024U;

    /** Adds the text of @p version, which becomes the newest. */
    void add(std::uint64_t version, std::string text);

    /** The newest version for a receiver that has version @p known; whole when that one is not kept. */
    const config_update &updateFrom(std::uint64_t known);

    /**
     * The text of @p transfer. Errors: base_unknown when its base is not kept, frame_malformed when it is damaged or
     * was made from another text of that version, frame_too_large.
     */
    boost::leaf::result<std::string> restore(const config_update &transfer) const;

private:
    /** Texts by version. */
    std::map<std::uint64_t, std::string> m_texts;
    /** Transfers of the newest version by base, as many receivers ask for the same. */
    std::map<std::uint64_t, config_update> m_updates;
};

}
