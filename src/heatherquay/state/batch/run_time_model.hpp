#pragma once

#include "heatherquay/state/batch/progress.hpp"
#include "heatherquay/state/batch/run_time_sample.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heatherquay::state::batch
{

/// What is known of the run times of one kind, for operators.
struct RunKindView
{
    std::string queue;
    std::string image; ///< Empty for all runs of the queue.
    std::string shape; ///< Width and resources of the step; empty for all of them.
    std::uint64_t runs{}; ///< Completed and censored ones.
    std::uint64_t censored{};
    Duration median{};
    Duration bound{}; ///< Quantile 0.9.
    double medianToDeclared{}; ///< Median relative to the mean declared time; 0 when none was declared.
    double declaredSlope{}; ///< How far run times follow declared times: 0 not at all, 1 proportionally.
    double coverage{}; ///< Share of the completed runs that stayed within the bound; 0 before the first.
};

/// Learns distributions of run times at normal worker speed by kind: the queue, the image within it, and the width and
/// resources of the step within that. A kind with few runs borrows from the coarser level, and the queue from the
/// declared time.
class RunTimeModel
{
public:
    explicit RunTimeModel(RunTimeSettings settings = {});

    /// Adds a completed run.
    /// @param runTime on a worker of normal speed
    /// @param weight 1 for an independent run; less for each of several tasks of one step, which have similar times
    void addCompleted(const std::string &queue, const StepSpec &step, Duration runTime, double weight = 1);
    /// Adds a run that was stopped, has failed or was given up.
    /// @param elapsed how long it has worked at least, on a worker of normal speed
    void addCensored(const std::string &queue, const StepSpec &step, Duration elapsed, double weight = 1);

    /// @return whether a run of the queue was observed
    bool knows(const std::string &queue) const
    {
        return m_kinds.contains({queue, {}, {}});
    }
    /// @return the run time that a task stays within with probability @p probability; at least 1 ms
    Duration quantile(const std::string &queue, const StepSpec &step, double probability) const;
    /// @return the probability that a task takes at most @p limit
    double probabilityWithin(const std::string &queue, const StepSpec &step, Duration limit) const;
    /// @return the mean time that a task still needs after @p elapsed; at least 1 ms
    Duration expectedLeft(const std::string &queue, const StepSpec &step, Duration elapsed) const;

    std::vector<RunKindView> view() const;
    /// @param bytesMax approximate size of the encoded records; queues come first, then the kinds with most runs
    std::vector<RunKindRecord> records(std::size_t bytesMax) const;
    /// Restores a stored kind. Ignores a damaged record.
    /// @return whether the record was usable
    bool restore(const RunKindRecord &record);

private:
    struct KindId
    {
        std::string queue;
        std::string image;
        std::string shape;

        friend auto operator<=>(const KindId &, const KindId &) = default; // NOLINT(modernize-use-nullptr)
    };
    struct Kind
    {
        RunTimeSample sample;
        std::uint64_t runs{};
        std::uint64_t censored{};
        double checked{}; ///< Completed runs that the bound was compared with.
        double covered{};
        std::uint64_t usedAt{}; ///< Number of runs of all kinds at its latest one.
    };
    /// A component of the distribution of a task's run time.
    struct Component
    {
        const RunTimeCurve *curve{};
        double shift{}; ///< Added to the logarithms of the curve.
        double share{};
    };
    /// @return the kinds of the step's tasks, from the coarsest to the finest
    static std::vector<KindId> kindsOf(const std::string &queue, const StepSpec &step);
    /// @return the components; their shares add up to 1
    std::vector<Component> mixtureFor(const std::string &queue, const StepSpec &step) const;
    /// @return the share that a level takes from the coarser ones
    double shareOf(const RunTimeFit &fit, const Component &component, const std::vector<Component> &coarser) const;
    static double cdf(const std::vector<Component> &mixture, double value);
    static double logQuantile(const std::vector<Component> &mixture, double probability);
    void add(const std::string &queue, const StepSpec &step, const RunObservation &observation);
    void removeOldest();

    RunTimeSettings m_settings;
    RunTimeCurve m_declared; ///< Run time relative to the declared time, before any run was observed.
    std::map<KindId, Kind> m_kinds;
    std::uint64_t m_runs{};
};

} // namespace heatherquay::state::batch
