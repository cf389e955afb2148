#include "heatherquay/state/batch/worker_speed.hpp"

#include <algorithm>
#include <cmath>

namespace heatherquay::state::batch
{

double SpeedEstimate::priorWeight(const SpeedSettings &settings)
{
    const double ratio = settings.runDeviation / settings.priorDeviation;
    return ratio * ratio;
}

void SpeedEstimate::observe(SpeedObservation &observation, double ratio, double weight, const SpeedSettings &settings)
{
    const bool first = observation.weight == 0;
    if (first && m_weight + weight > settings.observationsMax) {
        const double fade = std::max(0.0, settings.observationsMax - weight) / m_weight;
        m_weight *= fade;
        m_sum *= fade;
    }
    // An earlier contribution may have faded meanwhile, which leaves a small remainder of it in the sums.
    const double current = std::log(slowness(settings));
    const double logRatio = std::clamp(std::log(std::max(ratio, settings.slownessMin)), current - settings.deviationMax,
                                       current + settings.deviationMax);
    m_weight = std::max(m_weight - observation.weight, 0.0) + weight;
    m_sum += weight * logRatio - observation.weight * observation.logRatio;
    observation = {logRatio, weight};
}

void SpeedEstimate::reset(double slowness, const SpeedSettings &settings)
{
    // Rests on few runs, so that the next ones correct it soon.
    restore(slowness, std::min(m_weight, settings.observationsMax / 4), settings);
}

void SpeedEstimate::restore(double slowness, double observations, const SpeedSettings &settings)
{
    const double limited = std::clamp(slowness, settings.slownessMin, settings.slownessMax);
    m_weight = std::clamp(observations, 1.0, settings.observationsMax);
    m_sum = std::log(limited) * (m_weight + priorWeight(settings));
}

double SpeedEstimate::slowness(const SpeedSettings &settings) const
{
    const double mean = m_sum / (m_weight + priorWeight(settings));
    return std::clamp(std::exp(mean), settings.slownessMin, settings.slownessMax);
}

} // namespace heatherquay::state::batch
