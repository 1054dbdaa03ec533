"""Mutation test: checks that each listed test fails when the mechanism that it covers is removed.

For each row, copies the sources to a scratch directory, removes one mechanism,
rebuilds, and runs the named test, which must fail. Prints one line per row;
exits with 1 if a test passes without its mechanism or the text of a row is not
in its file.
"""

import os
import shutil
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
SCRATCH = ROOT / "out" / "prove"


@dataclass(frozen=True)
class Removal:
    """A mechanism, the code that implements it, the code that replaces it, and the test that must fail."""

    mechanism: str
    file: str
    text: str
    replacement: str
    test: str


REMOVALS = [
    Removal("requests with an unknown outcome are not retried", "libs/routing/src/requestplan.cpp",
            "m_traits.idempotent || outcomeOf(result) == outcome::not_run", "true",
            "request_faults_test.py MisbehavingBackendServers.test_a_request_that_may_have_run_is_never_sent_again"),
    Removal("a refusal before execution counts as not run", "libs/routing/src/requestplan.cpp",
            "if (result.refused || !result.mayHaveSentBytes) {", "if (!result.mayHaveSentBytes) {",
            "request_faults_test.py FaultsUnderNonIdempotentLoad"
            ".test_when_all_servers_refuse_each_caller_receives_not_run"),
    Removal("a body without a length does not count as complete", "libs/http/src/httpconnection.cpp",
            "if (closeDelimited && !rules.acceptsCloseDelimited && !parser.get().body().empty()) {", "if (false) {",
            "request_faults_test.py MisbehavingBackendServers.test_truncated_body_is_never_treated_as_complete"),
    Removal("a connection with unread bytes is not reused", "libs/http/src/httpconnection.cpp",
            "if (!reusable || state->buffer.size() > 0) {", "if (!reusable) {",
            "request_faults_test.py MisbehavingBackendServers.test_second_response_on_a_connection_is_not_delivered"),
    Removal("non-idempotent requests avoid stale idle connections", "daemon/proxiedrequest.cpp",
            "m_traits.idempotent ? time_point::min() : now - service.maxIdleTimeForNonIdempotent", "time_point::min()",
            "request_faults_test.py SilentConnections.test_non_idempotent_request_avoids_connection_without_recent_activity"),
    Removal("a timeout closes stale idle connections to the same server", "daemon/proxiedrequest.cpp",
            "m_proxy.m_pool.dropStale(target.name, now);", "",
            "request_faults_test.py SilentConnections"
            ".test_timeout_on_silent_connection_drops_other_idle_connections"),
    Removal("retries do not multiply along the call chain", "libs/routing/src/requestplan.cpp",
            "safeToRetry && !m_traits.retriedByCaller && !result.retriedByBackend", "safeToRetry",
            "request_faults_test.py MisbehavingBackendServers.test_request_marked_as_retry_is_not_retried"),
    Removal("a caller that disconnects cancels its request", "daemon/proxiedrequest.cpp",
            "self->finish(result_code::caller_gone);", "",
            "request_faults_test.py MisbehavingBackendServers.test_disconnected_caller_cancels_its_request"),
    Removal("the number of requests in flight is limited", "daemon/reverseproxy.cpp",
            "if (runtime->inFlight >= service.maxInFlight) {", "if (false) {",
            "request_faults_test.py BadInput.test_full_queue_rejects_immediately_with_retry_after"),
    Removal("view lease after a pause", "daemon/trafficchannel.h",
            "return now.time_since_epoch().count() < leaseExpiresAt.load(std::memory_order_acquire);",
            "static_cast<void>(now); return true;",
            "configuration_test.py PausedAndIsolatedEntries.test_resumed_entry_does_not_use_stale_configuration"),
    Removal("view lease during isolation", "daemon/trafficchannel.h",
            "return now.time_since_epoch().count() < leaseExpiresAt.load(std::memory_order_acquire);",
            "static_cast<void>(now); return true;",
            "configuration_test.py PausedAndIsolatedEntries"
            ".test_isolated_entry_stops_serving_in_time_and_reports_not_run"),
    Removal("contact with a majority of entries keeps the view lease in a store outage", "libs/membership/src/peertable.cpp",
            "if (const auto contactAt = majorityContactAt()) {\n        expiresAt",
            "if (const auto contactAt = majorityContactAt(); false) {\n        expiresAt",
            "configuration_test.py StoreFailures.test_store_outage_keeps_current_configuration_and_defers_changes"),
    Removal("entries pass configuration records to each other", "daemon/controlstate.cpp",
            "if (peerAppliedOffset >= m_config.appliedOffset()) {", "if (true) {",
            "configuration_test.py StoreFailures.test_an_entry_cut_from_the_store_gets_changes_from_its_peers"),
    Removal("conditional updates", "libs/configlog/src/configstate.cpp",
            "return current == *expected ? result_code::ok : result_code::version_conflict;",
            "static_cast<void>(current); return result_code::ok;",
            "configuration_test.py ChangesReachEveryEntry.test_concurrent_changes_accept_one_and_report_version_conflict"),
    Removal("deduplication by change ID", "libs/configlog/src/configstate.cpp",
            "if (const auto previousResult = resultOf(decoded.id)) {",
            "if (const auto previousResult = resultOf(decoded.id); false) {",
            "configuration_test.py ChangesReachEveryEntry"
            ".test_duplicate_record_does_not_restore_older_value"),
    Removal("snapshots of the configuration log", "daemon/configlogclient.cpp",
            "m_state.ingestSnapshot(result.records.back().data);", "",
            "configuration_test.py StoreRetention.test_a_fresh_entry_starts_from_a_snapshot_when_the_records_have_expired"),
    Removal("a drain waits for entries that may have requests in flight", "daemon/controlstate.cpp",
            "std::vector<std::string> waitingFor = reportedDrainBlockers(name, version);",
            "std::vector<std::string> waitingFor;",
            "draining_test.py DrainUnderLoad.test_drain_waits_for_paused_entry_with_request_in_flight"),
    Removal("the VM list stops new requests to a backend server", "daemon/controlstate.cpp",
            'shuttingDownServers[vm] = "vm_list";', "",
            "draining_test.py DrainUnderLoad.test_vm_list_stops_new_requests_while_log_service_is_down"),
    Removal("shutdown announcements of backend servers are propagated", "daemon/controlstate.cpp",
            'shuttingDownServers[announcement.backend] = "announced";', "",
            "draining_test.py DrainUnderLoad.test_drain_signal_of_backend_server_spreads_during_store_outage"),
    Removal("an entry that shuts down withdraws its address first", "daemon/main.cpp",
            "timer.expires_at(steady::now() + m_settings.shutdownDelay);", "timer.expires_at(steady::now());",
            "draining_test.py EntryShutdown.test_sigterm_removes_address_before_stopping_and_interrupts_no_request"),
    Removal("members whose VM is no longer listed can be evicted without a majority", "daemon/configlogclient.cpp",
            "if (m_startedAt <= unlistedSince) {", "if (false) {",
            "configuration_test.py Replacement.test_all_entries_can_be_replaced_at_once_under_new_names"),
    Removal("minimum interval between probes", "libs/routing/src/probebudget.cpp",
            "m_nextProbeAt = now + m_minInterval;", "", "routing_test"),
    Removal("the cost ignores the estimated load from other entries", "libs/routing/src/choicestrategy.cpp",
            "const double queueLength = 1.0 + candidate.inFlight();",
            "const double queueLength = 1.0 + candidate.inFlight() + candidate.otherEntriesLoad(context.now);",
            "replay_test"),
    Removal("outlier ejection", "libs/routing/src/balancer.cpp",
            "if (m_ejection == ejection_mode::off || backend->isEjected(now)) {", "if (true) {", "replay_test"),
    Removal("platform: pause detection", "daemon/gateway/controlplane.cpp",
            "if (paused == nanoseconds(0)) {", "if (paused >= nanoseconds(0)) {",
            "restart_test.py Pauses.test_resumed_entry_does_not_use_stale_view"),
    Removal("platform: detection of a caller that has disconnected", "libs/http/src/serverconnection.cpp",
            "if (callerDisconnected) {", "if (false) {",
            "restart_test.py Pauses.test_request_of_caller_that_disconnected_during_pause_is_not_sent"),
    Removal("platform: new connections may send their first request", "libs/http/src/serverconnection.cpp",
            "if (now < m_firstRequestDeadline) {", "if (false) {", "http_test"),
    Removal("platform: connections in the listen backlog are accepted at shutdown", "libs/http/src/httpserver.cpp",
            "m_state->acceptBacklog();", "", "http_test"),
    Removal("platform: late reports of removed servers", "libs/fleet/src/backendregistry.cpp",
            "|| record.offset < m_endOffset)", ")", "fleet_test"),
    Removal("platform: no stale view at startup", "libs/fleet/src/fleetstate.cpp",
            "|| age <= storeOutageThreshold;", "|| age >= milliseconds(0);", "fleet_test"),
    Removal("platform: readers are chosen by the read capacity of their VM", "libs/fleet/src/membertable.cpp",
            "a.readCapacity != b.readCapacity ?", "false ?", "fleet_test"),
    Removal("platform: checksum of compressed data", "libs/base/src/compression.cpp",
            "ZSTD_c_checksumFlag, 1", "ZSTD_c_checksumFlag, 0", "base_test"),
    Removal("platform: limit of skipped responses", "libs/http/src/httpconnection.cpp",
            "skipped <= maxSkippedResponses", "true", "http_test"),
    Removal("platform: memory budget for bodies", "libs/http/src/httpconnection.cpp",
            "if (!reserveBodyMemory(parser, memory)) {", "if (false) {", "http_test"),
    Removal("platform: connections accepted last are served after the acceptor is closed", "libs/http/src/httpserver.cpp",
            "if (!error && connections.size() < options.maxConnections) {",
            "if (acceptor.is_open() && !error && connections.size() < options.maxConnections) {", "http_test"),
    Removal("platform: read timeout for a slow listing", "daemon/gateway/controlplane.cpp",
            "readTimeout{5000}", "readTimeout{900}",
            "platform_test.py ManyServers.test_all_entries_start_again_while_each_page_of_the_listing_takes_long"),
    Removal("platform: reads continue up to the end of the topic", "platform/src/storeclient.cpp",
            "while (all.code == result_code::ok && all.nextOffset < all.topicEndOffset) {", "while (false) {", "platform_test"),
    Removal("platform: ready only when the backend servers are known", "libs/fleet/src/fleetstate.cpp",
            "const bool backendsKnown = m_complete || m_backends.endOffset() > 0;", "const bool backendsKnown = true;",
            "fleet_test"),
    Removal("platform: cached view response for entries that start together", "libs/fleet/src/viewresponsecache.cpp",
            "if (!m_fullResponse ||", "if (m_fullResponse || !m_fullResponse ||", "fleet_test"),
    Removal("platform: store retry rate is limited for the whole fleet",
            "libs/fleet/include/cardamomdeck/fleet/readschedule.h",
            "slowRetryDelayPerMember{50}", "slowRetryDelayPerMember{0}", "fleet_test"),
    Removal("platform: a starting entry resolves to itself", "libs/fleet/src/entryresolver.cpp",
            "if (!isDiscovering(now)) {", "if (true) {", "fleet_test"),
    Removal("platform: unusable idle connections are closed", "daemon/gateway/dataplane.cpp",
            "m_pool.dropUnusable();", "",
            "exhaustion_test.py IdleConnections.test_endless_bytes_after_a_complete_response_close_the_connection"),
    Removal("platform: connections to removed servers are closed", "daemon/gateway/dataplane.cpp",
            "m_pool.dropUnknown([this](const std::string &id) { return m_services.hasServingBackend(id); });", "",
            "exhaustion_test.py IdleConnections.test_connections_to_removed_server_are_closed"),
    Removal("platform: limit of the read buffer of a backend connection", "libs/http/src/httpconnection.cpp",
            "m_state->buffer.max_size(limits.maxHeaderBytes + bodyReadBytes);", "", "http_test"),
    Removal("platform: a removal found in a listing comes before the listing's end", "libs/fleet/src/backendregistry.cpp",
            "apply({id, end - 1, std::nullopt}, now)", "apply({id, end, std::nullopt}, now)", "fleet_test"),
    Removal("platform: the request's id proves a refusal", "platform/src/exchangeheaders.cpp",
            "return hasHeader(response, attemptIdHeader) ? response_match::other_request : response_match::unidentified;",
            "return hasHeader(response, attemptIdHeader) ? response_match::other_request : response_match::this_request;",
            "platform_test"),
    Removal("platform: no request is served after the close is announced", "libs/http/src/serverconnection.cpp",
            "m_closeAnnounced = !response.keep_alive();", "", "http_test"),
    Removal("platform: input is read ahead while the pipeline is full", "libs/http/src/serverconnection.cpp",
            "        watchInput();\n        co_await", "        co_await", "http_test"),
    Removal("platform: transfer codings other than chunked are rejected", "libs/http/src/private/transfercoding.h",
            "return std::next(first) == last", "return true || std::next(first) == last", "http_test"),
    Removal("platform: unreadable items of a listing are skipped", "platform/src/storeclient.cpp",
            "                logSkippedItem(key);", "                return std::nullopt;", "platform_test"),
    Removal("platform: an attempt whose server is being chosen counts", "libs/dispatch/src/attempttracker.cpp",
            "if (m_started + m_reserved >= m_maxAttempts) {", "if (m_started >= m_maxAttempts) {",
            "exhaustion_test.py Attempts.test_failure_during_the_choice_of_a_second_server_adds_no_attempt"),
    Removal("platform: servers that leave are not chosen", "libs/dispatch/src/backendavailability.cpp",
            "return !m_leavingSince && !pausedUntil(now);", "return !pausedUntil(now);",
            "announcements_test.py Leaving.test_nothing_reaches_a_leaving_server_that_is_registered_as_ready"),
    Removal("platform: paused servers are not chosen", "libs/dispatch/src/backendavailability.cpp",
            "return !m_leavingSince && !pausedUntil(now);", "return !m_leavingSince;",
            "announcements_test.py Pausing.test_few_requests_reach_a_server_in_its_pause_and_they_return_after_it"),
    Removal("platform: one entry at a time relays changes", "libs/fleet/src/fleetstate.cpp",
            "if (now < m_relayEndsAt && !announcement.update->changes.config) {", "if (false) {",
            "fleet_test"),
    Removal("platform: busy entries are not replaced in a relay", "daemon/gateway/viewupdaterelay.cpp",
            "if (delivery != update_delivery::unreachable) {", "if (delivery == update_delivery::confirmed) {",
            "gateway_test"),
    Removal("platform: a restarted server that may be leaving is probed first", "libs/dispatch/src/backendavailability.cpp",
            "    next->m_needsProbe = m_lastLeavingAt >= earliestStart;\n", "",
            "announcements_test.py Leaving"
            ".test_it_holds_when_the_record_of_the_restarted_server_comes_after_it"),
    Removal("platform: a pause goes on for the next incarnation", "libs/dispatch/src/backendavailability.cpp",
            "    next->m_pause = m_pause;\n", "",
            "announcements_test.py Pausing"
            ".test_pause_goes_on_when_the_record_of_the_restarted_server_comes_after_it"),
    Removal("platform: announcements are kept while the registration is gone", "libs/dispatch/src/backendavailability.cpp",
            "const bool hasEffect = !known.state->isAvailable(now);",
            "const bool hasEffect = false;",
            "announcements_test.py Leaving"
            ".test_it_holds_while_the_store_is_away_and_while_the_registration_expires_and_returns"),
    Removal("platform: the removal of an entry's record follows its registration", "daemon/gateway/memberregistry.cpp",
            "while (m_registrationsInProgress > 0) {", "while (false) {",
            "restart_test.py Restarts.test_deregistration_follows_a_registration_in_progress"),
    Removal("broken responses: a status that HTTP does not define is rejected", "libs/http/src/httpconnection.cpp",
            "!hasValidStatus(parser.get()) || ", "", "http_test"),
    Removal("broken responses: a reset during an upload is no end", "libs/http/src/httpconnection.cpp",
            "if (closeDelimited && state->sending == state::send_progress::failed) {", "if (false) {", "http_test"),
    Removal("broken responses: folded lines are rejected", "libs/http/src/responseparser.cpp",
            "if (isFolded(nameText, value)) {", "if (false) {", "http_test"),
    Removal("broken responses: each response is framed", "daemon/proxiedrequest.cpp",
            "setBodyLength(attempt.response, m_request.method());", "",
            "request_path_test.py ResponseFraming.test_caller_sees_the_end_of_each_response"),
    Removal("broken responses: bodies draw from a budget", "daemon/proxiedrequest.cpp",
            "rules.budget = &m_proxy.m_bodyMemory;", "",
            "exhaustion_test.py EndlessResponsesWithTheResourceApi"
            ".test_endless_responses_use_bounded_memory_and_others_are_served"),
    Removal("uploads draw from a budget", "daemon/reverseproxy.cpp", "options.budget = &memory;", "",
            "exhaustion_test.py EndlessResponsesWithTheResourceApi"
            ".test_uploads_use_bounded_memory_and_others_are_served"),
    Removal("stop: a request that the exit could interrupt is rejected", "daemon/gateway/dataplane.cpp",
            "if (deadline > m_lastDeadline) {", "if (false) {",
            "restart_test.py Stops.test_requests_that_arrive_during_a_stop_are_answered_or_rejected"),
    Removal("stop: connections are served to their end", "daemon/main.cpp",
            "!report.stopped || report.requestsInFlight > 0 || report.callerConnections > 0",
            "report.requestsInFlight > 0",
            "draining_test.py EntryShutdown.test_request_that_arrives_last_is_answered_while_the_store_is_down"),
    Removal("stop: requests may take as long as their service's timeout", "daemon/main.cpp",
            "steady::now() + maxConnectionWait", "steady::now() + milliseconds(60'000)",
            "draining_test.py EntryShutdown.test_stop_waits_for_a_request_that_takes_longer_than_a_minute"),
    Removal("cold servers: few requests are sent to them", "daemon/gateway/servicestate.h",
            "return limited && limited->warmup.isCold(now);", "return false;",
            "coldservers_test.py UnderLoad.test_server_that_turns_cold_gets_no_more_than_the_bound"),
    Removal("cold servers: a permit is used up right before a request is sent", "daemon/gateway/requestforwarder.cpp",
            "(canSend && !m_context.coldRequests.tryStartRequest(*m_request.service, *backend, startedAt))", "false",
            "coldservers_test.py UnderLoad.test_all_servers_turn_cold_at_once_get_work_and_recover"),
    Removal("cold servers: the newest health response counts", "daemon/gateway/backendprober.cpp",
            "recordWarmup(*backend, response, sentAt, steady::now());", "",
            "coldservers_test.py UnderLoad.test_server_that_turns_cold_gets_no_more_than_the_bound"),
    Removal("cold servers: an entry sends nothing to them just after its start", "libs/dispatch/src/coldserverpacer.cpp",
            "!contact.confirmed || now < startsAt", "!contact.confirmed", "dispatch_test"),
    Removal("cold servers: a starting entry sends nothing to them", "libs/dispatch/src/coldserverpacer.cpp",
            "!contact.confirmed || now < startsAt", "!contact.confirmed",
            "coldservers_test.py AllCold.test_entry_sends_nothing_to_cold_servers_just_after_its_start"),
    Removal("cold servers: an entry out of contact sends nothing to them", "libs/dispatch/src/coldserverpacer.cpp",
            "!contact.confirmed || now < startsAt", "now < startsAt",
            "coldservers_test.py AllCold.test_entry_out_of_contact_sends_nothing_to_cold_servers"),
    Removal("cold servers: permits expire", "libs/dispatch/src/coldserverpacer.cpp",
            "m_permitsExpireAt.front() <= drawnFrom + permitLifetime", "false", "dispatch_test"),
    Removal("cold servers: a share of the rate for each entry", "libs/dispatch/src/coldserverpacer.cpp",
            "coldPermitRate(limit) / entries", "coldPermitRate(limit)", "dispatch_test"),
    Removal("cold servers: entries that are silent still count", "libs/fleet/src/fleetcontact.cpp",
            "state.knownEntries(now)", "state.view(now)->liveMembers", "fleet_test"),
    Removal("cold servers: a report of a server that turns cold is a change", "libs/fleet/src/backendregistry.cpp",
            " || turnsCold(*known.server, next, now)", "", "fleet_test"),
    Removal("platform: exceptions of a request are handled", "libs/http/src/serverconnection.cpp",
            'logTaskFailure("request", std::current_exception());', "throw;", "http_test"),
]


