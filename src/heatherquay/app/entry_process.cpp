#include "heatherquay/app/entry_process.hpp"

#include "heatherquay/app/answer_store.hpp"
#include "heatherquay/app/loan_port.hpp"
#include "heatherquay/app/peer_service.hpp"
#include "heatherquay/coordination/burn_recorder.hpp"
#include "heatherquay/coordination/burn_report.hpp"
#include "heatherquay/coordination/caller_api.hpp"
#include "heatherquay/coordination/forwarder.hpp"
#include "heatherquay/coordination/idempotency_impl.hpp"
#include "heatherquay/coordination/job_driver.hpp"
#include "heatherquay/coordination/journal.hpp"
#include "heatherquay/coordination/membership.hpp"
#include "heatherquay/coordination/operator_api.hpp"
#include "heatherquay/coordination/plan_service.hpp"
#include "heatherquay/coordination/slot_ledger.hpp"
#include "heatherquay/protocol/event_codec.hpp"
#include "heatherquay/protocol/object_store_client.hpp"
#include "heatherquay/protocol/peer_client.hpp"
#include "heatherquay/protocol/peer_runtime.hpp"
#include "heatherquay/protocol/peer_server.hpp"
#include "heatherquay/protocol/table_client.hpp"
#include "heatherquay/protocol/vm_list_client.hpp"
#include "heatherquay/protocol/worker_client.hpp"
#include "heatherquay/state/cluster.hpp"
#include "heatherquay/transport/http_client.hpp"
#include "heatherquay/transport/http_server.hpp"
#include "heatherquay/transport/log.hpp"
#include "heatherquay/transport/message_reader.hpp"
#include "heatherquay/transport/metrics.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

namespace heatherquay::app
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace detail
{

constexpr auto ledgerTickInterval = 100ms;
constexpr auto drainPollInterval = 20ms;
constexpr auto sweepInterval = 60'000ms;
constexpr std::uint32_t sweepRowsMax = 500;
constexpr std::chrono::milliseconds leaveTimeoutMin{100};
constexpr std::chrono::milliseconds leaveTimeoutMax{3'000};

coordination::EventCodec eventCodec()
{
    return {[](const state::Event &event) {
                return json::parse(protocol::encode(event));
            },
            [](const json::value &value) {
                return protocol::decodeEvent(json::serialize(value));
            }};
}

std::string peerAddressOf(const coordination::MemberList &members, const state::EntryId &entry)
{
    for (const coordination::Member &member : members.members) {
        if (member.id == entry) {
            return member.peerAddress;
        }
    }
    return {};
}

bool isMember(const coordination::MemberList &members, const state::EntryId &entry)
{
    return !peerAddressOf(members, entry).empty();
}

std::vector<std::string> addressesOf(const std::vector<state::PeerSettings> &peers)
{
    std::vector<std::string> addresses;
    addresses.reserve(peers.size());
    for (const state::PeerSettings &peer : peers) {
        addresses.push_back(peer.address);
    }
    return addresses;
}

/// @return the time without renewals after which no task can still run on an unreachable worker: the time for which a
/// disconnected entry may still renew, plus the worker lease and a safety margin
std::chrono::milliseconds computeLeaseExpiryTimeout(const state::EntrySettings &settings)
{
    return settings.membership.lease + settings.workerLease.lease + settings.membership.margin;
}

std::chrono::seconds monotonicSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch());
}

// The rest is for the entry's own state.
constexpr std::size_t callerMemoryDivisor = 4;
constexpr std::size_t responseMemoryDivisor = 4;
constexpr std::uint32_t receiveBufferBytes = 64 * 1024;
constexpr std::uint32_t operatorConnections = 64;
constexpr std::uint64_t operatorBodyBytesMax = 1024 * 1024;
constexpr std::uint32_t operatorReceiveBufferBytes = 16 * 1024;
constexpr std::size_t operatorMemoryBytes = 16 * 1024 * 1024; // A quarter of it holds all connections.

/// Drains a server and returns when that is done, or at the deadline.
void drainUntil(transport::HttpServer &server, std::chrono::steady_clock::time_point deadline)
{
    server.drain();
    while (!server.drained() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(drainPollInterval);
    }
}

