#include "heatherquay/state/batch/run_time_sample.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heatherquay::state::batch
{

namespace detail
{

constexpr double regressionDeviationMax = 1.0; // From the median; a few runs of many times the length count no further.
constexpr double slopeMax = 1.2;

} // namespace detail

RunTimeCurve::RunTimeCurve(std::vector<Point> points, double spread)
    : m_points(std::move(points))
{
    double total = 0;
    for (const Point &point : m_points) {
        total += point.mass;
    }
    if (m_points.empty() || total <= 0) {
        m_points = {{0, 1}};
        total = 1;
    }
    m_knots.push_back({m_points.front().value - spread, 0});
    double cumulative = 0;
    for (Point &point : m_points) {
        point.mass /= total;
        m_knots.push_back({point.value, cumulative + point.mass / 2});
        cumulative += point.mass;
    }
    m_knots.push_back({m_points.back().value + spread, 1});
}

double RunTimeCurve::cdf(double value) const
{
    const auto after = std::upper_bound(m_knots.begin(), m_knots.end(), value, [](double left, const Point &right) {
        return left < right.value;
    });
    if (after == m_knots.begin()) {
        return 0;
    }
    if (after == m_knots.end()) {
        return 1;
    }
    const Point &before = *std::prev(after);
    return before.mass + (after->mass - before.mass) * (value - before.value) / (after->value - before.value);
}

void RunTimeSample::add(const RunObservation &observation, const RunTimeSettings &settings)
{
    m_added += observation.weight;
    const Entry entry{observation, m_added};
    if (m_entries.size() < settings.observationsMax) {
        m_entries.push_back(entry);
    } else {
        m_entries[m_next] = entry;
        m_next = (m_next + 1) % m_entries.size();
    }
    m_fit.reset();
}

void RunTimeSample::restore(const RunTimeFit &fit, const RunTimeSettings &settings)
{
    *this = {};
    for (const RunTimeCurve::Point &point : fit.curve.points()) {
        m_entries.push_back({{point.value, fit.center, point.mass * fit.weight, false}, 0});
    }
    m_restoredSlope = fit.slope;
    m_restoredSlopeWeight = std::max(fit.slopeWeight, settings.slopePriorWeight);
}

const RunTimeFit &RunTimeSample::fit(const RunTimeSettings &settings) const
{
    if (!m_fit) {
        m_fit = computeFit(settings);
    }
    return *m_fit;
}

RunTimeFit RunTimeSample::computeFit(const RunTimeSettings &settings) const
{
    RunTimeFit fit;
    std::vector<double> weights;
    for (const Entry &entry : m_entries) {
        weights.push_back(entry.observation.weight * std::exp2((entry.addedAt - m_added) / settings.halfLife));
        fit.weight += weights.back();
    }
    regress(fit, weights, settings);
    std::vector<Residual> residuals;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const RunObservation &observation = m_entries[i].observation;
        const double declared = observation.logDeclared.value_or(fit.center);
        residuals.push_back(
            {observation.logTime - fit.slope * (declared - fit.center), weights[i], observation.censored});
    }
    fit.curve = survivalCurve(std::move(residuals), settings);
    return fit;
}

void RunTimeSample::regress(RunTimeFit &fit, const std::vector<double> &weights, const RunTimeSettings &settings) const
{
    std::vector<double> times;
    double declaredWeight = 0;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const RunObservation &observation = m_entries[i].observation;
        if (observation.logDeclared) {
            fit.center += weights[i] * *observation.logDeclared;
            declaredWeight += weights[i];
        }
        if (!observation.censored) {
            times.push_back(observation.logTime);
        }
    }
    fit.center = declaredWeight > 0 ? fit.center / declaredWeight : 0;
    const bool restored = m_restoredSlopeWeight > 0;
    fit.slope = restored ? m_restoredSlope : 1;
    fit.slopeWeight = restored ? m_restoredSlopeWeight : settings.slopePriorWeight;
    if (times.empty()) {
        return;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    double square = 0;
    double product = 0;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const RunObservation &observation = m_entries[i].observation;
        if (observation.logDeclared && !observation.censored) {
            const double declared = *observation.logDeclared - fit.center;
            const double time = std::clamp(observation.logTime - *middle, -detail::regressionDeviationMax,
                                           detail::regressionDeviationMax);
            square += weights[i] * declared * declared;
            product += weights[i] * declared * time;
        }
    }
    const double slope = (fit.slope * fit.slopeWeight + product) / (fit.slopeWeight + square);
    fit.slope = std::clamp(slope, 0.0, detail::slopeMax);
    fit.slopeWeight += square;
}

RunTimeCurve RunTimeSample::survivalCurve(std::vector<Residual> residuals, const RunTimeSettings &settings)
{
    // Of runs with the same time, the censored ones were still running when the others ended.
    std::sort(residuals.begin(), residuals.end(), [](const Residual &left, const Residual &right) {
        return std::pair(left.value, left.censored) < std::pair(right.value, right.censored);
    });
    double atRisk = 0;
    for (const Residual &residual : residuals) {
        atRisk += residual.weight;
    }
    double survival = 1;
    std::vector<RunTimeCurve::Point> points;
    for (const Residual &residual : residuals) {
        if (!residual.censored) {
            const double ended = survival * std::min(1.0, residual.weight / std::max(atRisk, residual.weight));
            points.push_back({residual.value, ended});
            survival -= ended;
        }
        atRisk -= residual.weight;
    }
    // The last of the runs was censored, so the Kaplan-Meier estimator leaves the rest of the distribution open.
    constexpr double survivalMin = 1e-6;
    if (!residuals.empty() && residuals.back().censored && survival > survivalMin) {
        points.push_back({residuals.back().value + settings.censoredTail, survival});
    }
    const double spread
        = settings.pointSpread / std::sqrt(static_cast<double>(std::max<std::size_t>(points.size(), 1)));
    return {std::move(points), spread};
}

} // namespace heatherquay::state::batch
