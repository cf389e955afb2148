#include "heatherquay/state/run_times.hpp"

#include <algorithm>

namespace heatherquay::state::detail
{

namespace
{

constexpr double defaultRunTimeMilliseconds = 3'600'000.0; // 1 h, because most jobs run for hours
constexpr double newestRunWeight = 0.2; // lets changed behaviour show after a few runs
constexpr double minDeclarationFactor = 0.05;
constexpr double maxDeclarationFactor = 20.0;

} // namespace

void RunTimes::learn(const JobSpec &spec, const std::string &kind, Duration ran)
{
    const double milliseconds = std::max(1.0, static_cast<double>(ran.count()));
    RunTimeRecord &record = m_classes[spec.team.value][spec.jobClass].byKind[kind];
    ++record.runs;
    const double weight = std::max(newestRunWeight, 1.0 / record.runs);
    record.meanMilliseconds += weight * (milliseconds - record.meanMilliseconds);
    if (spec.declaredRunTime.count() > 0) {
        const double observed = milliseconds / static_cast<double>(spec.declaredRunTime.count());
        double &factor = m_declarationFactors.emplace(spec.team.value, 1.0).first->second;
        factor += newestRunWeight * (std::clamp(observed, minDeclarationFactor, maxDeclarationFactor) - factor);
    }
}

void RunTimes::learnCheckpoint(const JobSpec &spec, bool kept)
{
    ClassRecord &record = m_classes[spec.team.value][spec.jobClass];
    ++(kept ? record.checkpointsKept : record.checkpointsLost);
}

const RunTimes::ClassRecord *RunTimes::find(const JobSpec &spec) const
{
    const auto team = m_classes.find(spec.team.value);
    if (team == m_classes.end()) {
        return nullptr;
    }
    const auto known = team->second.find(spec.jobClass);
    return known == team->second.end() ? nullptr : &known->second;
}

double RunTimes::priorRunTime(const JobSpec &spec) const
{
    if (spec.declaredRunTime.count() <= 0) {
        return defaultRunTimeMilliseconds;
    }
    const auto factor = m_declarationFactors.find(spec.team.value);
    const double declared = static_cast<double>(spec.declaredRunTime.count());
    return factor == m_declarationFactors.end() ? declared : declared * factor->second;
}

Duration RunTimes::expected(const JobSpec &spec) const
{
    // The prior is weighted as one run.
    double sum = priorRunTime(spec);
    double runs = 1.0;
    if (const ClassRecord *record = find(spec); record != nullptr && !spec.jobClass.empty()) {
        for (const auto &[kind, known] : record->byKind) {
            sum += known.meanMilliseconds * known.runs;
            runs += known.runs;
        }
    }
    return Duration(std::max<std::int64_t>(1, static_cast<std::int64_t>(sum / runs)));
}

std::vector<double> RunTimes::slowness(const JobSpec &spec, const std::vector<std::string> &kinds) const
{
    std::vector<double> result(kinds.size(), 1.0);
    const ClassRecord *record = find(spec);
    if (record == nullptr || record->byKind.empty()) {
        return result;
    }
    double fastest = 0;
    for (const std::string &kind : kinds) {
        const auto known = record->byKind.find(kind);
        if (known != record->byKind.end() && (fastest == 0 || known->second.meanMilliseconds < fastest)) {
            fastest = known->second.meanMilliseconds;
        }
    }
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        const auto known = record->byKind.find(kinds[kind]);
        if (known != record->byKind.end() && fastest > 0) {
            result[kind] = known->second.meanMilliseconds / fastest;
        }
    }
    return result;
}

double RunTimes::checkpointSuccessProbability(const JobSpec &spec) const
{
    const ClassRecord *record = find(spec);
    const double kept = record == nullptr ? 0 : record->checkpointsKept;
    const double lost = record == nullptr ? 0 : record->checkpointsLost;
    return (kept + 1.0) / (kept + lost + 2.0);
}

} // namespace heatherquay::state::detail
