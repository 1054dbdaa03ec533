/**
 * @file
 * Measures the index of workspaces' keys: memory, time to build it, and time of a lookup, by number of workspaces.
 */
#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/randomsource.h"
#include "cardamomdeck/fleet/workspacetable.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <new>
#include <string>
#include <vector>

ABSL_FLAG(std::uint32_t, keys, 5, "Keys of each workspace.");
ABSL_FLAG(std::uint32_t, rounds, 7, "Measurements of each figure; the median is printed.");

namespace {

/** Bytes that the process has allocated and not freed. */
std::size_t allocatedBytes = 0;

}

void *operator new(std::size_t size)
{
    void *const memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    allocatedBytes += size;
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t size) noexcept
{
    allocatedBytes -= size;
    std::free(memory);
}

namespace cardamomdeck {

namespace {

constexpr std::size_t keyBytes = 32;
constexpr std::size_t lookups = 1'000'000;

std::string randomKey(random_source &random)
{
    std::string key;
    while (key.size() < keyBytes) {
        key += static_cast<char>('a' + random() % 26);
    }
    return key;
}

traffic_config_ptr makeConfig(std::size_t workspaces, random_source &random)
{
    auto config = std::make_shared<traffic_config>();
    config->requiresKeys = true;
    for (std::size_t i = 0; i < workspaces; ++i) {
        workspace added;
        added.name = "workspace-" + std::to_string(i);
        for (std::uint32_t key = 0; key < absl::GetFlag(FLAGS_keys); ++key) {
            added.keys.push_back(randomKey(random));
        }
        config->workspaces.emplace(added.name, added);
    }
    return config;
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

/** Time of one lookup of @p keys in random order, in nanoseconds. */
double lookupNs(const workspace_table &table, const std::vector<std::string> &keys, random_source &random)
{
    std::vector<const std::string *> order;
    for (std::size_t i = 0; i < lookups; ++i) {
        order.push_back(&keys[random() % keys.size()]);
    }
    std::size_t found = 0;
    const time_point startedAt = steady::now();
    for (const std::string *const key : order) {
        found += table.find(*key).workspace ? 1 : 0;
    }
    const double elapsedNs = toMilliseconds(steady::now() - startedAt) * 1e6;
    if (found != 0 && found != lookups) {
        std::printf("wrong result of a lookup\n");
    }
    return elapsedNs / static_cast<double>(lookups);
}

void measure(std::size_t workspaces)
{
    random_source random(workspaces);
    const std::size_t bytesBefore = allocatedBytes;
    const traffic_config_ptr config = makeConfig(workspaces, random);
    const std::size_t configBytes = allocatedBytes - bytesBefore;
    std::vector<std::string> known;
    std::vector<std::string> unknown;
    for (const auto &[name, owner] : config->workspaces) {
        known.insert(known.end(), owner.keys.begin(), owner.keys.end());
    }
    for (std::size_t i = 0; i < known.size(); ++i) {
        unknown.push_back(randomKey(random));
    }
    std::vector<double> buildMs;
    std::vector<double> knownNs;
    std::vector<double> unknownNs;
    std::size_t tableBytes = 0;
    for (std::uint32_t round = 0; round < absl::GetFlag(FLAGS_rounds); ++round) {
        const std::size_t bytesBeforeTable = allocatedBytes;
        const time_point startedAt = steady::now();
        const workspace_table table(config);
        buildMs.push_back(toMilliseconds(steady::now() - startedAt));
        tableBytes = allocatedBytes - bytesBeforeTable;
        knownNs.push_back(lookupNs(table, known, random));
        unknownNs.push_back(lookupNs(table, unknown, random));
    }
    std::printf("| %zu | %zu | %.1f | %.1f | %.3f | %.0f | %.0f |\n",
                workspaces,
                known.size(),
                static_cast<double>(configBytes) / 1024.0,
                static_cast<double>(tableBytes) / 1024.0,
                median(buildMs),
                median(knownNs),
                median(unknownNs));
}

int run(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::printf("| workspaces | keys | configuration KiB | index KiB | build ms | known key ns | unknown key ns |\n"
                "|---|---|---|---|---|---|---|\n");
    for (const std::size_t workspaces : {85UL, 1000UL, 10'000UL}) {
        measure(workspaces);
    }
    return 0;
}

}

}

int main(int argc, char **argv)
{
    return cardamomdeck::run(argc, argv);
}
