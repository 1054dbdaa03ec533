/**
 * @file
 * HTTP server options of the stand-ins.
 */
#pragma once

#include "cardamomdeck/http/httpserver.h"

namespace cardamomdeck {

/** Returns options with large limits, so that tests reach only the daemon's own limits. */
inline server_options standinOptions(std::size_t connections)
{
    server_options options;
    options.limits = {16U * 1024U, 64ULL * 1024U * 1024U};
    options.maxConnections = connections;
    options.maxPipelineDepth = 1;
    return options;
}

}
