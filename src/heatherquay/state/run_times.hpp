#pragma once

#include "heatherquay/state/events.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heatherquay::state::detail
{

/// Run time statistics of the jobs of one team and class on one accelerator kind.
struct RunTimeRecord
{
    std::uint32_t runs{};
    double meanMilliseconds{};
};

/// Estimates run times by team, job class and accelerator kind. Uses only basic arithmetic, so that the results are the
/// same on every processor.
class RunTimes
{
public:
    struct ClassRecord
    {
        std::map<std::string, RunTimeRecord> byKind;
        std::uint32_t checkpointsKept{};
        std::uint32_t checkpointsLost{};
    };

    /// Updates the estimates with a finished run.
    /// @param kind the accelerators' kind, empty for a gang of several kinds
    /// @param ran total run time, without work that was lost
    void learn(const JobSpec &spec, const std::string &kind, Duration ran);
    /// Records whether a checkpoint preserved the work of a stopped gang.
    void learnCheckpoint(const JobSpec &spec, bool kept);

    /// @return the expected total run time, at least 1 ms
    Duration expected(const JobSpec &spec) const;
    /// @return run time on each of @p kinds relative to the fastest known one; 1 for kinds without data
    std::vector<double> slowness(const JobSpec &spec, const std::vector<std::string> &kinds) const;
    /// @return the estimated probability that a checkpoint preserves the work, 0.5 without data
    double checkpointSuccessProbability(const JobSpec &spec) const;

    std::map<std::string, std::map<std::string, ClassRecord>> &classes()
    {
        return m_classes;
    }
    const std::map<std::string, std::map<std::string, ClassRecord>> &classes() const
    {
        return m_classes;
    }
    std::map<std::string, double> &declarationFactors()
    {
        return m_declarationFactors;
    }
    const std::map<std::string, double> &declarationFactors() const
    {
        return m_declarationFactors;
    }

private:
    const ClassRecord *find(const JobSpec &spec) const;
    double priorRunTime(const JobSpec &spec) const;

    std::map<std::string, std::map<std::string, ClassRecord>> m_classes; ///< By team, then by class.
    std::map<std::string, double> m_declarationFactors; ///< Average ratio of actual to declared run time, by team.
};

} // namespace heatherquay::state::detail
