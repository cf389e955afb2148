#pragma once

#include "heatherquay/state/batch/worker.hpp"

#include <optional>
#include <string>

namespace heatherquay::state::batch
{

/// Limits of the pool's judgement of workers.
struct WorkerPoolSettings
{
    Duration silenceMax{1'000}; ///< Without an answer for this long, a worker gets no new work; two retries of a look.
    Duration quarantineFirst{3'000}; ///< After the first streak of failures; a few short tasks long.
    Duration quarantineMax{12'000};
    std::uint32_t failureStreak{2}; ///< Failed runs in a row, of different units, before a worker is set aside.
    Duration roomRefusalPause{300}; ///< After a refusal for want of room, so that the next look corrects the books.
};

/// A worker with what it holds, and how far it can be trusted.
struct Worker
{
    WorkerSpec spec;
    bool registered{}; ///< Listed by the platform.
    bool fenced{}; ///< Has answered this decider, so that orders of earlier ones are void there.
    Resources used; ///< Of all runs that may exist there, and of reservations.
    std::uint32_t runs{}; ///< Runs that may exist there.
    std::uint32_t firmRuns{}; ///< Of these, runs of patient work that would be lost if they were stopped.
    std::uint32_t servingRuns{}; ///< Of these, runs that serve users of their own within a bound.
    std::uint32_t fillingRuns{}; ///< Of these, runs that take what others leave, and disturb them.
    Instant heardAt; ///< Last answer.
    bool silent{}; ///< The last call was not answered.
    Instant leaseUntil; ///< When the worker does not answer, all its runs have ended by then.
    std::uint32_t failuresInRow{};
    Duration quarantine{};
    Instant quarantinedUntil;
    double slowness{1}; ///< Learned run time relative to the expected one.

    Resources free() const
    {
        Resources room = spec.capacity;
        room -= used;
        return room;
    }
    bool hasLabel(const std::string &label) const;
};

/// All workers known to the decider.
class WorkerPool
{
public:
    explicit WorkerPool(WorkerPoolSettings settings = {});

    /// Registers a worker or takes in its changed registration.
    /// @param leaseUntil taken for a worker not seen before, whose runs under earlier deciders may last until then
    /// @return whether this is another incarnation than before, whose earlier runs are gone
    bool registerWorker(const WorkerSpec &spec, Instant leaseUntil);
    /// The platform no longer lists the worker.
    void unregister(const WorkerId &id);
    /// @return the worker, created unregistered when it is not known
    Worker &require(const WorkerId &id, Instant leaseUntil);
    Worker *find(const WorkerId &id);
    const Worker *find(const WorkerId &id) const;
    /// Forgets an unregistered worker without runs.
    void forget(const WorkerId &id);

    void noteAnswer(Worker &worker, Instant now);
    void noteSuccess(Worker &worker);
    void noteFailure(Worker &worker, Instant now);
    /// Sets the worker aside for @p pause at least.
    void pause(Worker &worker, Instant now, Duration pause);

    /// @return whether new runs may be placed there now
    bool accepts(const Worker &worker, Instant now) const;
    const std::map<WorkerId, Worker> &all() const
    {
        return m_workers;
    }
    std::map<WorkerId, Worker> &all()
    {
        return m_workers;
    }

private:
    WorkerPoolSettings m_settings;
    std::map<WorkerId, Worker> m_workers;
};

} // namespace heatherquay::state::batch
