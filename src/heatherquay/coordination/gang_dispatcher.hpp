#pragma once

#include "heatherquay/coordination/gang_members.hpp"
#include "heatherquay/state/events.hpp"

#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <set>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace heatherquay::coordination
{

struct DispatchTimes
{
    std::chrono::milliseconds lease{15'000}; ///< Lease that a task receives when it starts.
    /// Time without renewals after which a task on an unreachable worker has certainly stopped. It is the sum of the
    /// time during which a partitioned entry may still renew leases, the worker lease and a margin.
    std::chrono::milliseconds leaseExpiryTimeout{23'000};
    std::chrono::milliseconds stopRetryDelay{250}; ///< Time between two stop messages to a worker.
    std::chrono::milliseconds startTimeout{800};
};

/// Commits an event and returns once it is committed or no longer applies. Retries while the table is unavailable.
using EventReporter = std::function<boost::asio::awaitable<void>(const state::Event &)>;

/// Starts and stops gangs on their workers as a whole: either all members run or none. All operations are idempotent,
/// also if another entry repeats them: workers accept a repeated request with the same fence and reject a start that
/// follows a stop with the same fence.
/// @tparam Workers client for the workers
template<WorkerPort Workers>
class GangDispatcher
{
public:
    GangDispatcher(boost::asio::any_io_executor executor, Workers &workers, EventReporter report, DispatchTimes times);

    /// Starts all members. Reports GangStarted if all members accept. Otherwise stops all members and reports
    /// GangStartFailed once each member has confirmed the stop or its lease has expired.
    boost::asio::awaitable<void> start(Gang gang);
    /// Stops all members and reports TasksStopped once no member can be running.
    /// @param checkpoint whether the workers save a checkpoint first
    /// @param grace maximum time for the checkpoint
    boost::asio::awaitable<void> stop(Gang gang, bool checkpoint, std::chrono::milliseconds grace);
    /// Stops the other members of a gang after one member has failed, then reports TaskFailed.
    /// @param failedWorker the worker of the failed member, if known
    boost::asio::awaitable<void> handleTaskFailure(Gang gang, std::optional<state::WorkerId> failedWorker);
    /// Queries the state of all members and reports JobFinished if all have finished. The query renews their leases.
    boost::asio::awaitable<void> checkFinished(Gang gang);
    /// @return whether this entry is currently starting, stopping or checking the gang
    bool isBusy(const protocol::GangRef &gang) const;

private:
    /// Marks a gang as busy for the lifetime of the guard. Converts to false if the gang is busy already.
    class BusyGuard
    {
    public:
        BusyGuard(GangDispatcher &owner, const protocol::GangRef &gang);
        ~BusyGuard();
        BusyGuard(const BusyGuard &) = delete;
        BusyGuard &operator=(const BusyGuard &) = delete;
        explicit operator bool() const
        {
            return m_entered;
        }

    private:
        GangDispatcher &m_owner;
        protocol::GangRef m_gang;
        bool m_entered;
    };

    /// Not a coroutine, because g++ 12 copies class temporaries in the expressions of a coroutine bit by bit, which
    /// corrupts their strings.
    template<typename Event, typename... Values>
    boost::asio::awaitable<void> reportEvent(const Values &...values);
    /// As renewOperations() and stopOperations(), returns one operation per member, which the caller runs.
    std::vector<boost::asio::awaitable<protocol::StartAnswer>> startOperations(const Gang &gang);
    std::vector<boost::asio::awaitable<protocol::RenewAnswer>> renewOperations(const Gang &gang);
    std::vector<boost::asio::awaitable<bool>> stopOperations(const Gang &gang, bool checkpoint,
                                                             std::chrono::milliseconds grace);
    /// @return true if all members confirmed the stop as requested; false if a lease had to expire or a checkpoint was
    /// skipped because the grace period was over
    boost::asio::awaitable<bool> stopMembers(const Gang &gang, bool checkpoint, std::chrono::milliseconds grace);
    boost::asio::awaitable<bool> stopMember(GangMember member, protocol::GangRef gang, bool checkpoint,
                                            std::chrono::milliseconds grace);

    boost::asio::any_io_executor m_executor;
    Workers &m_workers;
    EventReporter m_report;
    DispatchTimes m_times;
    mutable std::mutex m_mutex; ///< Guards m_busy; never held across an operation.
    std::set<protocol::GangRef> m_busy;
};

} // namespace heatherquay::coordination
