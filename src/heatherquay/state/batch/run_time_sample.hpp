#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace heatherquay::state::batch
{

/// How run times are learned. Times are handled as natural logarithms of milliseconds.
struct RunTimeSettings
{
    /// Runs after which an observation counts half. A shift of a kind's times moves the median after about as many.
    double halfLife{20};
    std::size_t observationsMax{96}; ///< Kept of each kind; at halfLife, older ones carry less than 4 % of the weight.
    /// Runs that the coarser level counts as in a finer level's distribution. Declared times count the same.
    double coarserWeight{4};
    double coarserWeightShareMin{0.05}; ///< Left of it when a kind's median contradicts the coarser level.
    double contradictionRuns{5}; ///< Runs from which such a contradiction is taken into account.
    double declaredDeviation{0.5}; ///< Assumed standard deviation of the logarithm of run time by declared time.
    double slopePriorWeight{1}; ///< Weight of the assumption that run times are proportional to declared times.
    /// Logarithm of the factor from the longest censored run to the assumed length of runs of which no end was seen.
    double censoredTail{0.7};
    double pointSpread{0.6}; ///< Half-width of a distribution that rests on a single run; it falls with their root.
    std::size_t kindsMax{2'000};
};

/// One run. Censored when it was stopped or failed: it would have taken longer than the observed time.
struct RunObservation
{
    double logTime{};
    std::optional<double> logDeclared;
    double weight{1};
    bool censored{};
};

/// A distribution function that rises linearly between weighted points.
class RunTimeCurve
{
public:
    struct Point
    {
        double value{};
        double mass{};
    };

    RunTimeCurve() = default;
    /// @param points sorted by value; their masses need not add up to 1
    /// @param spread how far the curve extends beyond the first and the last point
    RunTimeCurve(std::vector<Point> points, double spread);

    double cdf(double value) const;
    const std::vector<Point> &points() const
    {
        return m_points;
    }
    double lowest() const
    {
        return m_knots.front().value;
    }
    double highest() const
    {
        return m_knots.back().value;
    }

private:
    std::vector<Point> m_points; ///< Masses add up to 1.
    std::vector<Point> m_knots; ///< The masses are cumulative.
};

/// The distribution of a kind's run times at the declared time @c center.
struct RunTimeFit
{
    RunTimeCurve curve;
    double center{}; ///< Mean logarithm of the declared times.
    double slope{1}; ///< Change of the logarithm of the run time with that of the declared time.
    double slopeWeight{};
    double weight{}; ///< Number of runs that the fit rests on, older ones discounted.
};

/// The latest runs of one kind. Estimates their distribution with the Kaplan-Meier estimator, because the runs that are
/// stopped before their end are mostly long ones, and regresses run times on declared times.
class RunTimeSample
{
public:
    void add(const RunObservation &observation, const RunTimeSettings &settings);
    /// Replaces the sample by a stored fit.
    void restore(const RunTimeFit &fit, const RunTimeSettings &settings);
    /// @return the distribution; valid until the next change
    const RunTimeFit &fit(const RunTimeSettings &settings) const;

private:
    struct Entry
    {
        RunObservation observation;
        double addedAt{}; ///< Total weight that was added before.
    };
    struct Residual
    {
        double value{};
        double weight{};
        bool censored{};
    };
    RunTimeFit computeFit(const RunTimeSettings &settings) const;
    /// Computes center and slope.
    void regress(RunTimeFit &fit, const std::vector<double> &weights, const RunTimeSettings &settings) const;
    static RunTimeCurve survivalCurve(std::vector<Residual> residuals, const RunTimeSettings &settings);

    std::vector<Entry> m_entries; ///< A ring once it is full.
    std::size_t m_next{};
    double m_added{};
    double m_restoredSlope{1};
    double m_restoredSlopeWeight{}; ///< 0 unless the sample was restored.
    mutable std::optional<RunTimeFit> m_fit;
};

} // namespace heatherquay::state::batch
