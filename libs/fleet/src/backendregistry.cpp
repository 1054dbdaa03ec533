#include "cardamomdeck/fleet/backendregistry.h"

#include <algorithm>
#include <set>

namespace cardamomdeck {

bool backend_registry::apply(const backend_record &record, time_point now)
{
    const auto found = m_backends.find(record.id);
    if (found != m_backends.end() && record.offset < found->second.offset) {
        return false;
    }
    // The view is complete up to m_endOffset: a server that it lacks was removed before, and the record is late.
    if (found == m_backends.end() && (!record.server || record.offset < m_endOffset)) {
        return false;
    }
    known_backend &known = m_backends[record.id];
    known.offset = record.offset;
    const bool changed = record.server ? applyReport(known, *record.server, now) : applyRemoval(known, now);
    if (changed || known.graceEndsAt) {
        known.lastChangeOffset = record.offset;
        m_lastChangeOffset = std::max(m_lastChangeOffset, known.lastChangeOffset);
        m_onlyInitialListing = false;
    }
    if (changed) {
        m_usable.reset();
    }
    return changed;
}

bool backend_registry::applyReport(known_backend &known, const backend_server &report, time_point now)
{
    const bool isLate = report.startUnixMs < known.lastStartUnixMs
                        || (report.startUnixMs == known.lastStartUnixMs && report.sequence <= known.lastSequence);
    if (isLate) {
        return false;
    }
    const bool sameIncarnation = known.server && known.server->startUnixMs == report.startUnixMs;
    backend_server next = report;
    // A draining server stays draining until it restarts.
    next.draining = report.draining || (sameIncarnation && known.server->draining);
    const bool changed = known.removed || !known.server || known.server->service != next.service
                         || known.server->zone != next.zone || known.server->address != next.address
                         || known.server->slots != next.slots || known.server->draining != next.draining
                         || known.server->startUnixMs != next.startUnixMs || turnsCold(*known.server, next, now);
    known.lastStartUnixMs = next.startUnixMs;
    known.lastSequence = next.sequence;
    known.server = std::move(next);
    known.removed = false;
    known.graceEndsAt.reset();
    return changed;
}

bool backend_registry::turnsCold(const backend_server &known, const backend_server &next, time_point now) const
{
    return next.warmupEndsAt > std::max(now, known.warmupEndsAt + minWarmupExtension)
           && m_warmupLimitedServices.contains(next.service);
}

void backend_registry::setWarmupLimitedServices(std::set<std::string> services)
{
    if (services == m_warmupLimitedServices) {
        return;
    }
    m_warmupLimitedServices = std::move(services);
    // Until now, the warm-ups of reports that changed nothing else were of no consequence.
    m_usable.reset();
}

bool backend_registry::applyRemoval(known_backend &known, time_point now)
{
    if (known.removed) {
        return false;
    }
    known.removed = true;
    const bool draining = known.server && known.server->draining;
    if (!draining && m_graceEndsAt && now < *m_graceEndsAt) {
        known.graceEndsAt = m_graceEndsAt;
        return false;
    }
    return true;
}

bool backend_registry::replaceAll(const std::vector<backend_record> &listing, store_offset end, time_point now)
{
    std::set<std::string> listed;
    const bool initialListing = m_backends.empty();
    bool changed = false;
    for (const backend_record &record : listing) {
        listed.insert(record.id);
        changed = apply(record, now) || changed;
    }
    for (auto &[id, known] : m_backends) {
        if (!listed.contains(id) && known.offset < end) {
            // The removal is one of the records before the end; the record at the end is still to be read.
            changed = apply({id, end - 1, std::nullopt}, now) || changed;
        }
    }
    advanceTo(end);
    m_onlyInitialListing = initialListing || (m_onlyInitialListing && !changed);
    return changed;
}

bool backend_registry::isUpToDateWith(std::optional<store_offset> offset) const
{
    return !offset || *offset < m_endOffset || offset <= m_lastChangeOffset;
}

bool backend_registry::hasOnlyInitialListing() const
{
    return m_onlyInitialListing;
}

void backend_registry::recordStoreAvailable(time_point now)
{
    m_graceEndsAt = now + expiryGracePeriod;
}

bool backend_registry::endGracePeriods(time_point now)
{
    bool changed = false;
    for (auto &[id, known] : m_backends) {
        if (known.graceEndsAt && *known.graceEndsAt <= now) {
            known.graceEndsAt.reset();
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
    for (const auto &[id, known] : m_backends) {
        const bool registered = known.server && (!known.removed || known.graceEndsAt);
        if (registered && !known.server->draining) {
            servers[known.server->service].emplace(id, *known.server);
        }
    }
    m_usable = std::make_shared<backends_by_service>(std::move(servers));
    return m_usable;
}

std::vector<backend_record> backend_registry::changesSince(store_offset fromOffset) const
{
    std::vector<backend_record> records;
    for (const auto &[id, known] : m_backends) {
        if (known.lastChangeOffset && *known.lastChangeOffset >= fromOffset) {
            records.push_back({id, *known.lastChangeOffset, known.removed ? std::nullopt : known.server});
        }
    }
    std::ranges::sort(records, {}, &backend_record::offset);
    return records;
}

std::optional<store_offset> backend_registry::lastChangeOffset() const
{
    return m_lastChangeOffset;
}

store_offset backend_registry::endOffset() const
{
    return m_endOffset;
}

void backend_registry::advanceTo(store_offset end)
{
    m_endOffset = std::max(m_endOffset, end);
}

}
