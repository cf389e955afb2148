#pragma once

#include "heatherquay/app/log_reader.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace heatherquay::app
{

/// How a job ended, as far as the logs show.
enum class JobResult
{
    Met, ///< Completed within its objective.
    Late, ///< Completed after its objective.
    Failed,
    Cancelled,
    Unserved ///< Submitted, and neither completed, failed nor cancelled at the end of the logs.
};

/// Parts of the time from acceptance to completion. Those of the task that ended last are accounted.
enum class JobSpan
{
    Acceptance, ///< Until the caller was answered.
    Store, ///< Waiting while the decider's records could not be stored.
    HandOver, ///< Waiting while there was no recovered decider.
    Room, ///< Waiting for a place.
    Victims, ///< Waiting for evicted runs to stop.
    Start, ///< From the planned start to the answered start order.
    Gang, ///< From a member's start to that of the gang's last member.
    Evicted, ///< Runs that were evicted.
    GangBroken, ///< Runs of gangs that ended because of another member, or of which a member did not start.
    WorkerLost, ///< Runs whose worker was given up.
    Failed, ///< Runs that failed or hung.
    Run, ///< The last run, up to the expected time.
    SlowWorker, ///< The part of the last run that a worker of usual speed would have saved, as learned by the end.
    LongRun ///< The rest of the last run beyond the expected time.
};
constexpr std::size_t jobSpanCount = 14;
using JobSpans = std::array<std::chrono::milliseconds, jobSpanCount>;

/// @return the name of the span in tables and JSON, such as "hand-over"
std::string toString(JobSpan span);

/// One job in the logs.
struct JobAccount
{
    std::string job;
    std::string queue;
    std::string team;
    JobResult result{JobResult::Unserved};
    bool accepted{};
    JobSpans spans{};
    JobSpan cause{JobSpan::Room}; ///< The longest span other than Run.
};

/// Work of runs that ended without being done, by why and for whom.
struct LostWork
{
    std::string cause;
    std::string queue;
    std::string team;
    std::string forQueue; ///< Queue of the job that the runs were evicted for; empty for other causes.
    std::string forTeam;
    std::uint64_t runs{};
    double coreSeconds{};
    double coreSecondsMet{}; ///< Part lost to jobs that met their objective.
};

/// Evaluation of the logs of all processes.
struct Account
{
    std::vector<JobAccount> jobs;
    std::vector<LostWork> lost; ///< Largest first.
    std::uint64_t linesLeftOut{}; ///< Lines that the processes suppressed; the account lacks what they said.
};

/// Evaluates the logs of all processes. Decisions of the scheduler are taken from the decider's lines, the objective
/// is the one that the scheduler aimed at when the job ended.
Account accountJobs(std::vector<LogLine> lines);

void printAccount(const Account &account, std::ostream &out);
std::string toJson(const Account &account);

} // namespace heatherquay::app
