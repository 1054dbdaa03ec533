/**
 * @file
 * Command-line tool for operators; a client of the resource API.
 */
#include "cardamomdeck/base/clock.h"
#include "cardamomdeck/base/environment.h"
#include "cardamomdeck/http/httpconnection.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, api, "127.0.0.1:8081", "IP:port of the resource API of any entry.");
ABSL_FLAG(bool, json, false, "Print responses as JSON.");
ABSL_FLAG(std::string,
          version,
          "",
          "apply, delete, drain, undrain: expected resource version (If-Match); 0: the resource must not exist.");
ABSL_FLAG(std::int64_t, timeout_ms, 10000, "Request timeout in milliseconds.");
ABSL_FLAG(std::uint64_t, from, 0, "watch: version to resume from.");
ABSL_FLAG(std::uint64_t, count, 1, "watch: number of changes to wait for.");

namespace cardamomdeck {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

constexpr int exitUsage = 1;
constexpr int exitConfigurationError = 2;
constexpr int exitRejected = 4;
constexpr int exitUnreachable = 5;

constexpr const char *usageText
    = "Operates a cardamomdeck load balancer.\n\n"
      "  cardamomctl apply FILE|-            create or replace the resources of a JSON file\n"
      "  cardamomctl get KIND NAME           show one resource with its conditions\n"
      "  cardamomctl list KIND               list services, backends or rules\n"
      "  cardamomctl delete KIND NAME        delete a resource\n"
      "  cardamomctl drain|undrain BACKEND   stop, or resume, sending requests to a backend server\n"
      "  cardamomctl watch                   wait for changes after --from\n"
      "  cardamomctl status                  state of the entry, its peers and backend servers\n"
      "  cardamomctl explain TRACE           show the spans of a traced request\n"
      "  cardamomctl fleet                   on a platform: the entry's configuration, members and backend servers\n"
      "  cardamomctl quotas                  on a platform: limits, issuers and tokens of the workspaces\n"
      "  cardamomctl request ID              on a platform: how the entry handled a recent request\n"
      "  cardamomctl evict ENTRY             remove a permanently stopped entry from the membership\n\n"
      "Each flag can also be set by the environment variable CARDAMOMCTL_<FLAG>.\n"
      "Exit codes: 0 success, 1 usage error, 2 configuration error, 4 request rejected, 5 no response.";

/** Response of the API; if none was received, status is 0 and body describes the error. */
struct api_response
{
    unsigned status = 0;
    json body;
};

api_response sendApiRequest(http::verb method, const std::string &target, const std::string &body = "")
{
    const auto address = parseSocketAddress(absl::GetFlag(FLAGS_api));
    constexpr unsigned httpVersion = 11;
    http_request request(method, target, httpVersion);
    request.set(http::field::host, absl::GetFlag(FLAGS_api));
    if (const std::string version = absl::GetFlag(FLAGS_version); !version.empty() && method != http::verb::get) {
        request.set(http::field::if_match, version);
    }
    request.body() = body;
    request.prepare_payload();
    asio::io_context context(1);
    exchange_result result;
    const time_point deadline = steady::now() + milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    message_limits limits;
    limits.maxBodyBytes = 64ULL * 1024 * 1024;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            result = co_await exchangeOnce(*address, std::move(request), limits, deadline);
        },
        asio::detached);
    context.run();
    if (result.code != result_code::ok) {
        return {0, {{"code", static_cast<int>(result.code)}, {"message", infoOf(result.code).meaning}}};
    }
    return {result.response.result_int(), json::parse(result.response.body(), nullptr, false)};
}

bool isSuccess(const api_response &apiResponse)
{
    constexpr unsigned statusOk = 200;
    return apiResponse.status == statusOk;
}

int reportFailure(const std::string &operation, const api_response &apiResponse)
{
    std::cerr << operation << ": " << apiResponse.body.dump() << "\n";
    return apiResponse.status == 0 ? exitUnreachable : exitRejected;
}

void printConditions(const json &resource)
{
    for (const json &item : resource["status"]["conditions"]) {
        std::cout << "  " << item["type"].get<std::string>() << ": " << (item["status"].get<bool>() ? "yes" : "no")
                  << " (" << item["reason"].get<std::string>() << ")";
        for (const json &name : item["waiting_for"]) {
            std::cout << " " << name.get<std::string>();
        }
        std::cout << "\n";
    }
}

