#pragma once

#include "heatherquay/protocol/batch/worker_calls.hpp"
#include "heatherquay/protocol/wait.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace heatherquay::test
{

/// What happened at a fake worker, in order.
struct WorkerRecord
{
    state::batch::TaskId task;
    std::uint32_t run{};
    std::uint64_t token{};
    bool started{}; ///< Otherwise stopped.
};

/// A worker that keeps its protocol: leases, fencing tokens, runs and ends. Shared by all deciders of a test.
class FakeWorker
{
public:
    using Clock = std::chrono::steady_clock;

    explicit FakeWorker(state::batch::WorkerSpec workerSpec)
        : spec(std::move(workerSpec))
        , m_bornAt(Clock::now())
    {
    }

    boost::asio::awaitable<protocol::batch::LookAnswer> look(protocol::batch::LookRequest request,
                                                             std::chrono::milliseconds timeout);
    boost::asio::awaitable<protocol::batch::OrderAnswer> start(state::batch::StartOrder order,
                                                               protocol::batch::FencingToken token,
                                                               protocol::batch::WorkerTime leaseUntil,
                                                               std::chrono::milliseconds timeout);
    boost::asio::awaitable<protocol::batch::OrderAnswer>
    stop(state::batch::StopOrder order, protocol::batch::FencingToken token, std::chrono::milliseconds timeout);

    /// Kills what runs and starts anew under the same id.
    void restart();
    /// Ends runs whose work is done or whose lease is over.
    void settle();
    std::size_t running() const
    {
        return m_runs.size();
    }
    /// @return when the lease ends, on the worker's clock
    protocol::batch::WorkerTime leaseUntil() const
    {
        return m_leaseUntil;
    }
    protocol::batch::WorkerTime clock() const
    {
        return std::chrono::duration_cast<protocol::batch::WorkerTime>(Clock::now() - m_bornAt);
    }

    state::batch::WorkerSpec spec;
    std::chrono::milliseconds work{100}; ///< Run time of every task.
    bool silent{}; ///< Calls are neither carried out nor answered.
    bool mute{}; ///< Calls are carried out and not answered.
    std::vector<WorkerRecord> records;
    std::uint64_t confirmedEnd{};

private:
    struct Run
    {
        std::uint32_t number{};
        Clock::time_point endsAt;
    };
    bool fenced(protocol::batch::FencingToken token);
    void addEnd(const state::batch::TaskId &task, std::uint32_t run, state::batch::EndKind kind);

    std::map<state::batch::TaskId, Run> m_runs;
    std::map<state::batch::TaskId, std::uint32_t> m_lastRun; ///< Stopped or ended; a start has to be higher.
    std::vector<state::batch::EndReport> m_ended;
    std::uint64_t m_lastEnd{};
    std::uint64_t m_token{};
    protocol::batch::WorkerTime m_leaseUntil{};
    Clock::time_point m_bornAt;
};

static_assert(protocol::batch::WorkerCalls<FakeWorker>);

} // namespace heatherquay::test
