#pragma once

#include "heatherquay/state/burn.hpp"
#include "heatherquay/state/entry_settings.hpp"
#include "heatherquay/state/ids.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heatherquay::coordination
{

/// Number of successful and failed requests of one window in each latency bin.
struct BurnBins
{
    std::vector<std::uint64_t> good;
    std::vector<std::uint64_t> failed;
};

/// Request counts of one service and team in all windows. Bin i holds latencies from edgesMs[i - 1] (included) to
/// edgesMs[i] (excluded). The first bin has no lower and the last bin no upper edge.
struct BurnSeries
{
    state::ServiceId service;
    state::TeamId team;
    std::vector<std::uint32_t> edgesMs; ///< Strictly ascending, in milliseconds.
    std::array<BurnBins, state::burnWindows.size()> windows;
};

/// Request counts of one or more entries, ordered by service and team.
struct BurnSnapshot
{
    std::vector<BurnSeries> series;
};

/// Adds the counts of @p part to @p whole. Bin edges differ between entries while new settings are rolled out. A count
/// is then added to the bin that holds the upper edge of its own bin, so that no request appears faster than it was.
void merge(BurnSnapshot &whole, const BurnSnapshot &part);

/// @return the binary encoding sent to peers, which decodeBurn() reads
std::string encodeBurn(const BurnSnapshot &snapshot);
/// @throws Error(BadInput) if the bytes are malformed
BurnSnapshot decodeBurn(std::string_view bytes);

/// @param missing names of the entries whose counts @p snapshot lacks
/// @return the JSON body of /v1/burn
std::string burnJson(const BurnSnapshot &snapshot, const std::vector<state::ServiceSettings> &services,
                     const std::vector<std::string> &missing = {});

/// @return the burn rates in the Prometheus text format, for /metrics
std::string burnMetrics(const BurnSnapshot &snapshot, const std::vector<state::ServiceSettings> &services);

} // namespace heatherquay::coordination
