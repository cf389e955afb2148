#pragma once

#include "heatherquay/coordination/batch/decider_load.hpp"
#include "heatherquay/coordination/batch/decider_metrics.hpp"
#include "heatherquay/coordination/batch/intake_parts.hpp"
#include "heatherquay/coordination/batch/job_board.hpp"
#include "heatherquay/coordination/batch/layout.hpp"
#include "heatherquay/coordination/batch/progress_reader.hpp"
#include "heatherquay/coordination/batch/record_writer.hpp"
#include "heatherquay/coordination/batch/send_queue.hpp"
#include "heatherquay/coordination/batch/table_mirror.hpp"
#include "heatherquay/coordination/batch/worker_session.hpp"
#include "heatherquay/state/batch/scheduler.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination::batch
{

namespace detail
{

constexpr auto waitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace detail

/// Intervals and timeouts of a decider.
struct DeciderTimes
{
    /// Lease of a worker. It outlasts a failover and does not exceed the longest lease that workers accept.
    std::chrono::milliseconds lease{5'000};
    /// Longest lease that workers accept; they shorten longer ones.
    std::chrono::milliseconds leaseMax{10'000};
    /// Leases are not extended when the store last confirmed the term longer ago than this.
    std::chrono::milliseconds authorityTimeout{4'000};
    /// Longest time from the latest confirmation of the term to the end of a lease, on the worker's clock. A successor
    /// waits for it; with the time to start a task it stays within the 9 s in which a lasting task must run again.
    std::chrono::milliseconds leaseSpanMax{8'400};
    /// Longest wait for an event before the next pass; also the retry delay after a failed pass.
    std::chrono::milliseconds passIntervalMax{100};
    /// Interval between writes of the learned worker speeds; a failover loses at most this much.
    std::chrono::milliseconds learnedSaveInterval{2'000};
    std::chrono::milliseconds runTimesSaveInterval{10'000}; ///< Longer, because the row is large.
    /// Minimum pause between passes, so that one pass handles several events.
    std::chrono::milliseconds passIntervalMin{10};
    /// How long a worker holds a poll open until a run ends.
    std::chrono::milliseconds pollWait{1'500};
    /// Time for the answer beyond pollWait; a worker without an answer by then counts as unreachable.
    std::chrono::milliseconds pollResponseMargin{900};
    /// Pause after a poll that reported ends.
    std::chrono::milliseconds pollPause{20};
    /// Pause after an unanswered poll; doubles with each further one.
    std::chrono::milliseconds pollRetryDelay{150};
    std::chrono::milliseconds pollRetryDelayMax{600};
    /// Timeout of start and stop orders. A healthy worker answers within 10 ms; orders are idempotent and are retried.
    std::chrono::milliseconds orderTimeout{300};
    /// How long to wait until the record of a run's end is stored before the worker is polled again.
    std::chrono::milliseconds recordTimeout{400};
    /// How long callers can query an ended job.
    std::chrono::milliseconds endedJobRetention{180'000};
    /// Slowest rate of a worker's clock relative to the decider's clock.
    double clockRateMin{0.98};
    /// A worker is polled before a start when its clock is known less precisely than this, because the uncertainty
    /// shortens the lease.
    std::chrono::milliseconds clockUncertaintyMax{200};
    /// Time that a worker takes to end its runs after its lease expires.
    std::chrono::milliseconds leaseExpiryMargin{300};
};

/// Callbacks and collaborators of the decider.
/// @tparam Worker client of one worker
template<typename Worker>
struct DeciderPorts
{
    /// Returns the condition of every write: this process still holds the term.
    std::function<protocol::batch::RowCondition()> term;
    /// Returns when the store last confirmed the term.
    std::function<std::chrono::steady_clock::time_point()> confirmedAt;
    /// Reports that a write under the term, sent at the given time, succeeded.
    std::function<void(std::chrono::steady_clock::time_point)> confirm;
    /// Ends this process's leadership for the given reason.
    std::function<void(const std::string &)> depose;
    /// Creates the client of a worker.
    std::function<std::shared_ptr<Worker>(const state::batch::WorkerSpec &)> connect;
    /// Decodes a worker's registration; returns nothing when the row describes no usable worker.
    std::function<std::optional<state::batch::WorkerSpec>(const protocol::batch::StoredRow &)> readWorker;
    std::string workersTable; ///< Name of the table of worker registrations.
    /// Asks the platform which workers may run a step; null when the platform has no advice service.
    std::function<boost::asio::awaitable<protocol::batch::AdviceAnswer>(state::batch::AdviceOrder)> advise;
    /// Returns whether the list of evacuated failure domains is recent enough to start tasks.
    std::function<bool()> evacuationsKnown;
    const JobBoard *board{};
    DeciderMetrics *metrics{};
};

/// Scheduling loop of the elected leader. While this process holds the term, the decider mirrors the tables of jobs and
/// workers, runs the scheduler, stores its decisions and sends orders to the workers. Not thread-safe: all calls and
/// coroutines run on one strand.
template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
class Decider : public std::enable_shared_from_this<Decider<Store, Worker>>
{
public:
    using Clock = std::chrono::steady_clock;
    using Session = WorkerSession<Worker>;

    Decider(boost::asio::any_io_executor executor, Store &store, protocol::batch::FencingToken token,
            DeciderPorts<Worker> ports, DeciderTimes times = {}, state::batch::SchedulerSettings settings = {},
            SendLimits orderLimits = {});

    /// Starts the loops and returns at once.
    void start();
    /// Stops permanently. Calls in progress finish without changing the state.
    void stop();
    /// Handles a change of a job's entry on the board, such as a cancellation request.
    void handleBoardChange(const state::JobId &job);
    void setQueues(std::map<std::string, state::batch::QueuePolicy> queues);
    void setGuarantees(const std::vector<state::batch::TeamGuarantee> &guarantees);
    void setEvacuatedDomains(const std::set<state::FailureDomainId> &domains);

    const state::batch::Scheduler &scheduler() const
    {
        return m_scheduler;
    }
    protocol::batch::FencingToken token() const
    {
        return m_token;
    }

private:
    using std::enable_shared_from_this<Decider>::shared_from_this;
    using Orders = SendQueue<std::variant<state::batch::StartOrder, state::batch::StopOrder, state::batch::PaceOrder>>;

    boost::asio::awaitable<void> run();
    /// Restores the scheduler from the stored records.
    /// @return false when the decider was stopped meanwhile
    boost::asio::awaitable<bool> recover();
    /// Runs one scheduling pass and stores its records.
    /// @return whether the records were stored
    boost::asio::awaitable<bool> pass();
    /// Adds the rows of finished occurrences, which a stored record of the schedule has replaced, to m_replacedRows.
    void noteReplacedRows(const state::batch::ScheduleChange &change);
    /// Removes some of the replaced rows.
    boost::asio::awaitable<void> removeReplacedRows();
    /// Removes the rows of jobs whose retention is over.
    boost::asio::awaitable<void> purgeEndedJobs();
    boost::asio::awaitable<void> pollLoop(std::shared_ptr<Session> session);
    /// Waits until a poll that the worker answers at once may be sent.
    boost::asio::awaitable<void> waitForPollSlot(std::shared_ptr<Session> session);
    /// Lets through the queued polls that may be sent now, and sets a timer for the next one.
    void grantPolls();
    /// @return whether a poll of the worker may wait there for the end of a run
    bool mayWaitForEnds(const Session &session) const;
    /// @return the pause before a silent worker is polled again
    std::chrono::milliseconds pollRetryDelay(const Session &session) const;
    /// Polls a worker once, extends its lease if allowed, and passes the answer to the scheduler.
    boost::asio::awaitable<void> poll(Session &session);
    void queue(state::batch::StartOrder start);
    void queue(state::batch::StopOrder stop);
    void queue(state::batch::PaceOrder pace);
    /// Sends the queued orders that may be sent now, and sets a timer for the next one.
    void sendOrders();
    /// Sends one order and then those that its answer allows.
    boost::asio::awaitable<void> send(typename Orders::Sent sent);
    boost::asio::awaitable<void> order(state::batch::StartOrder start);
    boost::asio::awaitable<void> order(state::batch::StopOrder stop);
    boost::asio::awaitable<void> order(state::batch::PaceOrder pace);
    boost::asio::awaitable<void> adviceLoop();
    /// Measures the delay of timers, and logs the load of the decider.
    boost::asio::awaitable<void> observeLoad();
    /// Takes the worker's clock from the answer to a start, or accounts for a lease that a later incarnation may have
    /// got.
    /// @param clockWhenSent lower bound of the clock when the order was sent
    void updateClock(Session &session, const typename Session::Exchange &exchange,
                     protocol::batch::WorkerTime clockWhenSent, const protocol::batch::OrderAnswer &answer);
    void handleReplacedWorker(const Session &session);
    /// Takes the incarnation from a registration or an answer of the worker.
    /// @param source where the incarnation comes from, for the log
    void updateIncarnation(Session &session, state::batch::Incarnation incarnation, const char *source);
    /// Accounts for the lease of a worker that may have restarted. An order that was sent to its earlier incarnation
    /// ends the lease at a time on the earlier clock, which the new incarnation reads as a lease of any length up to
    /// leaseMax.
    void assumeLongestLease(const Session &session);
    void applyJobRow(const protocol::batch::StoredRow &row);
    void forgetIntakePart(const state::JobId &job, std::uint32_t part);
    /// Removes the rows that an entry process stored for a job, from all parts that hold some.
    /// @return whether they are gone and the decider still runs
    boost::asio::awaitable<bool> removeIntake(const state::JobId &job);
    void applyWorkerRow(const protocol::batch::StoredRow &row);
    /// Passes an accepted job to the scheduler, unless it has ended.
    /// @param version version of the job's row
    void admit(const state::batch::JobSpec &job, std::uint64_t version);
    void openSession(const state::batch::WorkerSpec &spec);
    void report(const state::batch::Decision &decision) const;
    /// Starts the next pass without waiting for passIntervalMax.
    void wake();
    enum class TaskKind
    {
        Ordinary,
        Essential ///< The decider cannot go on without it.
    };
    /// Runs a coroutine on the executor. Logs its exception, and ends the leadership when the task is essential.
    void spawn(boost::asio::awaitable<void> task, TaskKind kind = TaskKind::Ordinary);
    /// Waits for a call and logs its exception, so that what the caller counts stays right.
    /// @return whether the call ended without an exception
    boost::asio::awaitable<bool> endsWithoutException(boost::asio::awaitable<void> call);
    /// Asks for advice.
    /// @param answer set to the answer
    boost::asio::awaitable<void> requestAdvice(state::batch::AdviceOrder order, protocol::batch::AdviceAnswer &answer);
    /// @return whether the store confirmed the term recently enough to grant leases
    bool hasAuthority() const;
    /// @return whether the list of evacuated failure domains is recent enough to start tasks
    bool evacuationsKnown() const;
    /// @return whether the reading of the worker's clock is recent; otherwise the worker is polled for a new one
    bool hasRecentClock(const Session &session) const;
    /// @return whether the worker's clock is known well enough to grant a lease that outlasts the next poll
    bool canGrantLease(const Session &session) const;
    /// The worker's clock must be known.
    /// @return the expiry, on the worker's clock, of a lease granted now
    protocol::batch::WorkerTime leaseEnd(const Session &session) const;
    /// @return the latest time, on this process's clock, at which a lease granted now expires and its runs have ended
    state::Instant latestLeaseExpiry(std::chrono::milliseconds lease) const;
    /// @return the same for the leases of a predecessor whose authority ends with a term that begins now
    state::Instant latestPredecessorLeaseExpiry() const;
    state::Instant now() const;
    static state::Instant wallClockNow();

    boost::asio::any_io_executor m_executor;
    Store &m_store;
    protocol::batch::FencingToken m_token;
    DeciderPorts<Worker> m_ports;
    DeciderTimes m_times;
    state::batch::Scheduler m_scheduler;
    RecordWriter<Store> m_writer;
    TableMirror<Store> m_jobs;
    TableMirror<Store> m_workers;
    boost::asio::steady_timer m_wake;
    Orders m_orders;
    boost::asio::steady_timer m_orderTimer;
    /// Polls that are answered at once. After an election every worker needs one; sent all together, they would keep
    /// the processor from the heartbeat and end the term.
    SendQueue<std::shared_ptr<Session>> m_polls;
    /// Polls of workers that did not answer the latest call. Kept apart, because each fills its place until it times
    /// out.
    SendQueue<std::shared_ptr<Session>> m_silentPolls;
    boost::asio::steady_timer m_pollTimer;
    std::map<state::WorkerId, std::shared_ptr<Session>> m_sessions;
    /// Jobs with the versions of their rows; admitted after recovery.
    std::map<state::JobId, std::pair<state::batch::JobSpec, std::uint64_t>> m_jobsBeforeRecovery;
    std::map<state::JobId, IntakePartSet> m_intakeParts; ///< Parts that hold a row of the job's specification.
    std::map<state::JobId, state::Instant> m_endedAt; ///< Ended jobs that are not purged yet.
    std::vector<protocol::batch::RowKey> m_replacedRows; ///< Of finished occurrences; no longer read.
    std::vector<state::batch::StartOrder> m_pendingStarts; ///< Sent to the workers once their records are stored.
    state::Instant m_termStartedAt;
    std::chrono::milliseconds m_passDuration{}; ///< How long the latest decision took.
    DeciderLoad m_load;
    state::Instant m_learnedSavedAt; ///< When the learned speeds were last stored.
    state::Instant m_runTimesSavedAt; ///< When the learned run times were last saved.
    std::deque<state::batch::AdviceOrder> m_adviceOrders; ///< Sent one at a time.
    bool m_adviceLoopRunning{};
    bool m_recovered{};
    bool m_stopped{};
    bool m_wakePending{}; ///< wake() was called since the last wait.
};

} // namespace heatherquay::coordination::batch

#include "heatherquay/coordination/batch/decider_impl.hpp"

#include "heatherquay/coordination/batch/decider_calls_impl.hpp"

#include "heatherquay/coordination/batch/decider_intake_impl.hpp"
