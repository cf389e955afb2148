#pragma once

#include <cstdint>

namespace heatherquay::state::batch
{

/// Weights of the observations of run times.
struct SpeedSettings
{
    /// Standard deviation of the logarithm of a worker's slowness, before any run there was observed.
    double priorDeviation{0.25};
    /// Standard deviation of the logarithm of run times among identical tasks on identical workers.
    double runDeviation{0.3};
    /// Observations after which older ones fade, so that a worker whose speed changes is followed within about as many
    /// runs.
    double observationsMax{24};
    /// A run whose pace has changed by this factor since it began shows that the speed of its worker has changed.
    double changeFactor{1.8};
    /// Largest deviation of one run that counts, as a logarithm: a task may be many times as long as its siblings.
    double deviationMax{0.6};
    double slownessMin{0.3};
    double slownessMax{8}; ///< Slower than any working worker.
};

/// One run's contribution to the estimate of its worker's speed. Each run counts once, however often it reports.
struct SpeedObservation
{
    double logRatio{}; ///< Logarithm of its pace relative to that of its step.
    double weight{}; ///< 0 before the first report, 1 for a comparison with many tasks of the same step.
};

/// Estimates how long tasks take on a worker relative to a worker of normal speed. Combines the runs there by their
/// precision and shrinks the result towards normal speed, because identical tasks differ by more than most workers do.
class SpeedEstimate
{
public:
    /// Replaces an earlier contribution of a run.
    /// @param observation the run's latest contribution; set to the new one
    /// @param ratio pace of the run relative to that of its step on a worker of normal speed
    /// @param weight from 0 to 1: how reliable the comparison is
    void observe(SpeedObservation &observation, double ratio, double weight, const SpeedSettings &settings);
    /// Replaces all that is known after a change of the worker's speed.
    /// @param slowness the new run time relative to normal
    void reset(double slowness, const SpeedSettings &settings);
    /// Restores a stored estimate.
    /// @param observations number of runs that it rests on
    void restore(double slowness, double observations, const SpeedSettings &settings);

    /// @return run time relative to that on a worker of normal speed
    double slowness(const SpeedSettings &settings) const;
    /// @return number of comparable runs that the estimate rests on
    double observations() const
    {
        return m_weight;
    }

private:
    /// @return precision of the prior in units of one observation
    static double priorWeight(const SpeedSettings &settings);

    double m_weight{};
    double m_sum{}; ///< Of logarithms, each times its weight.
};

} // namespace heatherquay::state::batch
