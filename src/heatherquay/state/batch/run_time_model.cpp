#include "heatherquay/state/batch/run_time_model.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <tuple>

namespace heatherquay::state::batch
{

namespace detail
{

constexpr double boundProbability = 0.9;
constexpr int declaredPoints = 19;
constexpr int bisections = 40; // Resolves the logarithm to less than a millionth of the curve's range.
constexpr double undeclaredLength = 72.0 * 60 * 1'000; // In milliseconds; as in RunEstimates.
constexpr std::array<double, 7> storedProbabilities{0.1, 0.3, 0.5, 0.7, 0.85, 0.925, 0.975};
constexpr std::array<double, 7> storedMasses{0.2, 0.2, 0.2, 0.2, 0.1, 0.05, 0.05}; // Of the ranges around them.
constexpr double storedUnit = 100; ///< Stored numbers are in hundredths.
constexpr std::size_t storedRecordBytes = 110; ///< Without the names.
constexpr double storedLogMax = 30; ///< Far longer than any run, in case of a damaged record.

double logOf(Duration time)
{
    return std::log(static_cast<double>(std::max(time, Duration(1)).count()));
}

Duration durationOf(double logTime)
{
    return std::max(Duration(1), Duration(static_cast<Duration::rep>(std::exp(std::min(logTime, storedLogMax)))));
}

std::optional<double> logDeclaredOf(const StepSpec &step)
{
    return step.estimate.count() > 0 ? std::optional(logOf(step.estimate)) : std::nullopt;
}

/// Widths between two powers of two are one shape.
std::string shapeOf(const StepSpec &step)
{
    return "x" + std::to_string(std::bit_ceil(std::min(step.taskCount, 1U << 30U))) + (step.gang ? " gang" : "") + " a"
        + std::to_string(step.need.accelerators);
}

RunTimeCurve declaredCurve(const RunTimeSettings &settings)
{
    const boost::math::normal deviation(0, settings.declaredDeviation);
    std::vector<RunTimeCurve::Point> points;
    points.reserve(declaredPoints);
    for (int i = 0; i < declaredPoints; ++i) {
        points.push_back({boost::math::quantile(deviation, (i + 0.5) / declaredPoints), 1});
    }
    return {std::move(points), settings.declaredDeviation};
}

} // namespace detail

RunTimeModel::RunTimeModel(RunTimeSettings settings)
    : m_settings(settings)
    , m_declared(detail::declaredCurve(settings))
{
}

std::vector<RunTimeModel::KindId> RunTimeModel::kindsOf(const std::string &queue, const StepSpec &step)
{
    std::vector<KindId> kinds{{queue, {}, {}}};
    if (!step.image.empty()) {
        kinds.push_back({queue, step.image, {}});
    }
    kinds.push_back({queue, step.image, detail::shapeOf(step)});
    return kinds;
}

void RunTimeModel::addCompleted(const std::string &queue, const StepSpec &step, Duration runTime, double weight)
{
    const bool withinBound = runTime <= quantile(queue, step, detail::boundProbability);
    for (const KindId &id : kindsOf(queue, step)) {
        if (const auto found = m_kinds.find(id); found != m_kinds.end()) {
            found->second.checked += weight;
            found->second.covered += withinBound ? weight : 0;
        }
    }
    add(queue, step, {detail::logOf(runTime), detail::logDeclaredOf(step), weight, false});
}

void RunTimeModel::addCensored(const std::string &queue, const StepSpec &step, Duration elapsed, double weight)
{
    if (elapsed.count() > 0) {
        add(queue, step, {detail::logOf(elapsed), detail::logDeclaredOf(step), weight, true});
    }
}

void RunTimeModel::add(const std::string &queue, const StepSpec &step, const RunObservation &observation)
{
    ++m_runs;
    for (const KindId &id : kindsOf(queue, step)) {
        Kind &kind = m_kinds[id];
        kind.sample.add(observation, m_settings);
        ++kind.runs;
        kind.censored += observation.censored ? 1 : 0;
        kind.usedAt = m_runs;
    }
    while (m_kinds.size() > std::max<std::size_t>(m_settings.kindsMax, 2)) {
        removeOldest();
    }
}

void RunTimeModel::removeOldest()
{
    m_kinds.erase(std::min_element(m_kinds.begin(), m_kinds.end(), [](const auto &left, const auto &right) {
        return left.second.usedAt < right.second.usedAt;
    }));
}

std::vector<RunTimeModel::Component> RunTimeModel::mixtureFor(const std::string &queue, const StepSpec &step) const
{
    const std::optional<double> declared = detail::logDeclaredOf(step);
    const Component declaredTime{&m_declared, declared.value_or(std::log(detail::undeclaredLength)), 1};
    // From the coarsest level to the finest; each takes the share that its runs carry from the levels before. The runs
    // of a finer level are among those of the queue, so only the queue takes from the declared time.
    std::vector<Component> mixture;
    double declaredShare = 1;
    for (const KindId &id : kindsOf(queue, step)) {
        const auto found = m_kinds.find(id);
        if (found == m_kinds.end()) {
            continue;
        }
        const RunTimeFit &fit = found->second.sample.fit(m_settings);
        const Component component{&fit.curve, fit.slope * (declared.value_or(fit.center) - fit.center), 1};
        const bool coarsest = mixture.empty();
        const double share = shareOf(fit, component, coarsest ? std::vector{declaredTime} : mixture);
        if (coarsest) {
            declaredShare = 1 - share;
        }
        for (Component &coarser : mixture) {
            coarser.share *= 1 - share;
        }
        mixture.push_back(component);
        mixture.back().share = coarsest ? 1 : share;
    }
    for (Component &component : mixture) {
        component.share *= 1 - declaredShare;
    }
    mixture.push_back(declaredTime);
    mixture.back().share = declaredShare;
    return mixture;
}

double RunTimeModel::shareOf(const RunTimeFit &fit, const Component &component,
                             const std::vector<Component> &coarser) const
{
    double weight = m_settings.coarserWeight;
    if (fit.weight >= m_settings.contradictionRuns) {
        const double below = cdf(coarser, logQuantile({component}, 0.5));
        weight *= std::max(2 * std::min(below, 1 - below), m_settings.coarserWeightShareMin);
    }
    return fit.weight / (fit.weight + weight);
}

double RunTimeModel::cdf(const std::vector<Component> &mixture, double value)
{
    double sum = 0;
    for (const Component &component : mixture) {
        sum += component.share * component.curve->cdf(value - component.shift);
    }
    return sum;
}

double RunTimeModel::logQuantile(const std::vector<Component> &mixture, double probability)
{
    double low = mixture.front().curve->lowest() + mixture.front().shift;
    double high = mixture.front().curve->highest() + mixture.front().shift;
    for (const Component &component : mixture) {
        low = std::min(low, component.curve->lowest() + component.shift);
        high = std::max(high, component.curve->highest() + component.shift);
    }
    for (int i = 0; i < detail::bisections; ++i) {
        const double middle = (low + high) / 2;
        (cdf(mixture, middle) < probability ? low : high) = middle;
    }
    return high;
}

Duration RunTimeModel::quantile(const std::string &queue, const StepSpec &step, double probability) const
{
    return detail::durationOf(logQuantile(mixtureFor(queue, step), probability));
}

double RunTimeModel::probabilityWithin(const std::string &queue, const StepSpec &step, Duration limit) const
{
    return limit.count() > 0 ? cdf(mixtureFor(queue, step), detail::logOf(limit)) : 0;
}

Duration RunTimeModel::expectedLeft(const std::string &queue, const StepSpec &step, Duration elapsed) const
{
    double mass = 0;
    double left = 0;
    const std::vector<Component> mixture = mixtureFor(queue, step);
    const auto passed = static_cast<double>(std::max(elapsed, Duration::zero()).count());
    for (const Component &component : mixture) {
        for (const RunTimeCurve::Point &point : component.curve->points()) {
            const double whole = std::exp(std::min(point.value + component.shift, detail::storedLogMax));
            if (whole > passed) {
                mass += component.share * point.mass;
                left += component.share * point.mass * (whole - passed);
            }
        }
    }
    // A run that is longer than all known ones is assumed to take as much longer as a censored one.
    const double milliseconds = mass > 0 ? left / mass : passed * (std::exp(m_settings.censoredTail) - 1);
    return std::max(Duration(1), Duration(static_cast<Duration::rep>(milliseconds)));
}

std::vector<RunKindView> RunTimeModel::view() const
{
    std::vector<RunKindView> result;
    for (const auto &[id, kind] : m_kinds) {
        const RunTimeFit &fit = kind.sample.fit(m_settings);
        const std::vector<Component> own{{&fit.curve, 0, 1}};
        RunKindView &view = result.emplace_back();
        view.queue = id.queue;
        view.image = id.image;
        view.shape = id.shape;
        view.runs = kind.runs;
        view.censored = kind.censored;
        const double median = logQuantile(own, 0.5);
        view.median = detail::durationOf(median);
        view.bound = detail::durationOf(logQuantile(own, detail::boundProbability));
        view.medianToDeclared = fit.center > 0 ? std::exp(median - fit.center) : 0;
        view.declaredSlope = fit.slope;
        view.coverage = kind.checked > 0 ? kind.covered / kind.checked : 0;
    }
    return result;
}

std::vector<RunKindRecord> RunTimeModel::records(std::size_t bytesMax) const
{
    std::vector<std::pair<const KindId *, const Kind *>> kinds;
    for (const auto &[id, kind] : m_kinds) {
        kinds.emplace_back(&id, &kind);
    }
    std::stable_sort(kinds.begin(), kinds.end(), [](const auto &left, const auto &right) {
        const auto rank = [](const KindId &id) {
            return (id.image.empty() ? 0 : 1) + (id.shape.empty() ? 0 : 2);
        };
        return std::tuple(rank(*left.first), right.second->runs) < std::tuple(rank(*right.first), left.second->runs);
    });
    std::vector<RunKindRecord> result;
    std::size_t bytes = 0;
    const auto stored = [](double value) {
        return static_cast<std::int64_t>(std::lround(value * detail::storedUnit));
    };
    for (const auto &[id, kind] : kinds) {
        bytes += detail::storedRecordBytes + id->queue.size() + id->image.size() + id->shape.size();
        if (bytes > bytesMax) {
            break;
        }
        const RunTimeFit &fit = kind->sample.fit(m_settings);
        RunKindRecord &record = result.emplace_back();
        record.queue = id->queue;
        record.image = id->image;
        record.shape = id->shape;
        record.runs = kind->runs;
        record.fit = {stored(fit.weight), stored(fit.center), stored(fit.slope), stored(fit.slopeWeight)};
        for (const double probability : detail::storedProbabilities) {
            record.quantiles.push_back(stored(logQuantile({{&fit.curve, 0, 1}}, probability)));
        }
    }
    return result;
}

bool RunTimeModel::restore(const RunKindRecord &record)
{
    constexpr std::size_t fitNumbers = 4;
    if (record.fit.size() != fitNumbers || record.quantiles.size() != detail::storedProbabilities.size()
        || !std::is_sorted(record.quantiles.begin(), record.quantiles.end())) {
        return false;
    }
    const auto number = [&record](std::size_t position) {
        return static_cast<double>(record.fit[position]) / detail::storedUnit;
    };
    RunTimeFit fit;
    fit.weight = number(0);
    fit.center = number(1);
    fit.slope = number(2);
    fit.slopeWeight = number(3);
    std::vector<RunTimeCurve::Point> points;
    for (std::size_t i = 0; i < record.quantiles.size(); ++i) {
        points.push_back({static_cast<double>(record.quantiles[i]) / detail::storedUnit, detail::storedMasses[i]});
    }
    const bool plausible = fit.weight > 0 && fit.weight <= static_cast<double>(m_settings.observationsMax)
        && std::abs(fit.center) <= detail::storedLogMax && fit.slope >= 0 && fit.slope <= 2 && fit.slopeWeight >= 0
        && points.front().value >= 0 && points.back().value <= detail::storedLogMax;
    if (!plausible) {
        return false;
    }
    fit.curve = {std::move(points), m_settings.pointSpread};
    Kind &kind = m_kinds[{record.queue, record.image, record.shape}];
    kind.sample.restore(fit, m_settings);
    kind.runs = record.runs;
    return true;
}

} // namespace heatherquay::state::batch
