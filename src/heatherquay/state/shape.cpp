#include "heatherquay/state/shape.hpp"

namespace heatherquay::state
{

std::uint32_t acceleratorCount(const Shape &shape)
{
    std::uint32_t total = 0;
    for (const ShapePart &part : shape.parts) {
        total += part.count;
    }
    return total;
}

} // namespace heatherquay::state
