#pragma once

#include "heatherquay/state/commands.hpp"
#include "heatherquay/state/events.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heatherquay::tests
{

/// Free accelerators of one worker, by kind.
struct FreeWorker
{
    std::string worker;
    std::string rack;
    std::string failureDomain;
    std::string region;
    std::map<std::string, std::uint32_t> freeByKind;
};

/// Searches exhaustively, so it is suitable only for clusters of a few workers.
/// @return whether all @p parts fit at the same time
bool allFit(std::vector<state::ShapePart> parts, std::vector<FreeWorker> workers);

/// @return whether the accelerators of a gang match @p shape exactly: each part complete, of accepted kinds and within
/// its adjacency
bool formsShape(const state::Shape &shape, const std::vector<FreeWorker> &held);

/// @return whether all accelerators that satisfy the kinds and adjacency of the guaranteed part also satisfy those of
/// the requested part
bool termsCover(const state::ShapePart &guaranteed, const state::ShapePart &asked);

} // namespace heatherquay::tests
