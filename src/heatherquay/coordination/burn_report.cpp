#include "heatherquay/coordination/burn_report.hpp"

#include "heatherquay/error.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

#include <boost/json.hpp>

namespace heatherquay::coordination
{

namespace json = boost::json;

namespace detail
{

constexpr std::uint8_t formatVersion = 1;
constexpr std::uint64_t seriesMax = 100'000;
constexpr std::uint64_t edgesMax = 1'000;
constexpr std::uint64_t nameBytesMax = 4'096;

/// Appends @p value as a LEB128 number: seven bits per byte, least significant first.
void appendVarint(std::string &out, std::uint64_t value)
{
    while (value >= 0x80) {
        out += static_cast<char>((value & 0x7f) | 0x80);
        value >>= 7;
    }
    out += static_cast<char>(value);
}

void appendString(std::string &out, const std::string &text)
{
    appendVarint(out, text.size());
    out += text;
}

Error malformedCounts()
{
    return {ErrorKind::BadInput, "a peer sent malformed burn counts", "run the same version on all entries"};
}

class BurnReader
{
public:
    explicit BurnReader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    /// @throws Error(BadInput) if the number is malformed or larger than @p max
    std::uint64_t readVarint(std::uint64_t max)
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            if (m_bytes.empty()) {
                throw malformedCounts();
            }
            const auto byte = static_cast<std::uint8_t>(m_bytes.front());
            m_bytes.remove_prefix(1);
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (byte < 0x80) {
                if (value > max) {
                    throw malformedCounts();
                }
                return value;
            }
        }
        throw malformedCounts();
    }

    std::string readString()
    {
        const std::uint64_t size = readVarint(std::min<std::uint64_t>(nameBytesMax, m_bytes.size()));
        if (size > m_bytes.size()) {
            throw malformedCounts();
        }
        std::string value(m_bytes.substr(0, size));
        m_bytes.remove_prefix(size);
        return value;
    }

    bool atEnd() const
    {
        return m_bytes.empty();
    }

private:
    std::string_view m_bytes;
};

std::vector<std::uint64_t> readCounts(BurnReader &reader, std::size_t bins)
{
    constexpr std::uint64_t countMax = 1ULL << 50;
    std::vector<std::uint64_t> counts(bins);
    for (std::uint64_t &count : counts) {
        count = reader.readVarint(countMax);
    }
    return counts;
}

BurnSeries readSeries(BurnReader &reader)
{
    BurnSeries series;
    series.service.value = reader.readString();
    series.team.value = reader.readString();
    series.edgesMs.resize(reader.readVarint(edgesMax));
    for (std::uint32_t &edge : series.edgesMs) {
        edge = static_cast<std::uint32_t>(reader.readVarint(UINT32_MAX));
    }
    const bool ascending = std::adjacent_find(series.edgesMs.begin(), series.edgesMs.end(), std::greater_equal<>())
        == series.edgesMs.end();
    if (!ascending) {
        throw malformedCounts();
    }
    for (BurnBins &bins : series.windows) {
        bins.good = readCounts(reader, series.edgesMs.size() + 1);
        bins.failed = readCounts(reader, series.edgesMs.size() + 1);
    }
    return series;
}

auto seriesKey(const BurnSeries &series)
{
    return std::tie(series.service, series.team);
}

/// Adds counts bin by bin. A bin of @p from goes to the bin of @p to that holds its upper edge.
void addBins(std::vector<std::uint64_t> &whole, const std::vector<std::uint64_t> &part, const BurnSeries &to,
             const BurnSeries &from)
{
    for (std::size_t bin = 0; bin < part.size(); ++bin) {
        std::size_t target = whole.size() - 1;
        if (bin < from.edgesMs.size()) {
            const auto upper = std::lower_bound(to.edgesMs.begin(), to.edgesMs.end(), from.edgesMs[bin]);
            target = static_cast<std::size_t>(upper - to.edgesMs.begin());
        }
        whole[target] += part[bin];
    }
}

