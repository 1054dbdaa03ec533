#include "cardamomdeck/fleet/backendregistry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cardamomdeck {

bool backend_registry::apply(const backend_record &record, time_point now)
{
    const auto found = m_backends.find(record.id);
    if (found != m_backends.end() && record.position < found->second.position) {
        return false;
    }
    // The view is complete up to m_end: a server that it lacks was removed before, and the record is late.
    if (found == m_backends.end() && record.position < m_end) {
        return false;
    }
    known_backend &known = m_backends[record.id];
    const bool changed = record.server ? applyReport(known, record, now) : applyRemoval(known, record.position, now);
    known.position = record.position;
    if (changed || known.graceEndsAt) {
        recordChange(known);
    }
    if (changed) {
        m_usable.reset();
    }
    return changed;
}

void backend_registry::recordChange(known_backend &known)
{
    known.lastChange = known.position;
    m_lastChange = std::max(m_lastChange, known.lastChange);
    m_onlyInitialListing = false;
}

bool backend_registry::applyUnread(const backend_record &record, time_point now)
{
    const bool changed = apply(record, now);
    const auto found = m_backends.find(record.id);
    if (found != m_backends.end() && !record.server) {
        found->second.removalUnread = found->second.removed;
    }
    return changed;
}

bool backend_registry::applyPeerChange(const backend_record &record, time_point now)
{
    const bool changed = applyUnread(record, now);
    const auto found = m_backends.find(record.id);
    if (found != m_backends.end() && found->second.position == record.position) {
        recordChange(found->second);
    }
    return changed;
}

bool backend_registry::isRegisteredAgain(const known_backend &known, const backend_record &record) const
{
    const backend_server &report = *record.server;
    const bool isRepeated = known.removed && known.server && report.startUnixMs == known.lastStartUnixMs
                            && report.sequence == known.lastSequence;
    // A copy of the store still has records that were removed after it was made; they are not registered again.
    const bool isOutOfCopy = known.removedAt.era == record.position.era
                             || (m_end.era == record.position.era && record.position >= m_eraListedUpTo);
    return isRepeated && isOutOfCopy && !known.server->draining && known.registeredAt.era < record.position.era;
}

bool backend_registry::replacesLostRecord(const topic_position &known, const topic_position &position) const
{
    return known.era < position.era && position.era == m_end.era;
}