/// @return a budget with room for at least one message of the largest size
std::shared_ptr<transport::MemoryBudget> budgetFor(std::uint32_t headerBytes, std::uint64_t bodyBytes,
                                                   std::size_t bytes)
{
    const std::size_t largest = transport::largestMessageBytes(headerBytes, bodyBytes);
    return std::make_shared<transport::MemoryBudget>(std::max(bytes, transport::MemoryBudget::sizeForRequest(largest)));
}

transport::HttpServerLimits callerServerLimits(const state::CallerLimits &settings)
{
    transport::HttpServerLimits limits;
    limits.headerBytes = settings.headerBytes;
    limits.bodyBytes = settings.bodyBytes;
    limits.receiveTimeout = settings.sendTimeout;
    limits.connections = settings.connections;
    limits.connectionsPerAddress = settings.connectionsPerCaller;
    limits.receiveBufferBytes = receiveBufferBytes;
    const std::size_t memory
        = settings.memoryBytes > 0 ? settings.memoryBytes : transport::usableMemory() / callerMemoryDivisor;
    limits.memory = budgetFor(limits.headerBytes, limits.bodyBytes, memory);
    transport::limitConnections(limits, limits.connections);
    return limits;
}

/// @return the budget for responses of endpoints. It has room for at least one response of the largest size.
std::shared_ptr<transport::MemoryBudget> responseMemory(const state::CallerLimits &settings)
{
    const std::size_t memory = settings.responseMemoryBytes > 0 ? settings.responseMemoryBytes
                                                                : transport::usableMemory() / responseMemoryDivisor;
    return budgetFor(transport::HttpClientLimits{}.headerBytes, settings.responseBytes, memory);
}

/// The operators' interface has a budget of its own, so that it is served while callers use theirs up.
transport::HttpServerLimits operatorServerLimits()
{
    transport::HttpServerLimits limits;
    limits.bodyBytes = operatorBodyBytesMax;
    limits.connections = operatorConnections;
    limits.connectionsPerAddress = operatorConnections;
    limits.receiveBufferBytes = operatorReceiveBufferBytes;
    limits.memory = budgetFor(limits.headerBytes, limits.bodyBytes, operatorMemoryBytes);
    transport::limitConnections(limits, limits.connections);
    return limits;
}

} // namespace detail

struct EntryProcess::Components
{
    using Membership = coordination::Membership<protocol::TableClient, protocol::PeerClient>;
    using Journal = coordination::Journal<protocol::TableClient, protocol::ObjectStoreClient, protocol::PeerClient,
                                          state::Cluster>;
    using Plans = coordination::PlanService<Journal, protocol::TableClient>;
    using Driver = coordination::JobDriver<protocol::WorkerClient>;
    using Idempotency = coordination::Idempotency<protocol::TableClient, AnswerStore>;

    explicit Components(state::EntrySettings entrySettings);
    void connectListeners();
    coordination::OperatorPorts operatorPorts();
    coordination::JobDriverPorts driverPorts();
    coordination::JournalHooks journalHooks() const;
    coordination::CallerApiHooks callerHooks();
    PeerPorts peerPorts();
    coordination::EntryStatus status() const;
    bool ready() const;
    asio::awaitable<std::string> mergedBurn();
    std::string metricsText() const;
    void onMemberList(const std::shared_ptr<const coordination::MemberList> &list);
    void onVmList(const protocol::VmList &vms);
    void onRecord(const coordination::AppliedRecord &applied);
    asio::awaitable<void> discoverWorker(std::string address);
    asio::awaitable<void> discoverWorkers();
    std::set<std::string> knownWorkerAddresses() const;
    asio::awaitable<void> tickLedger();
    asio::awaitable<void> sweepExpiredKeys();

