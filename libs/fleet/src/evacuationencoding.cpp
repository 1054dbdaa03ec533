#include "evacuationencoding.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <stdexcept>

namespace cardamomdeck {

using nlohmann::json;

namespace {

/** Decodes a number of a position. A negative or huge one would be newer than any record that follows. */
std::uint64_t positionNumberFromJson(const json &field)
{
    constexpr auto maxNumber = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > maxNumber) {
        throw std::invalid_argument("position of an evacuation is out of range");
    }
    return field.get<std::uint64_t>();
}

/** Entries of earlier versions, which know no eras, send and expect 0 in the second field. */
constexpr std::uint64_t earlierVersionEra = 0;
constexpr std::size_t eraField = 4;

evacuation_record recordFromJson(const json &fields)
{
    positionNumberFromJson(fields.at(1));
    evacuation_record record{
        fields.at(0).get<std::string>(), positionNumberFromJson(fields.at(2)), fields.at(3).get<bool>()};
    if (fields.size() > eraField) {
        record.position.era = positionNumberFromJson(fields.at(eraField));
    }
    if (!isZoneName(record.zone)) {
        throw std::invalid_argument("zone of an evacuation is not a name");
    }
    return record;
}

}

void appendEvacuations(json &fields, const std::vector<evacuation_record> &records)
{
    if (records.empty()) {
        return;
    }
    json list = json::array();
    for (const evacuation_record &record : records) {
        json fields = json::array({record.zone, earlierVersionEra, record.position.offset, record.evacuated});
        if (record.position.era) {
            fields.push_back(*record.position.era);
        }
        list.push_back(std::move(fields));
    }
    fields.push_back(std::move(list));
}

std::vector<evacuation_record> evacuationsFromJson(const json &fields, std::size_t index)
{
    std::vector<evacuation_record> records;
    if (fields.size() <= index) {
        return records;
    }
    const json &list = fields.at(index);
    if (!list.is_array() || list.size() > evacuation_table::maxZones) {
        throw std::invalid_argument("evacuations are not a list of the permitted size");
    }
    for (const json &record : list) {
        records.push_back(recordFromJson(record));
    }
    return records;
}

}