void printResource(const json &resource)
{
    std::cout << resource["kind"].get<std::string>() << "/" << resource["name"].get<std::string>() << " version "
              << resource["version"] << " generation " << resource["generation"] << "\n  " << resource["spec"].dump()
              << "\n";
    printConditions(resource);
}

void print(const json &responseBody, void (*printText)(const json &))
{
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << responseBody.dump(2) << "\n";
        return;
    }
    printText(responseBody);
}

std::string resourceTarget(const std::string &kind, const std::string &name)
{
    return "/v1/" + kind + "/" + name;
}

int applyResource(const std::string &kind, const json &resource)
{
    const std::string name = resource.is_object() ? resource.value("name", std::string()) : std::string();
    const api_response apiResponse = sendApiRequest(http::verb::put, resourceTarget(kind, name), resource.dump());
    if (!isSuccess(apiResponse)) {
        return reportFailure("apply " + kind + "/" + name, apiResponse);
    }
    std::cout << kind << "/" << name << " accepted at version " << apiResponse.body["version"] << "\n";
    return 0;
}

int apply(const std::vector<std::string> &arguments)
{
    std::string text;
    if (arguments[0] == "-") {
        text.assign(std::istreambuf_iterator<char>(std::cin), {});
    } else {
        std::ifstream file(arguments[0]);
        if (!file) {
            std::cerr << "cannot read " << arguments[0] << "\n";
            return exitConfigurationError;
        }
        text.assign(std::istreambuf_iterator<char>(file), {});
    }
    const json resources = json::parse(text, nullptr, false);
    if (!resources.is_object()) {
        std::cerr << arguments[0] << " is not a JSON object with services, backends and rules\n";
        return exitConfigurationError;
    }
    for (const std::string kind : {"services", "backends", "rules"}) {
        for (const json &resource : resources.value(kind, json::array())) {
            if (const int code = applyResource(kind, resource); code != 0) {
                return code;
            }
        }
    }
    return 0;
}

int get(const std::vector<std::string> &arguments)
{
    const api_response apiResponse = sendApiRequest(http::verb::get, resourceTarget(arguments[0], arguments[1]));
    if (!isSuccess(apiResponse)) {
        return reportFailure("get", apiResponse);
    }
    print(apiResponse.body, &printResource);
    return 0;
}

int list(const std::vector<std::string> &arguments)
{
    const api_response apiResponse = sendApiRequest(http::verb::get, "/v1/" + arguments[0]);
    if (!isSuccess(apiResponse)) {
        return reportFailure("list", apiResponse);
    }
    print(apiResponse.body, [](const json &body) {
        for (const json &resource : body["items"]) {
            printResource(resource);
        }
    });
    return 0;
}

int remove(const std::vector<std::string> &arguments)
{
    const api_response apiResponse = sendApiRequest(http::verb::delete_, resourceTarget(arguments[0], arguments[1]));
    if (!isSuccess(apiResponse)) {
        return reportFailure("delete", apiResponse);
    }
    std::cout << "deleted at version " << apiResponse.body["version"] << "\n";
    return 0;
}

int setDraining(const std::string &name, bool draining)
{
    const std::string target = resourceTarget("backends", name);
    const api_response current = sendApiRequest(http::verb::get, target);
    if (!isSuccess(current)) {
        return reportFailure("drain", current);
    }
    json spec = current.body["spec"];
    spec["draining"] = draining;
    if (absl::GetFlag(FLAGS_version).empty()) {
        // Makes the update conditional, so that it does not overwrite a concurrent change.
        absl::SetFlag(&FLAGS_version, current.body["version"].dump());
    }
    return applyResource("backends", spec);
}

int drain(const std::vector<std::string> &arguments)
{
    return setDraining(arguments[0], true);
}

int undrain(const std::vector<std::string> &arguments)
{
    return setDraining(arguments[0], false);
}

