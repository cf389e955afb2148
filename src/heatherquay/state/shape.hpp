#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace heatherquay::state
{

/// The topology level within which all accelerators of a part must be.
enum class Adjacency
{
    None,
    Worker,
    Rack,
    FailureDomain,
    Region
};

/// A group of accelerators with common constraints.
struct ShapePart
{
    std::uint32_t count{}; ///< Number of accelerators.
    std::vector<std::string> kinds; ///< Accepted accelerator kinds; empty accepts any.
    Adjacency adjacency{Adjacency::None};

    friend bool operator==(const ShapePart &, const ShapePart &) = default;
};

/// The accelerators that a gang needs or that a team is guaranteed. All parts are allocated together.
struct Shape
{
    std::vector<ShapePart> parts;

    friend bool operator==(const Shape &, const Shape &) = default;
};

/// @return the total number of accelerators in all parts
std::uint32_t acceleratorCount(const Shape &shape);

} // namespace heatherquay::state