    std::shared_ptr<const state::EntrySettings> settings;
    std::atomic<bool> draining{false};
    std::atomic<bool> stopped{false};
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard{io.get_executor()};
    std::shared_ptr<protocol::PeerRuntime> peerRuntime;
    protocol::PeerClient peers;
    protocol::TableClient table;
    protocol::ObjectStoreClient objects;
    protocol::VmListClient vmList;
    protocol::WorkerClient workers;
    Membership membership;
    Journal journal;
    Plans plans;
    Driver driver;
    std::shared_ptr<coordination::EndpointDirectory> directory;
    std::shared_ptr<coordination::SlotLedger> ledger;
    std::shared_ptr<coordination::Forwarder> forwarder;
    std::shared_ptr<Idempotency> idempotency;
    coordination::BurnRecorder burn;
    transport::MetricsRegistry metrics;
    coordination::CallerApi callerApi;
    coordination::OperatorApi operatorApi;
    transport::HttpServer callerServer;
    transport::HttpServer operatorServer;
    protocol::PeerServer peerServer;
    /// All entries that the VM list has contained since the start of this process. Used only by onVmList().
    std::set<state::EntryId> entriesSeen;
    std::vector<std::thread> threads;
};

EntryProcess::Components::Components(state::EntrySettings entrySettings)
    : settings(std::make_shared<const state::EntrySettings>(std::move(entrySettings)))
    , io(static_cast<int>(settings->threads))
    , peerRuntime(std::make_shared<protocol::PeerRuntime>())
    , peers(peerRuntime, {.secret = settings->peerSecret})
    , table(io.get_executor(), settings->table)
    , objects(io.get_executor(), {.address = settings->objectStoreAddress})
    , vmList(io.get_executor(), {.address = settings->vmListAddress, .pollInterval = settings->vmListPollInterval})
    , workers(io.get_executor(), settings->workerLease.startTimeout)
    , membership(io.get_executor(), coordination::membershipOptions(*settings), table.urgent(), peers)
    , journal(io.get_executor(), {.self = settings->id, .seedPeers = detail::addressesOf(settings->peers)}, table,
              objects, peers, detail::eventCodec(), journalHooks(), state::Cluster(settings->policy))
    , plans(journal, table, std::chrono::duration_cast<state::Duration>(settings->planLifetime))
    , driver(io.get_executor(), workers, driverPorts(),
             {.lease = settings->workerLease.lease,
              .leaseExpiryTimeout = detail::computeLeaseExpiryTimeout(*settings),
              .startTimeout = settings->workerLease.startTimeout},
             {.renewInterval = settings->workerLease.renewInterval,
              .lease = settings->workerLease.lease,
              .lostAfter = detail::computeLeaseExpiryTimeout(*settings)})
    , directory(std::make_shared<coordination::EndpointDirectory>(io.get_executor(), settings,
                                                                  detail::responseMemory(settings->callerLimits)))
    , ledger(std::make_shared<coordination::SlotLedger>(settings->id, directory, settings,
                                                        [this] {
                                                            return membership.mayAct();
                                                        }))
    , forwarder(std::make_shared<coordination::Forwarder>(
          io.get_executor(), directory, ledger, settings,
          [this] {
              return membership.mayAct();
          },
          coordination::AnyLoanClient(std::make_shared<LoanPort>(io.get_executor(), settings->id, peers,
                                                                 [this](const state::EntryId &entry) {
                                                                     return detail::peerAddressOf(*membership.members(),
                                                                                                  entry);
                                                                 }))))
    , idempotency(std::make_shared<Idempotency>(
          io.get_executor(), std::make_shared<protocol::TableClient>(table.forCallers()),
          std::make_shared<AnswerStore>(objects),
          coordination::IdempotencyOptions{.self = settings->id, .retention = settings->idempotencyRetention},
          [this](const state::EntryId &entry, std::uint64_t) {
              return detail::isMember(*membership.members(), entry);
          }))
    , burn(settings->services)
    , callerApi(forwarder, settings, callerHooks())
    , operatorApi(settings->operators, operatorPorts())
    , callerServer(
          io.get_executor(),
          [this](transport::HttpRequest request) {
              return callerApi.handle(std::move(request));
          },
          coordination::CallerApi::refuse, detail::callerServerLimits(settings->callerLimits))
    , operatorServer(
          io.get_executor(),
          [this](transport::HttpRequest request) {
              return operatorApi.handle(std::move(request));
          },
          coordination::CallerApi::refuse, detail::operatorServerLimits())
    , peerServer(peerRuntime, io.get_executor(), std::make_shared<PeerService>(peerPorts()),
                 {.address = settings->peerAddress, .secret = settings->peerSecret})
{
    connectListeners();
}

