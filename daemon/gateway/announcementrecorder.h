/**
 * @file
 * Records what backend servers announce about themselves in their responses.
 */
#pragma once

#include "connectionpool.h"
#include "servicestate.h"

#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/platform/exchangeheaders.h"

#include <string_view>

namespace cardamomdeck {

/** Applies announcements to the state of the servers, and logs each one that changes something. */
class announcement_recorder
{
public:
    /** Closes connections in @p pool to servers that are leaving. */
    announcement_recorder(connection_pool &pool, random_source &random);

    /**
     * Records what @p backend announces in a response that is proved to be its own. @p source identifies the response
     * in the log: the id of its request, or "probe".
     */
    void record(backend_state &backend, const platform::server_announcement &announcement, std::string_view source);

    /** Returns @p connection to the pool, or closes it if @p backend is leaving. */
    void releaseConnection(const backend_state &backend, const connection_ptr &connection);

private:
    connection_pool &m_pool;
    random_source &m_random;
};

}