bool backend_registry::applyReport(known_backend &known, const backend_record &record, time_point now)
{
    const backend_server &report = *record.server;
    const bool isLate = report.startUnixMs < known.lastStartUnixMs
                        || (report.startUnixMs == known.lastStartUnixMs && report.sequence <= known.lastSequence);
    if (isLate && !isRegisteredAgain(known, record)) {
        const bool isRepeated = report.startUnixMs == known.lastStartUnixMs && report.sequence == known.lastSequence;
        if (!isRepeated || known.removed) {
            return false;
        }
        return replacesLostRecord(std::exchange(known.registeredAt, record.position), record.position);
    }
    const bool sameIncarnation = known.server && known.server->startUnixMs == report.startUnixMs;
    backend_server next = report;
    // A draining server stays draining until it restarts.
    next.draining = report.draining || (sameIncarnation && known.server->draining);
    const bool changed = replacesLostRecord(known.registeredAt, record.position) || known.removed || !known.server
                         || known.server->service != next.service || known.server->zone != next.zone
                         || known.server->address != next.address || known.server->slots != next.slots
                         || known.server->draining != next.draining || known.server->startUnixMs != next.startUnixMs
                         || turnsCold(*known.server, next, now);
    known.lastStartUnixMs = next.startUnixMs;
    known.lastSequence = next.sequence;
    known.registeredAt = record.position;
    known.server = std::move(next);
    known.removed = false;
    known.removalUnread = false;
    known.disputed = false;
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

bool backend_registry::applyRemoval(known_backend &known, const topic_position &position, time_point now)
{
    const topic_position earlier = std::exchange(known.removedAt, position);
    const bool wasUnread = std::exchange(known.removalUnread, false);
    known.disputed = false;
    if (known.removed) {
        // Other entries may have found the server in another listing.
        return (wasUnread && earlier < position) || replacesLostRecord(earlier, position);
    }
    if (!known.server) {
        // Other entries may know the server from a record that this entry has not seen.
        known.removed = true;
        return true;
    }
    known.removed = true;
    const bool draining = known.server && known.server->draining;
    if (!draining && m_graceEndsAt && now < *m_graceEndsAt) {
        known.graceEndsAt = m_graceEndsAt;
        return false;
    }
    return true;
}

bool backend_registry::replaceAll(const std::vector<backend_record> &listing, const topic_position &end, time_point now)
{
    const bool initialListing = m_backends.empty();
    const bool changed = applyListing({listing, {}, end, std::nullopt}, true, now);
    m_onlyInitialListing = initialListing || (m_onlyInitialListing && !changed);
    return changed;
}

bool backend_registry::applyPeerListing(const peer_listing &listing, time_point now)
{
    const std::optional<topic_position> lastChangeBefore = m_lastChange;
    const bool changed = applyListing(listing, false, now);
    m_lastChange = std::max(lastChangeBefore, listing.lastChange);
    return changed;
}

bool backend_registry::applyListing(const peer_listing &listing, bool isOwnListing, time_point now)
{
    const topic_position &end = listing.end;
    if (end.era < m_end.era) {
        return false;
    }
    if (m_end.era && m_end.era < end.era) {
        recordStoreAvailable(now);
    }
    // A removal is one of the records before the end; the record at the end is still to be read. Before the start of an
    // era are the records of the one before.
    const topic_position removedAt = end.offset > 0 ? lastBefore(end) : m_end;
    std::set<std::string> listed;
    std::set<std::string> listedAsRemoved;
    bool changed = false;
    for (const backend_record &record : listing.records) {
        (record.server ? listed : listedAsRemoved).insert(record.id);
        changed = applyUnread(record, now) || changed;
    }
    for (auto &[id, known] : m_backends) {
        const bool agrees = listed.contains(id) || (known.removed && listedAsRemoved.contains(id));
        if (agrees || known.position >= end) {
            continue;
        }
        if (known.removed) {
            // No change, but a record from before the listing is late from now on.
            known.position = removedAt;
            known.removedAt = removedAt;
            known.removalUnread = true;
        } else {
            changed = applyUnread({id, removedAt, std::nullopt}, now) || changed;
        }
    }
    if (m_end.era < end.era) {
        m_eraListedUpTo = end;
    }
    m_end = std::max(m_end, end);
    m_listedUpTo = std::max(m_listedUpTo, end);
    listed.insert(listing.disputedServers.begin(), listing.disputedServers.end());
    updateDisputes(listed, isOwnListing, now);
    return changed;
}

void backend_registry::updateDisputes(const std::set<std::string> &listed, bool isOwnListing, time_point now)
{
    const time_point neededAt = listingNeededAt().value_or(now + disputeTimeout);
    // Without a newer report after the timeout, the removal stands.
    const bool isResolved = isOwnListing && neededAt <= now;
    bool hasDispute = false;
    for (auto &[id, known] : m_backends) {
        known.disputed = known.removed && listed.contains(id) && !isResolved;
        hasDispute = hasDispute || known.disputed;
    }
    m_listingNeededAt = hasDispute ? std::optional(neededAt) : std::nullopt;
}

std::vector<std::string> backend_registry::disputedServers() const
{
    std::vector<std::string> ids;
    for (const auto &[id, known] : m_backends) {
        if (known.disputed) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<time_point> backend_registry::listingNeededAt() const
{
    if (!m_listingNeededAt) {
        return std::nullopt;
    }
    const bool hasDispute = std::ranges::any_of(m_backends, [](const auto &item) { return item.second.disputed; });
    return hasDispute ? m_listingNeededAt : std::nullopt;
}

bool backend_registry::isUpToDateWith(const std::optional<topic_position> &position) const
{
    return !position || *position < m_end || position <= m_lastChange;
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

std::vector<backend_record> backend_registry::changesSince(const topic_position &from) const
{
    std::vector<backend_record> records;
    for (const auto &[id, known] : m_backends) {
        if (known.lastChange && *known.lastChange >= from) {
            records.push_back({id, *known.lastChange, known.removed ? std::nullopt : known.server});
        }
    }
    std::ranges::sort(records, {}, &backend_record::position);
    return records;
}

std::vector<backend_record> backend_registry::allRecords() const
{
    std::vector<backend_record> records;
    for (const auto &[id, known] : m_backends) {
        records.push_back(known.removed ? backend_record{id, known.removedAt, std::nullopt}
                                        : backend_record{id, known.registeredAt, known.server});
    }
    std::ranges::sort(records, {}, &backend_record::position);
    return records;
}

std::optional<topic_position> backend_registry::lastChange() const
{
    return m_lastChange;
}

const topic_position &backend_registry::endPosition() const
{
    return m_end;
}

const topic_position &backend_registry::listedUpTo() const
{
    return m_listedUpTo;
}

void backend_registry::advanceTo(const topic_position &end)
{
    if (end.era == m_end.era) {
        m_end = std::max(m_end, end);
    }
}

}
