#include "heatherquay/coordination/burn_recorder.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <utility>

#include <boost/histogram.hpp>

namespace heatherquay::coordination
{

namespace bh = boost::histogram;

namespace detail
{

constexpr std::uint32_t defaultEdgesMs[]
    = {1, 2, 5, 10, 20, 50, 100, 200, 500, 1'000, 2'000, 5'000, 10'000, 20'000, 60'000};
/// Largest number of teams counted per service. Requests of further teams are not counted, nor are requests of services
/// that are missing from the settings.
constexpr std::size_t seriesPerServiceMax = 1'000;

using SliceAxis = bh::axis::integer<int, bh::use_default, bh::axis::option::none_t>;
using LatencyAxis = bh::axis::variable<double>;
using FailedAxis = bh::axis::boolean<>;
/// Unlimited storage starts with small counters and widens them as needed, so that teams with few requests take little
/// memory.
using Histogram = bh::histogram<std::tuple<SliceAxis, LatencyAxis, FailedAxis>, bh::unlimited_storage<>>;

std::vector<std::uint32_t> latencyEdges(const state::ServiceSettings &service)
{
    std::vector<std::uint32_t> edges(std::begin(defaultEdgesMs), std::end(defaultEdgesMs));
    for (const state::Objective &objective : service.objectives) {
        edges.push_back(static_cast<std::uint32_t>(objective.latencyTarget.count()));
    }
    std::sort(edges.begin(), edges.end());
    edges.erase(std::unique(edges.begin(), edges.end()), edges.end());
    return edges;
}

/// Histogram of one window of a service and team. Old slices are cleared as time advances.
class BurnHistogram
{
public:
    BurnHistogram(const state::BurnWindow &window, const std::vector<std::uint32_t> &edges)
        : m_ring(window)
        , m_histogram(SliceAxis(0, static_cast<int>(window.slices)), LatencyAxis(edges.begin(), edges.end()),
                      FailedAxis())
        , m_slices(static_cast<int>(window.slices))
        , m_latencyBins(static_cast<int>(edges.size()) - 1)
    {
    }

    void record(double latencyMs, bool failed, std::chrono::seconds now)
    {
        m_histogram(static_cast<int>(advance(now)), latencyMs, failed);
    }

    BurnBins sum(std::chrono::seconds now)
    {
        advance(now);
        BurnBins bins;
        for (int bin = -1; bin <= m_latencyBins; ++bin) {
            bins.good.push_back(sumBin(bin, 0));
            bins.failed.push_back(sumBin(bin, 1));
        }
        return bins;
    }

private:
    std::size_t advance(std::chrono::seconds now)
    {
        return m_ring.advance(now, [this](std::size_t slot) {
            for (int bin = -1; bin <= m_latencyBins; ++bin) {
                m_histogram.at(static_cast<int>(slot), bin, 0) = 0;
                m_histogram.at(static_cast<int>(slot), bin, 1) = 0;
            }
        });
    }

    std::uint64_t sumBin(int bin, int failed) const
    {
        double total = 0;
        for (int slice = 0; slice < m_slices; ++slice) {
            total += static_cast<double>(m_histogram.at(slice, bin, failed));
        }
        return static_cast<std::uint64_t>(total);
    }

    state::BurnRing m_ring;
    Histogram m_histogram;
    int m_slices;
    int m_latencyBins;
};

struct RecordedSeries
{
    explicit RecordedSeries(const std::vector<std::uint32_t> &edges)
    {
        for (const state::BurnWindow &window : state::burnWindows) {
            windows.emplace_back(window, edges);
        }
    }

    std::mutex mutex;
    std::vector<BurnHistogram> windows;
};

struct RecordedService
{
    std::vector<std::uint32_t> edges;
    std::map<state::TeamId, std::unique_ptr<RecordedSeries>> teams;
};

} // namespace detail

struct BurnRecorder::Data
{
    /// @return the series of the request's service and team, created on first use; null if it is not counted
    detail::RecordedSeries *findOrCreate(const RequestRecord &request);

    mutable std::shared_mutex mutex; ///< Guards the maps of teams. Each series has a mutex of its own.
    std::map<state::ServiceId, detail::RecordedService> services;
};

detail::RecordedSeries *BurnRecorder::Data::findOrCreate(const RequestRecord &request)
{
    const auto service = services.find(request.service);
    if (service == services.end()) {
        return nullptr;
    }
    {
        const std::shared_lock lock(mutex);
        const auto team = service->second.teams.find(request.team);
        if (team != service->second.teams.end()) {
            return team->second.get();
        }
    }
    const std::lock_guard lock(mutex);
    auto &teams = service->second.teams;
    if (teams.size() >= detail::seriesPerServiceMax) {
        return nullptr;
    }
    auto &series = teams[request.team];
    if (!series) {
        series = std::make_unique<detail::RecordedSeries>(service->second.edges);
    }
    return series.get();
}

BurnRecorder::BurnRecorder(const std::vector<state::ServiceSettings> &services)
    : m_data(std::make_unique<Data>())
{
    for (const state::ServiceSettings &service : services) {
        m_data->services[service.id].edges = detail::latencyEdges(service);
    }
}

BurnRecorder::~BurnRecorder() = default;

void BurnRecorder::record(const RequestRecord &request, std::chrono::seconds now)
{
    detail::RecordedSeries *series = m_data->findOrCreate(request);
    if (!series) {
        return;
    }
    const double milliseconds = static_cast<double>(request.latency.count()) / 1000.0;
    const bool failed = isFailure(request);
    const std::lock_guard lock(series->mutex);
    for (detail::BurnHistogram &window : series->windows) {
        window.record(milliseconds, failed, now);
    }
}

BurnSnapshot BurnRecorder::snapshot(std::chrono::seconds now) const
{
    BurnSnapshot snapshot;
    const std::shared_lock lock(m_data->mutex);
    for (const auto &[serviceId, service] : m_data->services) {
        for (const auto &[teamId, recorded] : service.teams) {
            BurnSeries series{serviceId, teamId, service.edges, {}};
            const std::lock_guard seriesLock(recorded->mutex);
            for (std::size_t window = 0; window < series.windows.size(); ++window) {
                series.windows[window] = recorded->windows[window].sum(now);
            }
            snapshot.series.push_back(std::move(series));
        }
    }
    return snapshot;
}

bool isFailure(const RequestRecord &request)
{
    constexpr unsigned firstServerError = 500;
    constexpr unsigned tooManyRequests = 429;
    return request.status >= firstServerError || request.status == tooManyRequests
        || request.outcome == protocol::Outcome::Unknown;
}

} // namespace heatherquay::coordination