/// Registers the listeners through which the components notify each other, and the gauges.
void EntryProcess::Components::connectListeners()
{
    journal.addListener([this](const coordination::AppliedRecord &applied) {
        onRecord(applied);
    });
    membership.addContributor([this](protocol::Gossip &gossip) {
        gossip.journalNumber = journal.number();
        ledger->fillGossip(gossip);
    });
    membership.addListener([this](const protocol::Gossip &gossip) {
        ledger->onGossip(gossip);
        journal.onGossip(gossip);
    });
    membership.addListListener([this](const std::shared_ptr<const coordination::MemberList> &list) {
        onMemberList(list);
    });
    vmList.addListener([this](const std::shared_ptr<const protocol::VmList> &vms) {
        onVmList(*vms);
    });
    for (std::size_t index = 0; index < transport::refusalReasonNames.size(); ++index) {
        metrics.gauge("heatherquay_refused_clients_total",
                      "Callers' connections and requests refused before a handler, by reason.",
                      [this, index] {
                          return static_cast<double>(
                              callerServer.refusals(static_cast<transport::RefusalReason>(index)));
                      },
                      {{"reason", std::string(transport::refusalReasonNames[index])}});
    }
    metrics.gauge("heatherquay_may_act", "Whether this entry may start anything new.", [this] {
        return membership.mayAct() ? 1.0 : 0.0;
    });
    metrics.gauge("heatherquay_journal_number", "Number of the last journal record applied.", [this] {
        return static_cast<double>(journal.number());
    });
    metrics.gauge("heatherquay_loans_total", "Requests that ran on a slot borrowed from another entry.", [this] {
        return static_cast<double>(forwarder->statistics().loans);
    });
    metrics.gauge("heatherquay_retries_total", "Requests that were retried.", [this] {
        return static_cast<double>(forwarder->statistics().retries);
    });
}

bool EntryProcess::Components::ready() const
{
    return !draining.load() && journal.ready() && membership.mayAct();
}

coordination::CallerApiHooks EntryProcess::Components::callerHooks()
{
    coordination::CallerApiHooks hooks;
    hooks.runKeyed = [this](coordination::KeyedRequest request, coordination::ForwardOperation forward) {
        return idempotency->run(std::move(request), std::move(forward));
    };
    hooks.ready = [this] {
        return ready();
    };
    hooks.record = [this](const coordination::RequestRecord &record) {
        burn.record(record, detail::monotonicSeconds());
        const transport::MetricLabels labels{{"service", record.service.value}, {"team", record.team.value}};
        metrics.counter("heatherquay_requests_total", "Requests that were answered or rejected.", labels).add();
        metrics.histogram("heatherquay_request_seconds", "Time from receiving a request to answering it.", labels)
            .record(record.latency);
    };
    return hooks;
}

coordination::JournalHooks EntryProcess::Components::journalHooks() const
{
    return {.mayAct =
                [this] {
                    return membership.mayAct();
                },
            .active =
                [this] {
                    return membership.active();
                },
            .peers =
                [this] {
                    std::vector<std::string> addresses;
                    for (const coordination::Member &member : membership.members()->members) {
                        if (member.id != settings->id) {
                            addresses.push_back(member.peerAddress);
                        }
                    }
                    return addresses;
                },
            .peerAddress =
                [this](const state::EntryId &entry) {
                    return detail::peerAddressOf(*membership.members(), entry);
                }};
}

coordination::JobDriverPorts EntryProcess::Components::driverPorts()
{
    return {[this](const std::function<void(const state::Cluster &)> &reader) {
                journal.read(reader);
            },
            [this](const coordination::Proposal &proposal) {
                return journal.commit(proposal);
            },
            [this] {
                return membership.mayAct();
            },
            [this] {
                return membership.active();
            },
            [this] {
                return membership.members();
            },
            settings->id};
}

coordination::OperatorPorts EntryProcess::Components::operatorPorts()
{
    return {[this](const state::Intent &intent) {
                return plans.propose(intent);
            },
            [this](const state::PlanId &id) {
                return plans.confirm(id);
            },
            [this](const std::function<void(const state::Cluster &)> &reader) {
                journal.read(reader);
            },
            [this] {
                return status();
            },
            [this] {
                return mergedBurn();
            },
            [this] {
                return metricsText();
            }};
}

