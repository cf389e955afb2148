#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace heatherquay::state
{

/// A sliding window over which the burn rate of a service-level objective is measured.
///
/// The window is divided into slices. When it advances, it drops whole slices.
struct BurnWindow
{
    std::string_view name;
    std::chrono::seconds slice;
    std::size_t slices; ///< Number of slices, including the one being filled.

    constexpr std::chrono::seconds length() const
    {
        return slice * static_cast<std::int64_t>(slices);
    }
};

inline constexpr std::array<BurnWindow, 4> burnWindows{{{"5min", std::chrono::seconds(10), 30},
                                                        {"1h", std::chrono::seconds(60), 60},
                                                        {"6h", std::chrono::seconds(300), 72},
                                                        {"3d", std::chrono::seconds(3600), 72}}};

/// Request counts of one window.
struct BurnCounts
{
    std::uint64_t requests{};
    std::uint64_t bad{}; ///< Requests that were too slow or failed.
};

/// Computes the burn rate of an objective's error budget. A rate of 1 exhausts the budget exactly at the end of the
/// objective's period; a rate of 10 exhausts it in a tenth of the period.
/// @param objectiveShare fraction of requests that must be good; less than 1
/// @return the burn rate; 0 if there are no requests
double burnRate(const BurnCounts &counts, double objectiveShare);

/// Maps time to the slots of a ring buffer that holds one window. Slots are numbered from 0 to slices - 1.
class BurnRing
{
public:
    explicit BurnRing(BurnWindow window);

    /// Advances the window to @p now. A time earlier than that of the previous call has no effect.
    /// @param clear called with each slot that starts a new slice, so that the caller resets its data
    /// @return the slot of the current slice
    template<typename Clear>
    std::size_t advance(std::chrono::seconds now, Clear clear)
    {
        const std::int64_t target = now / m_window.slice;
        const auto slices = static_cast<std::int64_t>(m_window.slices);
        if (target - m_current > slices) {
            m_current = target - slices;
        }
        while (m_current < target) {
            ++m_current;
            clear(slot());
        }
        return slot();
    }

private:
    std::size_t slot() const;

    BurnWindow m_window;
    std::int64_t m_current{};
};

} // namespace heatherquay::state
