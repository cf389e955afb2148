#pragma once

#include "heatherquay/coordination/gang_dispatcher.hpp"
#include "heatherquay/coordination/journal_settings.hpp"
#include "heatherquay/coordination/lease_renewer.hpp"
#include "heatherquay/coordination/member_list.hpp"
#include "heatherquay/state/cluster.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

namespace heatherquay::coordination
{

/// Functions of the entry that the job driver calls. They may be called from any thread.
struct JobDriverPorts
{
    /// Calls its argument with the current state.
    std::function<void(const std::function<void(const state::Cluster &)> &)> readCluster;
    std::function<boost::asio::awaitable<CommitOutcome>(const Proposal &)> commit;
    std::function<bool()> mayAct; ///< Whether this entry currently has the authority to start tasks and renew leases.
    std::function<bool()> active; ///< Whether this entry runs the background work that only one entry has to do.
    std::function<std::shared_ptr<const MemberList>()> members;
    state::EntryId self;
};

struct JobDriverTimes
{
    std::chrono::milliseconds checkInterval{100}; ///< Time between two checks for open commands.
    std::chrono::milliseconds takeoverBaseDelay{300}; ///< Age from which an open command may have lost its dispatcher.
    /// Added for each rank in the takeover order, to avoid duplicates.
    std::chrono::milliseconds takeoverRankDelay{100};
    std::chrono::milliseconds tickInterval{5'000}; ///< Time between two Tick events while jobs are waiting.
};

/// Executes the commands of state::Cluster on the workers and commits the workers' reports to the journal.
///
/// The entry that committed a record dispatches its commands. If a command stays open, the other entries take it over
/// one after the other in an order that depends on the job. Commands are idempotent, so a duplicate dispatch is
/// harmless.
/// @tparam Workers client for the workers
template<WorkerPort Workers>
class JobDriver
{
public:
    JobDriver(boost::asio::any_io_executor executor, Workers &workers, JobDriverPorts ports, DispatchTimes dispatch,
              RenewalTimes renewal, JobDriverTimes times = {});

    /// Dispatches the commands of a record that this entry committed.
    void dispatch(const std::vector<state::Command> &commands);
    /// Renews leases, takes over open commands and commits Tick events until stop() is called.
    boost::asio::awaitable<void> run();
    void stop();
    /// Adds a worker of the VM list to the state, unless the state contains it already.
    boost::asio::awaitable<void> addWorker(state::WorkerSpec worker);

private:
    using Clock = std::chrono::steady_clock;
    /// Identifies an open command by its kind (the index in state::Command), its job and its fence.
    struct OpenCommandKey
    {
        std::size_t kind{};
        protocol::GangRef gang;
        friend auto operator<=>(const OpenCommandKey &, const OpenCommandKey &) = default;
    };

    void dispatchCommand(const state::Command &command);
    std::optional<Gang> findGang(const state::JobId &job, state::Fence fence) const;
    std::optional<Gang> gangOf(const state::StartGang &command) const;
    void takeOverOpenCommands();
    std::chrono::milliseconds takeoverDelay(const state::JobId &job) const;
    std::vector<RenewalTarget> renewalTargets() const;
    void onTaskReport(const state::WorkerId &worker, const protocol::TaskReport &task);
    void spawn(boost::asio::awaitable<void> operation);
    boost::asio::awaitable<void> commitEvent(state::Event event);
    /// Retries until the proposal is committed or stop() is called.
    boost::asio::awaitable<void> commitUntilCertain(Proposal proposal);
    boost::asio::awaitable<void> tickIfNeeded();

    boost::asio::any_io_executor m_executor;
    boost::asio::strand<boost::asio::any_io_executor> m_strand; ///< Runs run() and the renewer.
    JobDriverPorts m_ports;
    JobDriverTimes m_times;
    GangDispatcher<Workers> m_dispatcher;
    LeaseRenewer<Workers> m_renewer;
    std::atomic<bool> m_stopped{false};
    std::map<OpenCommandKey, Clock::time_point> m_openSince; ///< When this entry first saw each open command.
    /// Workers whose loss or return is being committed; only used on m_strand.
    std::set<state::WorkerId> m_workersBeingReported;
    Clock::time_point m_lastTick;
};

} // namespace heatherquay::coordination
