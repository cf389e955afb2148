#pragma once

#include "heatherquay/coordination/batch/decider_metrics.hpp"
#include "heatherquay/coordination/batch/job_board.hpp"
#include "heatherquay/coordination/batch/layout.hpp"
#include "heatherquay/coordination/batch/record_writer.hpp"
#include "heatherquay/coordination/batch/table_mirror.hpp"
#include "heatherquay/coordination/batch/worker_session.hpp"
#include "heatherquay/state/batch/scheduler.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace heatherquay::coordination::batch
{

struct DeciderTimes
{
    std::chrono::milliseconds lease{5'000}; ///< Of a worker; bridges a take-over. At most what workers grant.
    std::chrono::milliseconds authority{4'000}; ///< Without confirmation by the store, leases are no longer extended.
    std::chrono::milliseconds passEvery{100}; ///< At least.
    std::chrono::milliseconds learnedEvery{2'000}; ///< Between two records of speeds; a take-over loses no more.
    std::chrono::milliseconds passGap{10}; ///< At least between two passes, so that events share one.
    std::chrono::milliseconds lookWait{1'500}; ///< A worker holds its answer for an end this long.
    std::chrono::milliseconds lookGrace{900}; ///< For the answer itself, before the worker counts as silent.
    std::chrono::milliseconds lookRetry{150};
    std::chrono::milliseconds orderTimeout{
        300}; ///< A healthy worker answers within ten; the same order again is harmless.
    std::chrono::milliseconds recordWait{400}; ///< For the record of an end before it is asked for again.
    std::chrono::milliseconds forgetAfter{180'000}; ///< Ended jobs are kept this long for callers.
    double slowClock{0.98}; ///< A worker's clock may run this slowly.
    std::chrono::milliseconds lapseSlack{300}; ///< For the worker to end its runs once its lease is over.
};

/// What the decider needs of its surroundings. @tparam Worker makes calls to one worker
template<typename Worker>
struct DeciderPorts
{
    std::function<protocol::batch::RowCondition()> term; ///< What all writes are conditional on.
    std::function<std::chrono::steady_clock::time_point()> confirmedAt;
    std::function<void(std::chrono::steady_clock::time_point)> confirm;
    std::function<void(const std::string &)> depose;
    std::function<std::shared_ptr<Worker>(const state::batch::WorkerSpec &)> connect;
    /// Reads a registration; nothing when the row describes no usable worker.
    std::function<std::optional<state::batch::WorkerSpec>(const protocol::batch::StoredRow &)> readWorker;
    std::string workersTable;
    /// Asks which workers may run a step; empty when the platform gives no advice.
    std::function<boost::asio::awaitable<protocol::batch::AdviceAnswer>(state::batch::AdviceOrder)> advise;
    const JobBoard *board{};
    DeciderMetrics *metrics{};
};

/// Decides while this process holds the term: follows jobs and workers, runs the scheduler, stores what it decides and
/// carries it to the workers. Runs on one strand.
template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
class Decider : public std::enable_shared_from_this<Decider<Store, Worker>>
{
public:
    using Clock = std::chrono::steady_clock;
    using Session = WorkerSession<Worker>;

    Decider(boost::asio::any_io_executor executor, Store &store, protocol::batch::FencingToken token,
            DeciderPorts<Worker> ports, DeciderTimes times = {}, state::batch::SchedulerSettings settings = {});

    /// Starts to decide; returns at once.
    void start();
    /// Stops for good; calls in progress end without effect on the state.
    void stop();
    /// The board's entry of a job has changed.
    void noteBoard(const state::JobId &job);
    void setQueues(std::map<std::string, state::batch::QueuePolicy> queues);
    void setGuarantees(const std::vector<state::batch::TeamGuarantee> &guarantees);

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

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> recover();
    boost::asio::awaitable<bool> pass();
    boost::asio::awaitable<void> forgetOldJobs();
    boost::asio::awaitable<void> lookLoop(std::shared_ptr<Session> session);
    boost::asio::awaitable<void> look(Session &session);
    boost::asio::awaitable<void> order(state::batch::StartOrder start);
    boost::asio::awaitable<void> order(state::batch::StopOrder stop);
    boost::asio::awaitable<void> adviceLoop();
    void takeJob(const protocol::batch::StoredRow &row);
    void takeWorker(const protocol::batch::StoredRow &row);
    void admit(const state::batch::JobSpec &job);
    void openSession(const state::batch::WorkerSpec &spec);
    void dispatch(std::vector<state::batch::StartOrder> starts);
    void report(const state::batch::Decision &decision) const;
    void wake();
    void spawn(boost::asio::awaitable<void> task);
    bool hasAuthority() const;
    /// @return the latest time at which a lease given now has ended, on this process's clock
    state::Instant lapseOf(std::chrono::milliseconds lease) const;
    state::Instant now() const;
    static state::Instant wall();

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
    std::map<state::WorkerId, std::shared_ptr<Session>> m_sessions;
    std::map<state::JobId, state::batch::JobSpec> m_early; ///< Jobs seen before the records were read.
    std::map<state::JobId, state::Instant> m_endedAt; ///< Ended jobs that are not forgotten yet.
    std::vector<state::batch::StartOrder> m_heldStarts; ///< Not ordered before their records are stored.
    state::Instant m_tookOverAt;
    state::Instant m_learnedAt; ///< When speeds were last recorded.
    std::deque<state::batch::AdviceOrder> m_adviceOrders; ///< Asked one after another.
    bool m_advising{};
    bool m_recovered{};
    bool m_stopped{};
    bool m_awake{};
};

} // namespace heatherquay::coordination::batch

#include "heatherquay/coordination/batch/decider_impl.hpp"