def run(command, **options):
    return subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, **options)


def copy_sources():
    """Copies the tracked files; unchanged files keep their modification time, so that the build is incremental."""
    SCRATCH.mkdir(parents=True, exist_ok=True)
    tracked_files = run(["git", "ls-files"], cwd=ROOT).stdout.splitlines()
    for name in tracked_files:
        target = SCRATCH / name
        target.parent.mkdir(parents=True, exist_ok=True)
        if not target.exists() or target.read_bytes() != (ROOT / name).read_bytes():
            shutil.copy(ROOT / name, target)


def build():
    configured = run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja"], cwd=SCRATCH)
    built = run(["cmake", "--build", "build"], cwd=SCRATCH)
    if configured.returncode != 0 or built.returncode != 0:
        raise RuntimeError(configured.stdout[-2000:] + built.stdout[-4000:])


def test_fails(test):
    try:
        return run_test(test).returncode != 0
    except subprocess.TimeoutExpired:
        # A timeout counts as a failure: a program without one of its limits may not terminate.
        return True


def run_test(test):
    if "." not in test:
        return run([SCRATCH / "build" / "bin" / test, "--jobs=1"], timeout=120)
    environment = os.environ | {"CARDAMOMDECK_BIN": str(SCRATCH / "build" / "bin"), "PYTHONDONTWRITEBYTECODE": "1"}
    command = [sys.executable, *test.split()]
    return run(command, cwd=SCRATCH / "tests" / "system", env=environment, timeout=300)


def main():
    name_filter = sys.argv[1] if len(sys.argv) > 1 else ""
    problems = 0
    for removal in REMOVALS:
        if name_filter not in removal.mechanism:
            continue
        copy_sources()
        source = SCRATCH / removal.file
        text = source.read_text()
        if removal.text not in text:
            print(f"STALE   {removal.mechanism}: the text is not in {removal.file}", flush=True)
            problems += 1
            continue
        source.write_text(text.replace(removal.text, removal.replacement, 1))
        build()
        failed = test_fails(removal.test)
        problems += 0 if failed else 1
        print(f"{'fails  ' if failed else 'PASSES '} without: {removal.mechanism} ({removal.test.split('.')[-1]})", flush=True)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
