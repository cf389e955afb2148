#pragma once

#include "heatherquay/state/cluster.hpp"

#include <string>
#include <vector>

namespace heatherquay::state
{

/// A cluster with helpers to add workers, teams and jobs. By default, a worker has eight accelerators, a rack two
/// workers and a failure domain two racks.
struct ClusterFixture
{
    Cluster cluster;
    Instant now{std::chrono::hours(1)};

    static WorkerSpec workerSpec(int number, const std::string &kind = "a100", int accelerators = 8)
    {
        WorkerSpec spec;
        spec.id.value = "w" + std::to_string(number);
        spec.address = "127.0.0.1:" + std::to_string(9'000 + number);
        spec.region.value = "r";
        spec.failureDomain.value = "d" + std::to_string(number / 4);
        spec.rack.value = "k" + std::to_string(number / 2);
        spec.accelerators.assign(static_cast<std::size_t>(accelerators), AcceleratorSpec{kind});
        return spec;
    }
    void addWorkers(int count, const std::string &kind = "a100", int accelerators = 8)
    {
        const int first = static_cast<int>(cluster.workers().size());
        for (int number = first; number < first + count; ++number) {
            cluster.apply(WorkerAdded{workerSpec(number, kind, accelerators)}, now);
        }
    }
    void addTeam(const std::string &id, std::uint32_t share = 1, std::uint32_t quota = 0)
    {
        cluster.apply(TeamDeclared{{TeamId{id}, share, quota}}, now);
    }
    static Shape shape(std::uint32_t count, Adjacency adjacency = Adjacency::None, std::vector<std::string> kinds = {})
    {
        return Shape{{ShapePart{count, std::move(kinds), adjacency}}};
    }
    static JobSpec jobSpec(const std::string &id, const std::string &team, const Shape &shape)
    {
        JobSpec spec;
        spec.id.value = id;
        spec.team.value = team;
        spec.shape = shape;
        return spec;
    }
    std::vector<Command> grant(const std::string &id, const std::string &team, const Shape &shape)
    {
        return cluster.apply(GuaranteeGranted{{GuaranteeId{id}, TeamId{team}, shape}}, now);
    }
    std::vector<Command> submit(const std::string &id, const std::string &team, const Shape &shape)
    {
        return cluster.apply(JobSubmitted{jobSpec(id, team, shape)}, now);
    }
    JobView job(const std::string &id) const
    {
        return cluster.job(JobId{id}).value();
    }
    /// Reports that all members of the job's gang started.
    std::vector<Command> started(const std::string &id)
    {
        return cluster.apply(GangStarted{JobId{id}, job(id).fence}, now);
    }
    /// Submits a job and reports its start.
    void run(const std::string &id, const std::string &team, const Shape &shape)
    {
        submit(id, team, shape);
        started(id);
    }
    /// Reports that the job finished.
    std::vector<Command> finished(const std::string &id)
    {
        return cluster.apply(JobFinished{JobId{id}, job(id).fence}, now);
    }
    /// Reports that all tasks of the job's gang stopped.
    std::vector<Command> stopped(const std::string &id, bool checkpointed = true)
    {
        return cluster.apply(TasksStopped{JobId{id}, job(id).fence, checkpointed}, now);
    }
    /// Advances the time and applies a Tick.
    std::vector<Command> tickAfter(Duration time)
    {
        now += time;
        return cluster.apply(Tick{}, now);
    }
    /// @return the number of accelerators that the job holds
    static std::uint32_t held(const JobView &job)
    {
        std::uint32_t total = 0;
        for (const Placement &placement : job.placements) {
            total += static_cast<std::uint32_t>(placement.accelerators.size());
        }
        return total;
    }
    /// @return the commands of type @p Wanted
    template<typename Wanted>
    static std::vector<Wanted> all(const std::vector<Command> &commands)
    {
        std::vector<Wanted> found;
        for (const Command &command : commands) {
            if (const auto *wanted = std::get_if<Wanted>(&command)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }
};

} // namespace heatherquay::state
