#pragma once

#include "heatherquay/state/batch/placement.hpp"
#include "heatherquay/state/batch/run_estimates.hpp"
#include "heatherquay/state/batch/team_shares.hpp"
#include "heatherquay/state/batch/unit.hpp"
#include "heatherquay/state/batch/urgent_reserve.hpp"
#include "heatherquay/state/batch/worker_pool.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace heatherquay::state::batch
{

/// Timeouts and limits of the scheduler.
struct SchedulerSettings
{
    WorkerPoolSettings workers;
    SpeedSettings speeds;
    UrgentReserveSettings urgentReserve;
    /// Placement bonus of ordinary single tasks on workers of unknown speed, in free accelerators; 0 for none.
    double unknownSpeedBonus{4};
    RunTimeUses runTimes;
    Duration stopRetry{350}; ///< Interval at which an unanswered stop is repeated; just above the call timeout.
    std::size_t adviceWorkersMax{30}; ///< Workers in one advice call; a step's objective leaves time for this many.
    Duration adviceRetry{300}; ///< Delay after an answer that approved too few workers.
    Duration startRetry{30}; ///< Delay after an unanswered start; short, because the other gang members wait.
    Duration passGapMax{1'000}; ///< After a longer gap between passes, this process itself may have been suspended.
    /// A run is considered hung after this share of its expected time without progress, within the two limits below.
    /// The times of hungPercents and hungShareBeforeProgress apply where they are longer.
    double hungShare{0.5};
    Duration hungTimeMin{2'000}; ///< Longer than a worker may delay its answer to a poll.
    Duration hungTimeMax{5'000};
    /// Percents that a run must advance by in the time without progress, at its earlier pace or that of its step.
    double hungPercents{10};
    /// Share of the plausible length in which the first percent of a step must show, as long as no task of it has made
    /// progress. Leaves room for an estimate that is a tenth of the length and a worker of a quarter of the usual
    /// speed.
    double hungShareBeforeProgress{0.45};
    /// How long a step waits for the rack or the healthy workers that it prefers, or for racks reserved for gangs. Then
    /// it takes any place, because a slow run is better than none; a step that does not last only while less than this
    /// share of its service is in use.
    Duration preferenceWait{2'000};
    double preferenceUseMax{0.5};
    /// Control of best-effort runs beside runs with a latency target: their pace falls to this share while a response
    /// time is over its target, and rises by this many percent while all are below this share of it.
    double paceDecrease{0.5};
    std::uint32_t paceIncrease{10};
    double paceHeadroom{0.7};
    std::uint32_t paceMin{10}; ///< Below this percentage, best-effort runs pause.
    Duration paceSettleTime{700}; ///< After a change, until the reported response times reflect it.
    std::uint32_t reservedRacksMax{2}; ///< Racks reserved for gangs at the same time; a third of a small pool.
    /// Pause after a gang or an urgent step found no place; doubles with each further failure. A search over all
    /// workers takes milliseconds.
    Duration placementRetry{50};
    Duration urgentRetryMax{100};
    Duration ordinaryRetryMax{400};
    /// Workers examined in one pass; steps beyond are left for the next one. Bounds a pass to some tens of
    /// milliseconds.
    std::uint64_t examinedMax{100'000};
    /// Of these, those examined for urgent steps, so that many waiting ones do not keep other work from free resources.
    std::uint64_t examinedForUrgentMax{50'000};
    /// After its start, the scheduler evicts nothing for this time while a tenth of the workers have not answered it:
    /// they may have free resources. A guarantee is exempt.
    Duration firstAnswersTime{2'000};
    double firstAnswersShare{0.9};
    /// Until this time before its latest start, an urgent job evicts only work that costs little. Covers stopping the
    /// victims and starting the tasks.
    Duration evictionLead{800};
    /// The same for other jobs, which have longer to wait and lose less of their value when they are late.
    Duration ordinaryEvictionLead{6'000};
    /// How long a job within a guarantee waits for free resources before it may evict work of any cost.
    Duration guaranteePatience{200};
    /// Longest wait of an urgent job for a fast worker. After a longer one, it would be late on a fast worker too.
    Duration fastWorkerWait{1'000};
    /// Tasks in one record. A change rewrites the record of its block, so that smaller blocks save bytes; each record
    /// costs two entries of a transaction.
    std::uint32_t tasksPerRecord{16};
    /// Bounds on the occurrences of one recurring job that are open at the same time: by number, and by their tasks. A
    /// backlog of due occurrences is worked off in portions of this size.
    std::uint32_t openOccurrencesMax{256};
    std::uint64_t openTasksMax{4'096};
    /// Finished occurrences of a job whose records are removed together, in exchange for one record of the schedule.
    std::uint32_t occurrencesPerScheduleRecord{16};
    /// Time from the start of a gang's first member in which the others must start. A gang that is still incomplete is
    /// stopped as a whole, before the workers end the members one by one.
    Duration gangStartTime{1'800};
    /// Start orders per run before it is given up. All fit into the time for which gang members wait for each other.
    std::uint32_t startAttemptsMax{4};
    /// Time over which the use of resources is divided between teams, see TeamShares; zero for no division.
    Duration teamShareSpan{};
};

/// Order to start one task. Sent only after the run's record is stored.
struct StartOrder
{
    TaskId task;
    std::uint32_t run{};
    WorkerId worker;
    Incarnation incarnation;
    std::string payload;
    std::string checkpoint;
    std::string ticket; ///< From the placement advice; empty when the queue needs no advice.
    bool urgent{}; ///< Of a job with priority 0.
    std::uint32_t members{1}; ///< Number of tasks that start together.
};

/// Order to stop one run.
struct StopOrder
{
    TaskId task;
    std::uint32_t run{};
    WorkerId worker;
    std::optional<StopReason> reason; ///< For the log; empty for a run that is not known.
    JobId beneficiary; ///< Of an eviction, for the log.
};

/// Order to let a best-effort run work at a share of its usual speed.
struct PaceOrder
{
    TaskId task;
    std::uint32_t run{};
    WorkerId worker;
    std::uint32_t percent{};
};

/// Result of a start order.
enum class StartOutcome
{
    Started,
    Refused, ///< Not started.
    NoCapacity, ///< Not started: the worker has less free capacity than the scheduler assumes.
    NoTicket, ///< Not started: the ticket is no longer valid.
    NotSent, ///< Nothing was sent, so that this order never starts the run.
    Unknown ///< Not answered: the worker may execute the order, now or later.
};

/// A rack that is kept free for a gang until it fits there, for the log.
struct RackReservation
{
    JobId job;
    std::string rack;
    std::uint32_t workersKeptForUrgent{}; ///< Workers of the rack that the gang may not use.
};

/// A preemption, for the log and the metrics.
struct Eviction
{
    TaskId victim; ///< First task of the unit.
    std::uint32_t victimPriority{};
    std::uint32_t victimMembers{}; ///< Tasks that stop together.
    JobId beneficiary;
    std::uint32_t beneficiaryPriority{};
    bool guaranteed{}; ///< The beneficiary is within its team's guarantee, so that the lost work is not limited.
    double lostCoreSeconds{};
};

/// Why a run was given up without an end reported by its worker.
enum class ReleaseReason
{
    LeaseExpired, ///< The worker is silent, and its lease has expired.
    WorkerRestarted,
    WorkerReplaced, ///< Another worker answers at its address.
    NotListed ///< The worker does not know the run.
};

/// A run that was given up, for the log.
struct Release
{
    TaskId task;
    std::uint32_t run{};
    WorkerId worker;
    ReleaseReason reason{};
    double lostCoreSeconds{};
};

/// Request to the advice service: which of the workers may run a step.
struct AdviceOrder
{
    StepId step;
    std::vector<WorkerId> workers;
};

/// A new position in the schedule of a recurring job.
struct ScheduleChange
{
    ScheduleRecord record;
    std::uint32_t discardedFrom{}; ///< First occurrence whose records can be removed once this record is stored.
    std::uint32_t blocks{}; ///< Number of blocks of an occurrence.
};

/// Result of one scheduling pass.
struct Decision
{
    std::vector<OccurrenceRecord> records; ///< Must be stored before starts are sent and ends are confirmed.
    std::vector<JobStatus> statuses; ///< Must be stored together with the records.
    std::vector<ScheduleChange> schedules; ///< Must be stored before the records that they replace are removed.
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops; ///< May be sent without storing a record first.
    std::vector<PaceOrder> paces; ///< May be sent without storing a record first.
    std::vector<AdviceOrder> advice; ///< In order of urgency, most urgent first.
    std::vector<Eviction> evictions; ///< For the log.
    std::vector<RackReservation> reservations; ///< For the log; those that are new.
    std::vector<TaskId> hung; ///< Runs stopped because they made no progress, for the log.
    std::vector<Release> releases; ///< Since the previous pass, for the log.
};

/// Waiting and running work of a queue, for operators.
struct QueueView
{
    std::uint32_t waitingJobs{}; ///< Jobs without any started task.
    std::uint32_t runningJobs{};
    std::uint32_t waitingUnits{}; ///< Waiting units whose dependencies are done.
};

/// Accelerators of all workers by what holds them, for operators.
struct PoolUsage
{
    std::int64_t capacity{}; ///< Of the registered workers.
    std::int64_t reserved{}; ///< For units whose victims have not ended yet.
    std::int64_t starting{}; ///< By runs whose start is not confirmed.
    std::int64_t running{};
    std::int64_t stopping{}; ///< By runs that are being stopped.
    std::int64_t kept{}; ///< Of the workers that are kept for urgent jobs, whether they are in use or not.
    std::int64_t keptIdle{}; ///< Of these, those that nothing holds.
    std::int64_t waitingGangs{}; ///< Requested by gangs of ordinary jobs that wait and whose dependencies are done.
};

/// Decides which tasks run on which workers. Handles queue priorities, team guarantees, gangs, racks and unreliable
/// workers. Deterministic: uses no clock, network, threads or log; the caller passes the time and executes the
/// decisions.
class Scheduler
{
public:
    explicit Scheduler(SchedulerSettings settings = {});

    void setQueues(std::map<std::string, QueuePolicy> queues);
    void setGuarantees(const std::vector<TeamGuarantee> &guarantees);

    /// Adds an accepted job. Ignores jobs that are already known.
    /// @param begun whether the job has been reported as running before, by a predecessor
    void submit(const JobSpec &job, Instant now, bool begun = false);
    void cancel(const JobId &job);
    /// Restores the position in the schedule of a submitted job. Must be called before the job's records are restored.
    void restore(const ScheduleRecord &record);
    /// Restores the state of a submitted job that a predecessor recorded.
    /// @param leaseUntil when all recorded runs on workers that do not answer have ended
    void restore(const OccurrenceRecord &record, Instant now, Instant leaseUntil);

    /// @param leaseUntil lease end of a worker that is not known yet
    void registerWorker(const WorkerSpec &worker, Instant now, Instant leaseUntil);
    /// Reports how much longer a registered worker is slow after its start.
    void setColdRemaining(const WorkerId &id, Duration remaining, Instant now);
    void unregisterWorker(const WorkerId &id);
    void workerAnswered(const WorkerId &id, const WorkerReport &report, Instant now);
    /// Reports that the latest call to the worker was not answered.
    void workerUnreachable(const WorkerId &id);
    /// Reports that another worker answers at the worker's address, so that the worker and all its runs have ended.
    void workerReplaced(const WorkerId &id);
    /// Must be called before any call that may extend the worker's lease.
    /// @param until the latest time at which the lease ends
    void leaseExtended(const WorkerId &id, Instant until);
    /// Reports that the worker is fenced: it refuses orders of all earlier deciders.
    /// @param until when the leases granted by earlier deciders have ended
    void predecessorsFenced(const WorkerId &id, Instant until);
    /// @return whether the worker must be polled: runs exist or may exist there, it has not answered this decider yet,
    /// or it did not answer the latest call
    bool needsPoll(const WorkerId &id) const;

    /// Sets the failure domains that are evacuated: nothing more is started on their workers, and starts that are
    /// planned there are withdrawn. Runs that were ordered go on. The workers of a domain that is no longer evacuated
    /// take new runs one after the other, see WorkerPoolSettings::returnTime.
    void setEvacuatedDomains(const std::set<FailureDomainId> &domains, Instant now);
    /// @return the number of runs that may exist on workers of evacuated failure domains
    std::uint32_t runsInEvacuatedDomains() const;

    /// Must be called right before a start order is sent.
    /// @return whether to send it; false when the run was stopped, or its worker's failure domain evacuated, meanwhile
    bool beginStart(const TaskId &task, std::uint32_t run);
    void startAnswered(const TaskId &task, std::uint32_t run, StartOutcome outcome, Instant now);
    void stopAnswered(const TaskId &task, std::uint32_t run, Instant now);
    /// Reports that a stop order was not answered, or not sent. It is repeated while the run may exist.
    void stopUnanswered(const TaskId &task, std::uint32_t run, Instant now);

    /// Reports the outcome of a pace order. It is repeated until the worker has answered.
    void paceAnswered(const PaceOrder &order, bool answered, Instant now);

    /// Handles the answer to an AdviceOrder.
    /// @param tickets by worker that may run the step; nothing when the call failed
    /// @param validity lifetime of the tickets
    void adviceAnswered(const StepId &step, const std::optional<std::map<WorkerId, std::string>> &tickets,
                        Duration validity, Instant now);

    /// Runs one scheduling pass.
    /// @param now steady clock
    /// @param wall wall clock, for due times and deadlines
    /// @param startsMax starts after which no further work is placed, except urgent work; 0 places nothing
    Decision decide(Instant now, Instant wall, std::size_t startsMax = std::numeric_limits<std::size_t>::max());
    /// Includes the records of @p lost, which could not be stored, in the next decision again.
    void recordAgain(const Decision &lost);

    /// @return the learned distributions of run times, at most about @p bytesMax when encoded
    RunTimesRecord learnedRunTimes(std::size_t bytesMax) const;
    /// @return how many of the kinds were usable
    std::size_t restoreRunTimes(const RunTimesRecord &record);
    const RunTimeModel &runTimeModel() const
    {
        return m_estimates.model();
    }
    LearnedRecord learned() const;
    /// Restores what a predecessor learned. The workers must be registered first.
    void restoreLearned(const LearnedRecord &learned);

    const WorkerPool &workers() const
    {
        return m_pool;
    }
    std::map<std::string, QueueView> queues() const;
    std::size_t liveJobs() const
    {
        return m_jobs.size();
    }
    PoolUsage usage() const;
    const TeamShares &teamShares() const
    {
        return m_teamShares;
    }
    /// @return the work of a run that is lost if it ends now without being done; zero for a run that is not known
    double lostCoreSeconds(const TaskId &task, std::uint32_t run, Instant now);
    /// @return the number of workers examined for placement in the latest pass
    std::uint64_t examinedWorkers() const
    {
        return m_examined;
    }

private:
    struct RunLocation
    {
        Job *job{};
        Occurrence *occurrence{};
        Unit *unit{};
        Member *member{};
    };
    /// A member that is placed on a worker. Jobs, occurrences and units keep their addresses while they exist.
    struct RunRef
    {
        Job *job{};
        Occurrence *occurrence{};
        Unit *unit{};
        std::uint32_t member{};

        /// Orders by the ids, not by the addresses, so that decisions do not depend on the allocator.
        friend bool operator<(const RunRef &left, const RunRef &right)
        {
            if (left.job != right.job) {
                return left.job->spec.id < right.job->spec.id;
            }
            if (left.occurrence != right.occurrence) {
                return left.occurrence->number < right.occurrence->number;
            }
            return std::tie(left.unit, left.member) < std::tie(right.unit, right.member);
        }
    };
    /// Placement advice for a step.
    struct Advice
    {
        std::map<WorkerId, std::string> tickets;
        std::map<WorkerId, Instant> validUntil; ///< Of the tickets.
        std::set<WorkerId> refused; ///< Workers that may not run the step. They are asked about last.
        std::vector<WorkerId> askedAbout; ///< By the call in progress.
        bool asked{}; ///< A call is in progress.
        Instant askAgainAt;
    };
    enum class Lateness
    {
        OnTime, ///< Can still meet its objective.
        Late, ///< Misses its objective, but still has value.
        Expired ///< Too late to have any value for its callers.
    };
    struct ReadyStep
    {
        Job *job{};
        Occurrence *occurrence{};
        std::uint32_t step{};
        std::vector<Unit *> units; ///< Waiting units of the step.
        std::uint32_t priority{};
        Lateness lateness{Lateness::OnTime};
        Instant latestStart; ///< Wall time; a later start misses the next deadline.
    };

    /// All that decides whether a step finds a place: steps of the same shape find one or none in the same pass.
    struct RequestShape
    {
        std::string service;
        std::uint32_t priority{}; ///< Decides which runs may be evicted.
        std::int64_t cpuMillicores{};
        std::int64_t memoryMegabytes{};
        std::int64_t accelerators{};
        std::string requiredLabel;
        std::string dataRack;
        std::uint32_t gangTasks{}; ///< 0 unless the step is a gang.
        bool sameRack{};
        bool bestEffort{};
        bool latencyBound{};
        bool anyPlace{};
        bool standsStill{}; ///< Then it may use workers that are kept for urgent jobs.

        friend auto operator<=>(const RequestShape &, const RequestShape &) = default; // NOLINT(modernize-use-nullptr)
    };

    /// A unit that can be preempted.
    struct Victim
    {
        RunLocation run; ///< One of its runs.
        double lost{}; ///< Core-seconds of work.
        double cost{}; ///< Grows with each eviction of the unit, so that the same unit is not preempted every time.
    };
    struct Victims
    {
        std::map<WorkerId, ReclaimableResources> reclaimableByWorker;
        std::map<const Unit *, Victim> units;
    };

    /// @return the unit of the task, without a member; null pointers when there is none
    RunLocation findUnit(const TaskId &task);
    /// @return the run, or null pointers when it is not the latest run of the task
    RunLocation findRun(const TaskId &task, std::uint32_t run);
    static RunLocation findRun(const RunRef &ref);
    const StepSpec &stepOf(const Job &job, const Unit &unit) const;
    /// @return whether the unit can be preempted and has no checkpoints, so that preemption loses its work
    bool losesWorkWhenStopped(const Job &job, const Unit &unit) const;
    Resources allocationOf(const Job &job, const Unit &unit) const;
    static TaskId taskOf(const Job &job, const Occurrence &occurrence, const Unit &unit, std::size_t member);
    /// @return the unit's state as a record made now would hold it
    static RecordedState recordedStateOf(const Unit &unit);
    static std::uint32_t unitIndex(const Job &job, std::uint32_t step, std::uint32_t index);
    Occurrence &openOccurrence(Job &job, std::uint32_t number, Instant dueAt, Instant now);

    void openDueOccurrences(Instant now, Instant wall);
    /// @return how many occurrences of the job may be open at the same time
    std::uint32_t openOccurrencesMax(const JobSpec &job) const;
    /// Removes the first occurrences of a recurring job from memory while they have finished and are recorded.
    void removeFinishedOccurrences(Job &job);
    /// Adds a record of the schedule to the decision when it replaces enough records of occurrences.
    void collectSchedule(Job &job, Decision &decision) const;
    void releaseExpiredRuns(Instant now);
    /// Stops the unit of a run whose worker's failure domain is evacuated, unless its order is on its way or has been
    /// executed.
    void withdrawStart(const RunLocation &run);
    /// Restarts the time without progress of every run.
    void restartHangDetection(Instant now);
    /// Median pace of the tasks of a step in milliseconds per percent, for a worker of normal speed; 0 while unknown.
    /// Computed once a pass.
    using SiblingPaces = std::map<std::pair<const Occurrence *, std::uint32_t>, double>;
    double siblingPace(const RunLocation &run, SiblingPaces &known) const;
    /// @return the pace of the run or, until it is measured, the one that other tasks of its step suggest; 0 while
    /// unknown
    double paceOf(const RunLocation &run, SiblingPaces &known) const;
    bool isHung(const RunLocation &run, SiblingPaces &known) const;
    void stopHungRuns(Decision &decision, Instant now);
    /// Stops the gang if some of its members have been waiting for the others for too long.
    void stopIncompleteGang(const Job &job, Unit &unit, Instant now);
    /// Releases the units whose runs have all ended, so that they can be placed again.
    void closeRuns(Instant now);
    /// @return whether the job has ended, has no runs left and has no changes left to record
    static bool isRemovable(const Job &job);
    void closeRun(Job &job, Occurrence &occurrence, Unit &unit, Instant now);
    /// Accepts the result of a run that was given up while its worker was silent: the work is done.
    void handleLateDone(const EndReport &end);
    void finishUnit(Job &job, Occurrence &occurrence, Unit &unit);
    /// Sets a queued job to running: a worker has confirmed that a task of it has begun.
    static void noteBegun(Job &job);
    void endJob(Job &job, JobState state);
    /// Fails the job when the unit has no attempts left.
    void failIfAttemptsExhausted(Job &job, const Unit &unit);
    /// Marks the unit's present run for stopping.
    void stopUnit(Unit &unit, StopReason reason);
    /// Ends the run of a worker that has restarted, unless the new incarnation may have it.
    void handleRestart(const RunRef &ref, Incarnation incarnation);
    /// Marks the member as gone and frees its resources.
    void releaseMember(Job &job, Occurrence &occurrence, Unit &unit, std::size_t member);
    /// Gives up a run whose end no worker reports.
    void giveUpRun(const RunRef &ref, ReleaseReason reason);
    void handleRunEnd(RunLocation &run, const EndReport &end, Instant now);

    /// Starts reserved units whose victims have ended.
    void startReserved(Decision &decision);
    /// Keeps room for urgent jobs by their recent demand.
    void keepUrgentRoom(const std::vector<ReadyStep> &ready, Instant now);
    void placeReadySteps(Decision &decision, Instant now, Instant wall, std::size_t startsMax);
    RequestShape shapeOf(const ReadyStep &ready, Instant now);
    /// @return whether a task of the job runs or is about to start
    static bool hasRuns(const Job &job);
    /// Places a step that has waited too long for a preferred place on any free resources.
    /// @return whether all waiting units of the step have a place
    bool placeAnywhere(const ReadyStep &ready, Decision &decision, Instant now, std::size_t startsMax);
    /// @return whether the step has waited for preferenceWait and either lasts or is in a service with enough room
    bool takesAnyPlace(const ReadyStep &ready, Instant now);
    /// @return the share of the service's capacity that is allocated; computed once a pass
    double usedShare(const std::string &service);
    std::vector<ReadyStep> readySteps(Instant wall);
    bool dependenciesDone(const Job &job, const Occurrence &occurrence, std::uint32_t step) const;
    bool placeReadyStep(const ReadyStep &ready, Decision &decision, Instant now, Instant wall,
                        const std::set<std::string> &reservedRacks, std::size_t startsMax);
    bool placeOnFreeResources(const ReadyStep &ready, Decision &decision, Instant now, const PlacementRequest &base);
    /// Evicts less urgent units and reserves their resources for the step.
    /// @return whether all waiting units of the step have a place
    bool placeByEviction(const ReadyStep &ready, Decision &decision, Instant now, Instant wall,
                         const PlacementRequest &base);
    /// @return the most core-seconds of lost work per core-second that the step needs, outside a guarantee
    double lostWorkLimit(const ReadyStep &ready, Instant wall) const;
    /// Reserves a rack for a gang that does not fit now.
    void reserveRack(const ReadyStep &ready, Decision &decision, Instant now, std::set<std::string> &reservedRacks);
    /// Adds a new reservation to the decision, for the log.
    void noteReservation(const JobId &job, const std::string &rack, Decision &decision) const;
    /// @return core-seconds of work left on each worker
    std::map<WorkerId, double> remainingWork(Instant now);
    /// Records the reported progress of a run and updates the worker's slowness from it.
    void updateProgress(const RunLocation &run, std::uint32_t percent, Instant now);
    /// @return whether the run shows the speed of its worker
    bool showsSpeed(const RunLocation &run) const;
    /// Handles a change of the run's pace that only a change of its worker's speed explains.
    /// @param advanced percent since the latest report
    /// @return whether the worker's speed has changed
    bool detectSpeedChange(const RunLocation &run, Worker &worker, std::uint32_t advanced, Instant now);
    /// Adds a completed task, with the speed of its worker taken out, to the learned run times.
    void learnCompleted(const RunLocation &run, Instant now);
    /// Adds a run that ended before its work was done to the learned run times, as longer than it was observed.
    void learnCensored(const RunLocation &run);
    /// @return whether the job can meet its objective if its tasks are long, which makes the objective longer as well
    bool mayMeetObjective(const Job &job, std::uint32_t step, Duration age, Duration left) const;
    /// @return the whole work of the run relative to the part that its eviction puts off, at least 1
    double lossPerWorkLeft(const RunLocation &run, Instant now) const;
    /// @return the weight of the run in the learned run times; 0 if it does not show how long the whole task takes
    double learningWeight(const RunLocation &run) const;
    /// @return how slow the slowest worker of the unit is
    double slownessOf(const Unit &unit) const;
    /// Compares the average pace of a run with that of its step, or of its queue, and updates its worker's speed.
    /// @param percent progress of the run
    void updateSpeed(const RunLocation &run, Worker &worker, std::uint32_t percent, Instant now);
    bool withinGuarantee(const Job &job, const StepSpec &step, std::size_t tasks) const;
    /// @return what work of this priority may evict; computed once a pass
    const Victims &victimsFor(std::uint32_t priority, Instant now);
    /// Moves an evicted unit from the runs that may be evicted to the resources that become free.
    void noteEvicted(const Unit &unit);
    Victim victimOf(const RunLocation &run, Instant now) const;
    /// @return the core-seconds that are lost if the run ends now; zero if it does not run, or its unit is done
    double memberLostWork(const RunLocation &run, Instant now) const;
    /// @return the time from acceptance to completion that the job should not exceed, by the present estimates
    Duration objectiveOf(const Job &job) const;
    /// @return core-seconds of work that stopping the unit loses
    double lostWorkOf(const Job &job, const Unit &unit, Instant now) const;
    std::string ticketFor(const Job &job, const Occurrence &occurrence, const Unit &unit, const Member &member) const;
    const Advice *adviceFor(const ReadyStep &ready, Decision &decision, Instant now);
    std::vector<WorkerId> workersToAskAbout(const ReadyStep &ready, const Advice &advice) const;
    /// Adds @p change to the worker's run counts.
    void countRun(Worker &worker, const Job &job, const Unit &unit, int change) const;
    /// Allocates resources on the chosen workers to the unit.
    void assign(Job &job, Occurrence &occurrence, Unit &unit, const std::vector<WorkerId> &chosen, RunPhase phase,
                Instant now);
    /// Begins a new run of a placed unit and adds its start orders to the decision.
    void planStart(Job &job, Occurrence &occurrence, Unit &unit, Decision &decision);
    StartOrder startOrderOf(const RunLocation &run, std::size_t member) const;
    /// Charges the teams for what they hold. Among the steps of a priority and lateness, puts those of teams below
    /// their share first; these steps keep their places among the others as a group. A step counts as if the earlier
    /// ones of its team had found their places, which may become free together.
    void orderByTeamShares(std::vector<ReadyStep> &ready, Instant wall);
    /// @return what the runs of each team hold beyond its guarantee
    std::map<TeamId, Resources> heldBeyondGuarantees() const;
    PlacementRequest requestFor(const Job &job, const Occurrence &occurrence, const StepSpec &step) const;
    void emitOrders(Decision &decision, Instant now);
    /// Adapts the pace of best-effort runs on the worker to the response times that its answer has reported.
    void adaptSharingPace(Worker &worker, Instant now);
    /// Adds the orders for best-effort runs on the worker that do not work at the pace meant for them.
    void emitPaces(const Worker &worker, const std::set<RunRef> &runs, Decision &decision, Instant now) const;
    void collectRecords(Decision &decision, Instant wall);
    /// Adds a record for each block of the occurrence that differs from its latest record.
    static void collectChangedBlocks(const Job &job, Occurrence &occurrence, Decision &decision);

    SchedulerSettings m_settings;
    std::map<std::string, QueuePolicy> m_queues;
    std::map<TeamId, std::int64_t> m_guarantees;
    std::map<TeamId, std::int64_t> m_urgentAccelerators; ///< Accelerators allocated to priority-0 jobs, by team.
    WorkerPool m_pool;
    RunEstimates m_estimates;
    UrgentReserve m_urgentReserve;
    TeamShares m_teamShares;
    std::map<JobId, Job> m_jobs;
    std::map<StepId, Advice> m_advice;
    std::map<WorkerId, std::set<RunRef>> m_runsOn;
    /// Reported runs that the scheduler does not know, with the worker and the time of the latest stop.
    std::map<std::pair<TaskId, std::uint32_t>, std::pair<WorkerId, Instant>> m_orphans;
    std::vector<StopOrder> m_orphanStops;
    std::vector<Release> m_releases; ///< Since the latest pass.
    Instant m_decidedAt; ///< Time of the latest pass.
    Instant m_decidedAtWall; ///< Wall time of the latest pass.
    Instant m_firstDecidedAt; ///< Time of the first pass; zero before.
    bool m_answersMissing{}; ///< Many workers have not answered since the start, which was a short time ago.
    std::map<std::uint32_t, Victims> m_victims; ///< By priority; valid for one pass.
    std::map<std::string, double> m_usedShares; ///< By service; valid for one pass.
    std::uint64_t m_examined{}; ///< Workers examined for placement in this pass.
};

} // namespace heatherquay::state::batch