PeerPorts EntryProcess::Components::peerPorts()
{
    return {[this](protocol::Gossip gossip) {
                return membership.onGossip(std::move(gossip));
            },
            [this](std::vector<protocol::JournalRecord> records) {
                return journal.onAppend(std::move(records));
            },
            [this](std::uint64_t from) {
                return journal.onFetch(from);
            },
            [this](const protocol::BorrowRequest &request) {
                return ledger->onBorrow(request);
            },
            [this](std::uint64_t loan) {
                ledger->onGiveBack(loan);
            },
            [this] {
                return coordination::encodeBurn(burn.snapshot(detail::monotonicSeconds()));
            },
            [this](protocol::RelayedRenewal renewal) {
                return membership.onRenewFor(std::move(renewal));
            }};
}

coordination::EntryStatus EntryProcess::Components::status() const
{
    coordination::EntryStatus status;
    status.entry = settings->id.value;
    status.version = HEATHERQUAY_VERSION;
    status.ready = ready();
    status.mayAct = membership.mayAct();
    status.journalNumber = journal.number();
    for (const coordination::Member &member : membership.members()->members) {
        status.members.push_back({member.id.value, member.peerAddress});
    }
    return status;
}

/// @return the burn rates of all members as JSON, with the ids of the members whose counts are missing
asio::awaitable<std::string> EntryProcess::Components::mergedBurn()
{
    coordination::BurnSnapshot mergedSnapshot = burn.snapshot(detail::monotonicSeconds());
    std::vector<std::string> missing;
    const auto list = membership.members();
    for (const coordination::Member &member : list->members) {
        if (member.id == settings->id) {
            continue;
        }
        const std::optional<std::string> bytes = co_await peers.burn(member.peerAddress, std::string());
        try {
            if (bytes) {
                coordination::merge(mergedSnapshot, coordination::decodeBurn(*bytes));
                continue;
            }
        } catch (const Error &error) {
            transport::log(transport::LogLevel::Warn, "burn-unreadable",
                           {{"member", member.id.value}, {"error", error.what()}});
        }
        missing.push_back(member.id.value);
    }
    co_return coordination::burnJson(mergedSnapshot, settings->services, missing);
}

std::string EntryProcess::Components::metricsText() const
{
    return metrics.text() + coordination::burnMetrics(burn.snapshot(detail::monotonicSeconds()), settings->services);
}

void EntryProcess::Components::onMemberList(const std::shared_ptr<const coordination::MemberList> &list)
{
    table.setMembers(std::max<std::uint32_t>(1, static_cast<std::uint32_t>(list->members.size())));
    ledger->adopt(list);
}

void EntryProcess::Components::onRecord(const coordination::AppliedRecord &applied)
{
    for (const state::Event &event : applied.record.events) {
        if (const auto *drain = std::get_if<state::EndpointDraining>(&event)) {
            directory->drain(drain->address, drain->draining);
            ledger->refresh();
        }
    }
    if (applied.own) {
        driver.dispatch(applied.commands);
    }
}

void EntryProcess::Components::onVmList(const protocol::VmList &vms)
{
    std::vector<coordination::EndpointRecord> endpoints;
    std::set<state::EntryId> entries;
    for (const protocol::Vm &vm : vms) {
        if (vm.role == protocol::VmRole::Endpoint) {
            endpoints.push_back({vm.service, vm.address, vm.state == protocol::VmState::Leaving});
        } else if (vm.role == protocol::VmRole::Entry) {
            entries.insert(state::EntryId{vm.id});
        }
    }
    directory->update(endpoints);
    ledger->refresh();
    std::set<state::EntryId> terminatedEntries;
    std::set_difference(entriesSeen.begin(), entriesSeen.end(), entries.begin(), entries.end(),
                        std::inserter(terminatedEntries, terminatedEntries.end()));
    entriesSeen.merge(entries);
    membership.setTerminated(std::move(terminatedEntries));
}

/// Queries the inventory of the worker at @p address and adds the worker if it responds.
asio::awaitable<void> EntryProcess::Components::discoverWorker(std::string address)
{
    const std::optional<state::WorkerSpec> worker = co_await workers.inventory(address);
    if (worker) {
        co_await driver.addWorker(*worker);
    }
}

