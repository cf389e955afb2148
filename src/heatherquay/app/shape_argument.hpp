#pragma once

#include "heatherquay/state/shape.hpp"

#include <string>
#include <vector>

namespace heatherquay::app
{

/// Parses the parts of a shape, each written as COUNT[xKIND[/KIND...]][@ADJACENCY], such as "8xa100@rack" or "4".
/// @throws Error(BadInput) when a part is malformed
state::Shape parseShape(const std::vector<std::string> &parts);

} // namespace heatherquay::app
