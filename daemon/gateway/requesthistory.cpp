#include "requesthistory.h"

namespace cardamomdeck {

void request_history::add(request_record record)
{
    m_records.push_back(std::move(record));
    if (m_records.size() > maxRecords) {
        m_records.pop_front();
    }
}

std::vector<std::string> request_history::find(const std::string &id) const
{
    std::vector<std::string> texts;
    for (const request_record &record : m_records) {
        if (record.id == id) {
            texts.push_back(record.text);
        }
    }
    return texts;
}

}
