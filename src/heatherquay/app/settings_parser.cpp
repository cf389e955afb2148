#include "heatherquay/app/settings_parser.hpp"

#include "heatherquay/app/settings_section.hpp"
#include "heatherquay/app/toml_library.hpp"
#include "heatherquay/error.hpp"

#include <fstream>
#include <set>
#include <sstream>

namespace heatherquay::app
{

namespace detail
{

using namespace std::chrono_literals;
using state::EntrySettings;

constexpr std::uint32_t ratePerSecondMax = 1'000'000;
constexpr std::uint32_t connectionsMax = 1'000'000;
constexpr std::uint64_t kibibyte = 1024;
constexpr std::uint64_t mebibyte = 1024 * kibibyte;

/// Parses one section and reports its unknown keys.
/// @param parse reads the keys of the section into the settings
template<typename Parse>
void parseSection(Section &root, std::string_view name, Parse parse)
{
    Section section = root.section(name);
    parse(section);
    section.reportUnknownKeys();
}

/// Parses a list of sections such as [[service]].
/// @param items receives one item for each section
template<typename Item, typename Parse>
void parseList(Section &root, std::string_view name, std::vector<Item> &items, Parse parse)
{
    for (Section &section : root.sections(name)) {
        Item item;
        parse(section, item);
        section.reportUnknownKeys();
        items.push_back(std::move(item));
    }
}

void parseEntry(Section &section, EntrySettings &settings)
{
    section.text("id", settings.id.value, Presence::Required);
    section.text("region", settings.region.value, Presence::Required);
    section.text("failure_domain", settings.failureDomain.value, Presence::Required);
    section.text("peer_secret", settings.peerSecret, Presence::Required);
    section.integer("threads", settings.threads, 1, 64);
    section.choice("log_level", settings.logLevel, {"debug", "info", "warn", "error"});
}

void parseListen(Section &section, EntrySettings &settings)
{
    section.address("callers", settings.callerAddress, Presence::Required);
    section.address("operators", settings.operatorAddress, Presence::Required);
    section.address("peers", settings.peerAddress, Presence::Required);
}

void parseTable(Section &section, state::TableSettings &table)
{
    section.address("address", table.address, Presence::Required);
    section.duration("timeout", table.timeout, 10ms, 60s);
    section.integer("writes_per_second", table.writesPerSecond, 1, ratePerSecondMax);
    section.integer("reads_per_second", table.readsPerSecond, 1, ratePerSecondMax);
}

void parseLimits(Section &section, state::CallerLimits &limits)
{
    std::uint64_t header = limits.headerBytes;
    section.size("header", header, kibibyte, mebibyte);
    limits.headerBytes = static_cast<std::uint32_t>(header);
    section.size("body", limits.bodyBytes, kibibyte, 1024 * mebibyte);
    section.size("response", limits.responseBytes, kibibyte, 1024 * mebibyte);
    section.duration("send_timeout", limits.sendTimeout, 100ms, 10min);
    section.integer("connections", limits.connections, 1, connectionsMax);
    section.size("memory", limits.memoryBytes, mebibyte, 1024 * 1024 * mebibyte);
    section.size("response_memory", limits.responseMemoryBytes, mebibyte, 1024 * 1024 * mebibyte);
    section.integer("connections_per_caller", limits.connectionsPerCaller, 1, connectionsMax);
}

void parseMembership(Section &section, state::MembershipSettings &membership)
{
    section.duration("renew_every", membership.renewInterval, 100ms, 60s);
    section.duration("lease", membership.lease, 500ms, 5min);
    section.duration("margin", membership.margin, 100ms, 60s);
    section.duration("gossip_every", membership.gossipInterval, 50ms, 10s);
    section.integer("entries_max", membership.entriesMax, 1, 64);
    if (membership.lease < 2 * membership.renewInterval) {
        section.addError("lease", "the lease is shorter than two renewals", "make it at least twice renew_every");
    }
}

void parseWorkerLease(Section &section, state::WorkerLeaseSettings &lease)
{
    section.duration("lease", lease.lease, 500ms, 10min);
    section.duration("renew_every", lease.renewInterval, 100ms, 5min);
    section.duration("start_timeout", lease.startTimeout, 50ms, 60s);
    if (lease.lease < 2 * lease.renewInterval) {
        section.addError("lease", "the lease is shorter than two renewals", "make it at least twice renew_every");
    }
}

void parseStop(Section &section, state::StopSettings &stop)
{
    section.duration("drain_for", stop.drainDuration, 0ms, 10min);
    section.duration("stop_within", stop.stopTimeout, 1s, 1h);
    if (stop.stopTimeout <= stop.drainDuration) {
        section.addError("stop_within", "it is not longer than drain_for, so no time is left to stop",
                         "make it longer than drain_for");
    }
}

void parsePolicy(Section &section, state::PolicySettings &policy)
{
    section.fraction("weight_completion", policy.weightCompletion, 0, 1);
    section.fraction("weight_fragmentation", policy.weightFragmentation, 0, 1);
    section.duration("reclaim_grace", policy.reclaimGrace, 0ms, 1h);
    section.duration("ageing_period", policy.ageingPeriod, 1s, 168h);
    section.duration("gang_wait_bound", policy.gangWaitBound, 1s, 720h);
    section.integer("probation_failures", policy.probationFailures, 1, 1000);
    section.duration("probation_period", policy.probationPeriod, 1s, 168h);
    section.integer("job_failure_bound", policy.jobFailureBound, 1, 1000);
}

void parseObjective(Section &section, state::Objective &objective)
{
    section.text("team", objective.team.value);
    section.duration("latency_target", objective.latencyTarget, 1ms, 10min);
    section.fraction("latency_share", objective.latencyShare, 0.0, 0.99999);
    section.fraction("success_share", objective.successShare, 0.0, 0.999999);
}

void parseService(Section &section, state::ServiceSettings &service)
{
    section.text("id", service.id.value, Presence::Required);
    section.integer("slots_per_endpoint", service.slotsPerEndpoint, 1, 4096);
    section.integer("connections_per_endpoint", service.connectionsPerEndpoint, 1, 65'536);
    section.duration("request_timeout", service.requestTimeout, 10ms, 1h);
    section.integer("queue_limit", service.queueLimit, 0, connectionsMax);
    section.duration("probe_after", service.probeAfter, 10ms, 1h);
    section.duration("probe_timeout", service.probeTimeout, 10ms, 60s);
    section.text("probe_path", service.probePath);
    section.duration("abandon_grace", service.abandonGrace, 0ms, 1h);
    section.integer("eject_after_failures", service.ejectAfterFailures, 1, 1000);
    section.fraction("ejected_share_max", service.ejectedShareMax, 0, 1);
    section.fraction("retry_budget_share", service.retryBudgetShare, 0, 1);
    section.fraction("retry_budget_per_second", service.retryBudgetPerSecond, 0, ratePerSecondMax);
    if (service.probePath.front() != '/') {
        section.addError("probe_path", "the path does not begin with a slash", "write a path such as \"/healthz\"");
    }
    parseList(section, "objective", service.objectives, parseObjective);
}

void parseRouting(Section &section, EntrySettings &settings)
{
    std::string strategy{"shares-with-loans"};
    section.choice("strategy", strategy, {"shares", "shares-with-loans", "two-choices"});
    settings.routing = strategy == "shares" ? state::RoutingStrategy::Shares
        : strategy == "two-choices"         ? state::RoutingStrategy::TwoChoices
                                            : state::RoutingStrategy::SharesWithLoans;
}

/// Names are lookup keys later, so they have to be unique within a list.
template<typename Item, typename Name>
void requireUnique(Section &root, std::string_view list, const std::vector<Item> &items, Name name)
{
    std::set<std::string> seen;
    for (const Item &item : items) {
        if (!seen.insert(name(item)).second) {
            root.addError(list, "\"" + name(item) + "\" occurs twice",
                          "give each [[" + std::string(list) + "]] a unique name");
        }
    }
}

/// Checks the constraints between sections.
void checkConsistency(Section &root, const EntrySettings &settings)
{
    requireUnique(root, "service", settings.services, [](const auto &item) {
        return item.id.value;
    });
    requireUnique(root, "team", settings.teams, [](const auto &item) {
        return item.team.value;
    });
    requireUnique(root, "operator", settings.operators, [](const auto &item) {
        return item.name;
    });
    requireUnique(root, "peer", settings.peers, [](const auto &item) {
        return item.id.value;
    });
    for (const state::ServiceSettings &service : settings.services) {
        // While all entries are being replaced, old and new ones hold connections at the same time.
        if (service.connectionsPerEndpoint < 2 * settings.membership.entriesMax) {
            root.addError("service",
                          "connections_per_endpoint of \"" + service.id.value + "\" does not suffice for all entries",
                          "make it at least twice membership.entries_max");
        }
    }
}

void parseRoot(Section &root, EntrySettings &settings)
{
    parseSection(root, "entry", [&](Section &section) {
        parseEntry(section, settings);
    });
    parseSection(root, "listen", [&](Section &section) {
        parseListen(section, settings);
    });
    parseSection(root, "table", [&](Section &section) {
        parseTable(section, settings.table);
    });
    parseSection(root, "object_store", [&](Section &section) {
        section.address("address", settings.objectStoreAddress, Presence::Required);
    });
    parseSection(root, "vm_list", [&](Section &section) {
        section.address("address", settings.vmListAddress, Presence::Required);
        section.duration("every", settings.vmListPollInterval, 100ms, 60s);
    });
    parseSection(root, "idempotency", [&](Section &section) {
        std::chrono::milliseconds retention = settings.idempotencyRetention;
        section.duration("retention", retention, 1h, 8760h);
        settings.idempotencyRetention = std::chrono::floor<std::chrono::hours>(retention);
    });
    parseSection(root, "plans", [&](Section &section) {
        section.duration("lifetime", settings.planLifetime, 1s, 24h);
    });
    parseSection(root, "routing", [&](Section &section) {
        parseRouting(section, settings);
    });
    parseSection(root, "limits", [&](Section &section) {
        parseLimits(section, settings.callerLimits);
    });
    parseSection(root, "membership", [&](Section &section) {
        parseMembership(section, settings.membership);
    });
    parseSection(root, "worker_lease", [&](Section &section) {
        parseWorkerLease(section, settings.workerLease);
    });
    parseSection(root, "stop", [&](Section &section) {
        parseStop(section, settings.stop);
    });
    parseSection(root, "policy", [&](Section &section) {
        parsePolicy(section, settings.policy);
    });
    parseList(root, "peer", settings.peers, [](Section &section, state::PeerSettings &peer) {
        section.text("id", peer.id.value, Presence::Required);
        section.address("address", peer.address, Presence::Required);
    });
    parseList(root, "team", settings.teams, [](Section &section, state::TeamCredential &team) {
        section.text("id", team.team.value, Presence::Required);
        section.hashes("token_sha256", team.tokenSha256);
    });
    parseList(root, "operator", settings.operators, [](Section &section, state::OperatorCredential &item) {
        section.text("name", item.name, Presence::Required);
        section.hashes("token_sha256", item.tokenSha256);
    });
    parseList(root, "service", settings.services, parseService);
    root.reportUnknownKeys();
    checkConsistency(root, settings);
}

} // namespace detail

state::EntrySettings parseSettings(std::string_view text, const std::string &file)
{
    detail::ErrorList errors(file);
    toml::table table;
    try {
        table = toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        errors.add(error.source().begin.line, "", "not TOML: " + std::string(error.description()),
                   "correct the syntax of this line");
    } catch (const std::logic_error &) {
        errors.add(0, "", "not TOML: a key is malformed", "check the keys for invalid characters");
    }
    errors.throwIfAny();
    state::EntrySettings settings;
    detail::Section root(&table, "", errors);
    detail::parseRoot(root, settings);
    errors.throwIfAny();
    return settings;
}

state::EntrySettings readSettings(const std::string &file)
{
    const std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in || !text) {
        throw Error(ErrorKind::BadInput, "cannot read the settings file " + file,
                    "check that the file exists and is readable");
    }
    return parseSettings(text.str(), file);
}

} // namespace heatherquay::app
