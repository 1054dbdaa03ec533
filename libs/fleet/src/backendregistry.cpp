#include "cardamomdeck/fleet/backendregistry.h"

#include <algorithm>
#include <set>

namespace cardamomdeck {

bool backend_registry::apply(const backend_record &record, time_point now)
{
    const auto found = m_entries.find(record.id);
    if (found != m_entries.end() && record.offset < found->second.offset) {
        return false;
    }
    // Up to its end the view is complete: a server that it lacks there has left, whoever still reports it.
    if (found == m_entries.end() && (!record.server || record.offset < m_end)) {
        return false;
    }
    entry &known = m_entries[record.id];
    known.offset = record.offset;
    const bool changed = record.server ? applyReport(known, *record.server) : applyRemoval(known, now);
    if (changed || known.lapsedUntil) {
        known.changedAt = record.offset;
        m_changedAt = std::max(m_changedAt, record.offset);
        m_listed = false;
    }
    if (changed) {
        m_usable.reset();
    }
    return changed;
}

bool backend_registry::applyReport(entry &known, const backend_server &report)
{
    const bool late = report.bornMs < known.lastBornMs
                      || (report.bornMs == known.lastBornMs && report.sequence <= known.lastSequence);
    if (late) {
        return false;
    }
    const bool sameIncarnation = known.server && known.server->bornMs == report.bornMs;
    backend_server next = report;
    // A server that has begun to shut down does not change its mind before it restarts.
    next.draining = report.draining || (sameIncarnation && known.server->draining);
    const bool changed = known.gone || !known.server || known.server->service != next.service
                         || known.server->zone != next.zone || known.server->address != next.address
                         || known.server->slots != next.slots || known.server->draining != next.draining
                         || known.server->bornMs != next.bornMs;
    known.lastBornMs = next.bornMs;
    known.lastSequence = next.sequence;
    known.server = std::move(next);
    known.gone = false;
    known.lapsedUntil.reset();
    return changed;
}

bool backend_registry::applyRemoval(entry &known, time_point now)
{
    if (known.gone) {
        return false;
    }
    known.gone = true;
    const bool draining = known.server && known.server->draining;
    if (!draining && m_holdLapsesUntil && now < *m_holdLapsesUntil) {
        known.lapsedUntil = m_holdLapsesUntil;
        return false;
    }
    return true;
}

bool backend_registry::replaceAll(const std::vector<backend_record> &listing, store_offset end, time_point now)
{
    std::set<std::string> listed;
    const bool first = m_entries.empty();
    bool changed = false;
    for (const backend_record &record : listing) {
        listed.insert(record.id);
        changed = apply(record, now) || changed;
    }
    for (auto &[id, known] : m_entries) {
        if (!listed.contains(id) && known.offset < end) {
            changed = apply({id, end, std::nullopt}, now) || changed;
        }
    }
    advanceTo(end);
    m_listed = first || (m_listed && !changed);
    return changed;
}

bool backend_registry::knows(store_offset offset) const
{
    return offset < m_end || offset <= m_changedAt;
}

bool backend_registry::isListed() const
{
    return m_listed;
}

void backend_registry::noteStoreReturned(time_point now)
{
    m_holdLapsesUntil = now + lapseHold;
}

bool backend_registry::expireLapsed(time_point now)
{
    bool changed = false;
    for (auto &[id, known] : m_entries) {
        if (known.lapsedUntil && *known.lapsedUntil <= now) {
            known.lapsedUntil.reset();
            m_usable.reset();
            changed = true;
        }
    }
    return changed;
}

backends_by_service_ptr backend_registry::usable() const
{
    if (m_usable) {
        return m_usable;
    }
    backends_by_service servers;
    for (const auto &[id, known] : m_entries) {
        const bool present = known.server && (!known.gone || known.lapsedUntil);
        if (present && !known.server->draining) {
            servers[known.server->service].emplace(id, *known.server);
        }
    }
    m_usable = std::make_shared<backends_by_service>(std::move(servers));
    return m_usable;
}

std::vector<backend_record> backend_registry::since(store_offset from) const
{
    std::vector<backend_record> records;
    for (const auto &[id, known] : m_entries) {
        if (known.changedAt >= from) {
            records.push_back({id, known.changedAt, known.gone ? std::nullopt : known.server});
        }
    }
    std::ranges::sort(records, {}, &backend_record::offset);
    return records;
}

store_offset backend_registry::changedAt() const
{
    return m_changedAt;
}

store_offset backend_registry::end() const
{
    return m_end;
}

void backend_registry::advanceTo(store_offset end)
{
    m_end = std::max(m_end, end);
}

}