std::uint64_t sum(const std::vector<std::uint64_t> &counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

/// Totals of one window and one objective.
struct WindowSums
{
    std::uint64_t requests{};
    std::uint64_t slow{}; ///< Requests that succeeded, but took at least as long as the latency target.
    std::uint64_t failed{};
    double p50{}; ///< Milliseconds.
    double p99{}; ///< Milliseconds.
};

/// @param share the quantile, 0 to 1
/// @return the upper edge of the bin that holds the quantile in milliseconds, or the last edge if that bin is open
double quantile(const BurnSeries &series, const BurnBins &bins, std::uint64_t requests, double share)
{
    if (requests == 0 || series.edgesMs.empty()) {
        return 0.0;
    }
    double remaining = share * static_cast<double>(requests);
    for (std::size_t bin = 0; bin < series.edgesMs.size(); ++bin) {
        remaining -= static_cast<double>(bins.good[bin] + bins.failed[bin]);
        if (remaining <= 0) {
            return series.edgesMs[bin];
        }
    }
    return series.edgesMs.back();
}

WindowSums sumWindow(const BurnSeries &series, const BurnBins &bins, const state::Objective &objective)
{
    WindowSums sums;
    const std::uint64_t good = sum(bins.good);
    sums.failed = sum(bins.failed);
    sums.requests = good + sums.failed;
    for (std::size_t bin = 0; bin < bins.good.size(); ++bin) {
        // A bin is slow if its lower edge is at or above the latency target.
        const bool slow = bin > 0 && series.edgesMs[bin - 1] >= objective.latencyTarget.count();
        sums.slow += slow ? bins.good[bin] : 0;
    }
    sums.p50 = quantile(series, bins, sums.requests, 0.5);
    sums.p99 = quantile(series, bins, sums.requests, 0.99);
    return sums;
}

/// @return the counts of a service for the objective's team, or for all teams if the objective names none
BurnSeries aggregateSeries(const BurnSnapshot &snapshot, const state::ServiceSettings &service,
                           const state::Objective &objective)
{
    BurnSnapshot selected;
    for (const BurnSeries &series : snapshot.series) {
        if (series.service != service.id || (!objective.team.value.empty() && series.team != objective.team)) {
            continue;
        }
        BurnSeries one = series;
        one.team = objective.team;
        merge(selected, {{std::move(one)}});
    }
    if (selected.series.empty()) {
        selected.series.emplace_back();
        selected.series.front().service = service.id;
    }
    return std::move(selected.series.front());
}

/// Calls @p action with each service, objective and the counts that the objective covers.
template<typename Action>
void forEachObjective(const BurnSnapshot &snapshot, const std::vector<state::ServiceSettings> &services, Action action)
{
    for (const state::ServiceSettings &service : services) {
        for (const state::Objective &objective : service.objectives) {
            action(service, objective, aggregateSeries(snapshot, service, objective));
        }
    }
}

std::string quotedLabel(const std::string &label)
{
    std::string text;
    for (const char character : label) {
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += character == '\n' ? ' ' : character;
    }
    return "\"" + text + "\"";
}

} // namespace detail

void merge(BurnSnapshot &whole, const BurnSnapshot &part)
{
    for (const BurnSeries &series : part.series) {
        const auto at = std::lower_bound(whole.series.begin(), whole.series.end(), series,
                                         [](const BurnSeries &left, const BurnSeries &right) {
                                             return detail::seriesKey(left) < detail::seriesKey(right);
                                         });
        if (at == whole.series.end() || detail::seriesKey(*at) != detail::seriesKey(series)) {
            whole.series.insert(at, series);
            continue;
        }
        for (std::size_t window = 0; window < series.windows.size(); ++window) {
            detail::addBins(at->windows[window].good, series.windows[window].good, *at, series);
            detail::addBins(at->windows[window].failed, series.windows[window].failed, *at, series);
        }
    }
}