asio::awaitable<void> EntryProcess::Components::tickLedger()
{
    asio::steady_timer timer(io);
    while (!stopped.load()) {
        ledger->tick();
        timer.expires_after(detail::ledgerTickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

/// Periodically adds the workers that are in the VM list but not yet in the state. Runs only on the active entry.
asio::awaitable<void> EntryProcess::Components::discoverWorkers()
{
    asio::steady_timer timer(io);
    while (!stopped.load()) {
        const auto vms = vmList.current();
        if (vms && journal.ready() && membership.active()) {
            const std::set<std::string> known = knownWorkerAddresses();
            for (const protocol::Vm &vm : *vms) {
                if (vm.role == protocol::VmRole::Worker && !known.contains(vm.address)) {
                    co_await discoverWorker(vm.address);
                }
            }
        }
        timer.expires_after(settings->vmListPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

std::set<std::string> EntryProcess::Components::knownWorkerAddresses() const
{
    std::set<std::string> known;
    journal.read([&known](const state::Cluster &cluster) {
        for (const state::WorkerView &worker : cluster.workers()) {
            known.insert(worker.spec.address);
        }
    });
    return known;
}

/// Periodically deletes idempotency keys and their stored responses after the retention time. Runs only on the active
/// entry.
asio::awaitable<void> EntryProcess::Components::sweepExpiredKeys()
{
    asio::steady_timer timer(io);
    while (!stopped.load()) {
        if (membership.active()) {
            co_await idempotency->sweep(detail::sweepRowsMax);
        }
        timer.expires_after(detail::sweepInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

EntryProcess::EntryProcess(state::EntrySettings settings)
    : m_components(std::make_unique<Components>(std::move(settings)))
{
}

EntryProcess::~EntryProcess()
{
    m_components->stopped.store(true);
    m_components->peerServer.stop();
    m_components->workGuard.reset();
    m_components->io.stop();
    for (std::thread &thread : m_components->threads) {
        thread.join();
    }
}

void EntryProcess::start()
{
    Components &components = *m_components;
    components.callerServer.listen(components.settings->callerAddress);
    components.operatorServer.listen(components.settings->operatorAddress);
    components.peerServer.start();
    components.membership.start();
    asio::co_spawn(components.io, components.journal.run(), asio::detached);
    asio::co_spawn(components.io, components.driver.run(), asio::detached);
    asio::co_spawn(components.io, components.vmList.run(), asio::detached);
    asio::co_spawn(components.io, components.discoverWorkers(), asio::detached);
    asio::co_spawn(components.io, components.tickLedger(), asio::detached);
    asio::co_spawn(components.io, components.sweepExpiredKeys(), asio::detached);
    for (std::uint32_t i = 0; i < components.settings->threads; ++i) {
        components.threads.emplace_back([&components] {
            components.io.run();
        });
    }
    transport::log(transport::LogLevel::Info, "entry-started",
                   {{"entry", components.settings->id.value},
                    {"callers", components.settings->callerAddress},
                    {"operators", components.settings->operatorAddress},
                    {"peers", components.settings->peerAddress}});
}

bool EntryProcess::stop()
{
    Components &components = *m_components;
    const auto deadline = std::chrono::steady_clock::now() + components.settings->stop.stopTimeout;
    components.draining.store(true);
    components.callerServer.announceClose();
    std::this_thread::sleep_for(components.settings->stop.drainDuration);
    detail::drainUntil(components.callerServer, deadline);
    const transport::HttpServerActivity left = components.callerServer.activity();
    const bool allAnswered = left.receiving + left.handling == 0;
    components.callerServer.answerPending();
    // Requests in progress may still need slots, so the entry leaves only after they have ended.
    components.ledger->beginLeaving();
    components.membership.announceLeaving();
    components.driver.stop();
    const auto remaining
        = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    const auto leaveTimeout = std::clamp(remaining, detail::leaveTimeoutMin, detail::leaveTimeoutMax);
    asio::co_spawn(components.io, components.membership.leave(leaveTimeout), asio::use_future).wait_for(leaveTimeout);
    detail::drainUntil(components.operatorServer, deadline);
    components.membership.stop();
    components.journal.stop();
    components.vmList.stop();
    components.forwarder->stop();
    components.stopped.store(true);
    return allAnswered;
}

} // namespace heatherquay::app