int watch(const std::vector<std::string> & /*arguments*/)
{
    std::uint64_t from = absl::GetFlag(FLAGS_from);
    std::uint64_t eventCount = 0;
    while (eventCount < absl::GetFlag(FLAGS_count)) {
        const std::int64_t waitMs = std::max<std::int64_t>(absl::GetFlag(FLAGS_timeout_ms) - 1000, 1000);
        const api_response apiResponse = sendApiRequest(
            http::verb::get, "/v1/watch?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(waitMs));
        if (!isSuccess(apiResponse)) {
            return reportFailure("watch", apiResponse);
        }
        const auto version = apiResponse.body["version"].get<std::uint64_t>();
        if (version == from) {
            std::cerr << "nothing changed after version " << from << "\n";
            return exitRejected;
        }
        print(apiResponse.body, [](const json &body) {
            std::cout << "version " << body["version"] << "\n";
            for (const json &resource : body["changed"]) {
                printResource(resource);
            }
        });
        from = version;
        ++eventCount;
    }
    return 0;
}

int status(const std::vector<std::string> & /*arguments*/)
{
    const api_response apiResponse = sendApiRequest(http::verb::get, "/v1/status");
    if (!isSuccess(apiResponse)) {
        return reportFailure("status", apiResponse);
    }
    print(apiResponse.body, [](const json &body) {
        std::cout << "entry " << body["entry"] << " applied " << body["applied"] << " in force " << body["in_force"]
                  << " store " << (body["store_reachable"].get<bool>() ? "reachable" : "unreachable") << " lease "
                  << body["lease_left_ms"] << " ms\n";
        for (const json &member : body["members"]) {
            std::cout << "  member " << member["name"] << " installed " << member["installed"] << " silent "
                      << member["silent_ms"] << " ms\n";
        }
        for (const json &backend : body["backends"]) {
            std::cout << "  backend " << backend["name"] << " " << backend["state"].get<std::string>() << " in flight "
                      << backend["in_flight"] << "\n";
        }
    });
    return 0;
}

/** Prints nothing for an entry of an earlier version. */
void printZoneOverflow(const json &overflow)
{
    if (overflow.empty()) {
        return;
    }
    std::cout << "  zone_overflow " << overflow["mode"].get<std::string>() << " cross_zone_cost_per_mb_ms "
              << overflow["cross_zone_cost_per_mb_ms"] << "\n";
    for (const json &service : overflow["services"]) {
        std::cout << "    service " << service["service"] << " share " << service["share"] << " home "
                  << service["home"].get<std::string>();
        for (const auto &[zone, capacity] : service["zones"].items()) {
            std::cout << " " << zone << " " << capacity.get<std::string>();
        }
        std::cout << "\n";
    }
}

int fleet(const std::vector<std::string> & /*arguments*/)
{
    const api_response apiResponse = sendApiRequest(http::verb::get, "/v1/fleet");
    if (!isSuccess(apiResponse)) {
        return reportFailure("fleet", apiResponse);
    }
    print(apiResponse.body, [](const json &body) {
        std::cout << "entry " << body["entry"] << " config " << body["config_version"] << " view "
                  << body["view_age_ms"] << " ms old, store "
                  << (body["store_available"].get<bool>() ? "reachable" : "unreachable");
        if (const json era = body.value("store_era", json()); !era.is_null()) {
            std::cout << " in era " << era;
        }
        std::cout << "\n";
        printZoneOverflow(body.value("zone_overflow", json::object()));
        for (const json &zone : body.value("evacuated_zones", json::array())) {
            std::cout << "  zone " << zone["zone"] << " evacuated, offset " << zone["offset"] << "\n";
        }
        for (const json &member : body["members"]) {
            std::cout << "  member " << member["name"] << " " << (member["ready"].get<bool>() ? "ready" : "not ready")
                      << "\n";
        }
        for (const json &backend : body["backends"]) {
            std::cout << "  backend " << backend["name"] << " of " << backend["service"] << " "
                      << backend["state"].get<std::string>() << " failures " << backend["failure_share"] << " sent "
                      << backend["sent"] << "\n";
        }
    });
    return 0;
}

int quotas(const std::vector<std::string> & /*arguments*/)
{
    const api_response apiResponse = sendApiRequest(http::verb::get, "/v1/quotas");
    if (!isSuccess(apiResponse)) {
        return reportFailure("quotas", apiResponse);
    }
    print(apiResponse.body, [](const json &body) {
        std::cout << "entry " << body["entry"] << " issues " << body["issued_share"] << " of the limits\n";
        for (const json &quota : body["workspaces"]) {
            std::cout << "  workspace " << quota["workspace"] << " limit " << quota["limit_per_s"] << "/s burst "
                      << quota["burst"] << " issuer " << quota["issuer"] << " bucket " << quota["bucket_tokens"]
                      << " stock " << quota["stock"] << " demand " << quota["demand_per_s"] << "/s admitted "
                      << quota["admitted"] << " rejected " << quota["rejected"] << " without issuer "
                      << quota["fallback"] << " last answer " << quota["answer_age_ms"] << " ms ago\n";
        }
    });
    return 0;
}

int request(const std::vector<std::string> &arguments)
{
    const api_response apiResponse = sendApiRequest(http::verb::get, "/v1/requests/" + arguments[0]);
    if (!isSuccess(apiResponse)) {
        return reportFailure("request", apiResponse);
    }
    print(apiResponse.body, [](const json &body) {
        for (const json &line : body) {
            std::cout << line.get<std::string>() << "\n";
        }
    });
    return 0;
}

int explain(const std::vector<std::string> &arguments)
{
    const api_response apiResponse = sendApiRequest(http::verb::get, "/v1/traces/" + arguments[0]);
    if (!isSuccess(apiResponse)) {
        return reportFailure("explain", apiResponse);
    }
    print(apiResponse.body, [](const json &body) {
        for (const json &span : body) {
            std::cout << span["name"].get<std::string>() << " " << span["duration"] << " us " << span["tags"].dump()
                      << "\n";
        }
    });
    if (apiResponse.body.empty()) {
        std::cerr << "this entry holds no trace " << arguments[0] << "\n";
        return exitRejected;
    }
    return 0;
}

int evict(const std::vector<std::string> &arguments)
{
    const api_response apiResponse = sendApiRequest(http::verb::delete_, "/v1/members/" + arguments[0]);
    if (!isSuccess(apiResponse)) {
        return reportFailure("evict", apiResponse);
    }
    std::cout << "evicted at version " << apiResponse.body["version"] << "\n";
    return 0;
}

/** A subcommand with the number of its arguments. */
struct subcommand
{
    std::string_view name;
    std::size_t argumentCount;
    int (*run)(const std::vector<std::string> &arguments);
};

constexpr std::array<subcommand, 13> subcommands = {{{"apply", 1, &apply},
                                                     {"get", 2, &get},
                                                     {"list", 1, &list},
                                                     {"delete", 2, &remove},
                                                     {"drain", 1, &drain},
                                                     {"undrain", 1, &undrain},
                                                     {"watch", 0, &watch},
                                                     {"status", 0, &status},
                                                     {"explain", 1, &explain},
                                                     {"fleet", 0, &fleet},
                                                     {"quotas", 0, &quotas},
                                                     {"request", 1, &request},
                                                     {"evict", 1, &evict}}};

int runTool(int argc, char **argv)
{
    absl::SetProgramUsageMessage(usageText);
    showFlagsOf("ctl/main");
    const auto settingErrors
        = applyEnvironment("CARDAMOMCTL_", {"api", "json", "version", "timeout_ms", "from", "count"});
    const std::vector<char *> positionalArguments = absl::ParseCommandLine(argc, argv);
    for (const std::string &error : settingErrors) {
        std::cerr << error << "\n";
    }
    if (!settingErrors.empty() || !parseSocketAddress(absl::GetFlag(FLAGS_api))) {
        std::cerr << "--api must be an IP address and a port\n";
        return exitConfigurationError;
    }
    const std::string name = positionalArguments.size() > 1 ? positionalArguments[1] : "";
    const auto *const found = std::ranges::find(subcommands, std::string_view(name), &subcommand::name);
    if (found == subcommands.end() || positionalArguments.size() != found->argumentCount + 2) {
        std::cerr << usageText << "\n";
        return exitUsage;
    }
    return found->run(std::vector<std::string>(positionalArguments.begin() + 2, positionalArguments.end()));
}

}

}

int main(int argc, char **argv)
{
    return cardamomdeck::runTool(argc, argv);
}
