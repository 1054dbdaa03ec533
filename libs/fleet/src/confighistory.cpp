#include "cardamomdeck/fleet/confighistory.h"

#include "cardamomdeck/base/compression.h"

#include <boost/leaf/error.hpp>

namespace cardamomdeck {

namespace leaf = boost::leaf;

void config_history::add(std::uint64_t version, std::string text)
{
    m_texts.insert_or_assign(version, std::move(text));
    while (m_texts.size() > maxVersions) {
        m_texts.erase(m_texts.begin());
    }
    m_updates.clear();
}

const config_update &config_history::updateFrom(std::uint64_t knownVersion)
{
    static const config_update emptyUpdate;
    if (m_texts.empty()) {
        return emptyUpdate;
    }
    const auto &[version, text] = *m_texts.rbegin();
    const auto base = m_texts.find(knownVersion);
    const bool isDelta = base != m_texts.end() && knownVersion < version;
    const auto [position, added] = m_updates.try_emplace(isDelta ? knownVersion : 0);
    if (added) {
        position->second
            = {version, position->first, compress(text, isDelta ? std::string_view(base->second) : std::string_view())};
    }
    return position->second;
}

leaf::result<std::string> config_history::restore(const config_update &configUpdate) const
{
    if (configUpdate.baseVersion == 0) {
        return decompress(configUpdate.compressedText, maxTextBytes);
    }
    const auto base = m_texts.find(configUpdate.baseVersion);
    if (base == m_texts.end()) {
        return leaf::new_error(
            failure{result_code::base_unknown, "no text of version " + std::to_string(configUpdate.baseVersion)});
    }
    return decompress(configUpdate.compressedText, maxTextBytes, base->second);
}

}
