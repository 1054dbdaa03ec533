/**
 * @file
 * Server options that the stand-ins share.
 */
#pragma once

#include "cardamomdeck/http/httpserver.h"

namespace cardamomdeck {

/** Large limits, so that only the daemon's own limits are tested. */
inline server_options standinOptions(std::size_t connections)
{
    server_options options;
    options.limits = {16U * 1024U, 64ULL * 1024U * 1024U};
    options.maxConnections = connections;
    options.maxPipelineDepth = 1;
    return options;
}

}
