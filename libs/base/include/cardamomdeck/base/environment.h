/**
 * @file
 * Reads flag values from environment variables, and properties of the VM.
 */
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace cardamomdeck {

/**
 * Sets each Abseil flag named in @p flags from the environment variable
 * "<prefix><FLAG>" if it exists. Call it before the command line is parsed, so
 * that flags on the command line take precedence. Returns one error message for
 * each value that cannot be parsed.
 */
std::vector<std::string> applyEnvironment(const std::string &prefix, const std::vector<std::string> &flags);

/** Physical memory of this VM in bytes; 0 if the system does not report it. */
std::size_t physicalMemoryBytes();

/** Makes --help list only the flags that are defined in source files whose path contains @p file. */
void showFlagsOf(const std::string &file);

}
