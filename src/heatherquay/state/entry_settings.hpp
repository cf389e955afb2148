#pragma once

#include "heatherquay/state/ids.hpp"
#include "heatherquay/state/policy_settings.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace heatherquay::state
{

/// Tokens with which a team's callers authenticate. TOML: [[team]].
struct TeamCredential
{
    TeamId team;
    std::vector<std::string> tokenSha256; ///< SHA-256 hashes of the tokens in lower-case hexadecimal.
};

/// Tokens with which an operator authenticates. TOML: [[operator]].
struct OperatorCredential
{
    std::string name;
    std::vector<std::string> tokenSha256;
};

/// A service-level objective. TOML: [[service.objective]].
struct Objective
{
    TeamId team; ///< The team whose requests count; empty for all teams.
    std::chrono::milliseconds latencyTarget{1'000};
    double latencyShare{0.99}; ///< Fraction of requests that must be faster than the target.
    double successShare{0.999}; ///< Fraction of requests that must succeed.
};

/// A service whose requests are routed. TOML: [[service]].
struct ServiceSettings
{
    ServiceId id;
    std::uint32_t slotsPerEndpoint{8};
    std::uint32_t connectionsPerEndpoint{64};
    std::chrono::milliseconds requestTimeout{10'000}; ///< Longest time from the receipt of a request to its response.
    std::uint32_t queueLimit{256}; ///< Most requests that may wait in one entry.
    std::chrono::milliseconds probeAfter{1'000}; ///< Idle time after which a connection is probed.
    std::chrono::milliseconds probeTimeout{1'000};
    std::string probePath{"/healthz"};
    /// How long a slot stays unused after a request got no response, because the endpoint may still process it.
    std::chrono::milliseconds abandonGrace{2'000};
    std::uint32_t ejectAfterFailures{5}; ///< Consecutive failures after which an endpoint is ejected.
    double ejectedShareMax{0.5}; ///< Largest fraction of a service's endpoints that may be ejected at once.
    double retryBudgetShare{0.1}; ///< Retries allowed per successful request.
    double retryBudgetPerSecond{10.0}; ///< Retries per second that are allowed in addition to the share.
    std::vector<Objective> objectives;
};

/// The address of another entry, so that it can be reached without the table. TOML: [[peer]].
struct PeerSettings
{
    EntryId id;
    std::string address; ///< IP address and port of its peer interface.
};

/// Limits on callers' connections, requests and responses.
struct CallerLimits
{
    std::uint32_t headerBytes{16 * 1024};
    std::uint64_t bodyBytes{8 * 1024 * 1024};
    std::uint64_t responseBytes{16 * 1024 * 1024};
    std::chrono::milliseconds sendTimeout{10'000}; ///< Longest time in which a caller may send a whole request.
    std::uint32_t connections{4'096};
    std::uint32_t connectionsPerCaller{1'024};
    std::uint64_t memoryBytes{}; ///< For what callers make the entry hold; 0 for a part of the usable memory.
    /// For responses of endpoints while they arrive; 0 for a part of the usable memory.
    std::uint64_t responseMemoryBytes{};
};

/// Access to the table that all entries share.
struct TableSettings
{
    std::string address;
    std::chrono::milliseconds timeout{1'000};
    std::uint32_t writesPerSecond{400}; ///< Budget of all entries together.
    std::uint32_t readsPerSecond{1'800}; ///< Budget of all entries together.
};

/// Timing of the entries' membership leases and gossip.
struct MembershipSettings
{
    std::chrono::milliseconds renewInterval{2'000};
    std::chrono::milliseconds lease{6'000};
    std::chrono::milliseconds margin{2'000}; ///< Safety margin added to a lease before it counts as expired.
    std::chrono::milliseconds gossipInterval{500};
    std::uint32_t entriesMax{9};
};

/// Workers' leases and the start of gangs on workers.
struct WorkerLeaseSettings
{
    std::chrono::milliseconds lease{15'000};
    std::chrono::milliseconds renewInterval{5'000};
    std::chrono::milliseconds startTimeout{800}; ///< Longest time for all members of a gang to accept their start.
};

/// Shutdown of an entry.
struct StopSettings
{
    /// How long a stopping entry still serves while it reports not ready, so that the load balancer moves callers away.
    std::chrono::milliseconds drainDuration{2'000};
    std::chrono::milliseconds stopTimeout{30'000}; ///< Deadline for the whole shutdown, including drainDuration.
};

/// How an entry chooses an endpoint for a request. The default is SharesWithLoans; the others serve as baselines in
/// benchmarks.
enum class RoutingStrategy
{
    Shares, ///< Each entry uses only the endpoint slots that it owns.
    SharesWithLoans, ///< An entry without a free slot may also borrow a slot from another entry.
    TwoChoices ///< Power of two choices: the less loaded of two random endpoints.
};

/// All settings of an entry, as read from its TOML file.
struct EntrySettings
{
    EntryId id;
    RegionId region;
    FailureDomainId failureDomain;
    std::string callerAddress; ///< IP address and port for callers.
    std::string operatorAddress;
    std::string peerAddress;
    std::string peerSecret;
    std::uint32_t threads{2};
    std::string logLevel{"info"};
    std::string objectStoreAddress;
    std::string vmListAddress;
    std::chrono::milliseconds vmListPollInterval{1'000};
    std::chrono::hours idempotencyRetention{24};
    std::chrono::milliseconds planLifetime{300'000};
    RoutingStrategy routing{RoutingStrategy::SharesWithLoans};
    CallerLimits callerLimits;
    TableSettings table;
    MembershipSettings membership;
    WorkerLeaseSettings workerLease;
    StopSettings stop;
    PolicySettings policy;
    std::vector<PeerSettings> peers;
    std::vector<TeamCredential> teams;
    std::vector<OperatorCredential> operators;
    std::vector<ServiceSettings> services;
};

} // namespace heatherquay::state