std::string encodeBurn(const BurnSnapshot &snapshot)
{
    std::string out(1, static_cast<char>(detail::formatVersion));
    detail::appendVarint(out, snapshot.series.size());
    for (const BurnSeries &series : snapshot.series) {
        detail::appendString(out, series.service.value);
        detail::appendString(out, series.team.value);
        detail::appendVarint(out, series.edgesMs.size());
        for (const std::uint32_t edge : series.edgesMs) {
            detail::appendVarint(out, edge);
        }
        for (const BurnBins &bins : series.windows) {
            for (const auto *counts : {&bins.good, &bins.failed}) {
                for (const std::uint64_t count : *counts) {
                    detail::appendVarint(out, count);
                }
            }
        }
    }
    return out;
}

BurnSnapshot decodeBurn(std::string_view bytes)
{
    detail::BurnReader reader(bytes);
    if (reader.readVarint(detail::formatVersion) != detail::formatVersion) {
        throw detail::malformedCounts();
    }
    const std::uint64_t count = reader.readVarint(detail::seriesMax);
    BurnSnapshot snapshot;
    for (std::uint64_t index = 0; index < count; ++index) {
        merge(snapshot, {{detail::readSeries(reader)}});
    }
    if (!reader.atEnd()) {
        throw detail::malformedCounts();
    }
    return snapshot;
}

std::string burnJson(const BurnSnapshot &snapshot, const std::vector<state::ServiceSettings> &services,
                     const std::vector<std::string> &missing)
{
    json::array objectives;
    detail::forEachObjective(
        snapshot, services,
        [&objectives](const state::ServiceSettings &service, const state::Objective &objective,
                      const BurnSeries &series) {
            json::array windows;
            for (std::size_t index = 0; index < series.windows.size(); ++index) {
                const auto sums = detail::sumWindow(series, series.windows[index], objective);
                windows.push_back(json::object{
                    {"window", state::burnWindows[index].name},
                    {"requests", sums.requests},
                    {"slow", sums.slow},
                    {"failed", sums.failed},
                    {"p50_ms", sums.p50},
                    {"p99_ms", sums.p99},
                    {"latency_burn", state::burnRate({sums.requests - sums.failed, sums.slow}, objective.latencyShare)},
                    {"success_burn", state::burnRate({sums.requests, sums.failed}, objective.successShare)}});
            }
            objectives.push_back(json::object{{"service", service.id.value},
                                              {"team", objective.team.value},
                                              {"latency_target_ms", objective.latencyTarget.count()},
                                              {"latency_share", objective.latencyShare},
                                              {"success_share", objective.successShare},
                                              {"windows", std::move(windows)}});
        });
    json::array missingEntries;
    for (const std::string &entry : missing) {
        missingEntries.push_back(json::value(entry));
    }
    return json::serialize(
        json::object{{"objectives", std::move(objectives)}, {"missing_entries", std::move(missingEntries)}});
}

std::string burnMetrics(const BurnSnapshot &snapshot, const std::vector<state::ServiceSettings> &services)
{
    std::string out = "# HELP heatherquay_burn_rate Error budget use; 1 uses it up exactly over its period.\n"
                      "# TYPE heatherquay_burn_rate gauge\n";
    detail::forEachObjective(
        snapshot, services,
        [&out](const state::ServiceSettings &service, const state::Objective &objective, const BurnSeries &series) {
            for (std::size_t index = 0; index < series.windows.size(); ++index) {
                const auto sums = detail::sumWindow(series, series.windows[index], objective);
                const std::string labels = "heatherquay_burn_rate{service=" + detail::quotedLabel(service.id.value)
                    + ",team=" + detail::quotedLabel(objective.team.value)
                    + ",window=" + detail::quotedLabel(std::string(state::burnWindows[index].name)) + ",objective=";
                const double latency
                    = state::burnRate({sums.requests - sums.failed, sums.slow}, objective.latencyShare);
                const double success = state::burnRate({sums.requests, sums.failed}, objective.successShare);
                out += labels + "\"latency\"} " + std::to_string(latency) + "\n";
                out += labels + "\"success\"} " + std::to_string(success) + "\n";
            }
        });
    return out;
}

} // namespace heatherquay::coordination
