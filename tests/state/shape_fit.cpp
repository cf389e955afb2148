#include "state/shape_fit.hpp"

#include <algorithm>

namespace heatherquay::tests
{

using namespace heatherquay::state;

namespace
{

/// @return the order of the adjacency levels, 0 for the tightest
int adjacencyRank(Adjacency adjacency)
{
    switch (adjacency) {
    case Adjacency::Worker:
        return 0;
    case Adjacency::Rack:
        return 1;
    case Adjacency::FailureDomain:
        return 2;
    case Adjacency::Region:
        return 3;
    case Adjacency::None:
        break;
    }
    return 4;
}

std::string groupOf(const FreeWorker &worker, Adjacency adjacency)
{
    switch (adjacency) {
    case Adjacency::Worker:
        return worker.worker;
    case Adjacency::Rack:
        return worker.rack;
    case Adjacency::FailureDomain:
        return worker.failureDomain;
    case Adjacency::Region:
        return worker.region;
    case Adjacency::None:
        break;
    }
    return {};
}

bool accepts(const ShapePart &part, const std::string &kind)
{
    return part.kinds.empty() || std::find(part.kinds.begin(), part.kinds.end(), kind) != part.kinds.end();
}

/// Exhaustive search for a placement of all parts. Parts are placed in order of increasing adjacency level, so only the
/// remaining counts by kind in each group matter for later parts.
class FitSearch
{
public:
    FitSearch(std::vector<ShapePart> parts, std::vector<FreeWorker> workers)
        : m_parts(std::move(parts))
        , m_workers(std::move(workers))
    {
        std::stable_sort(m_parts.begin(), m_parts.end(), [](const ShapePart &left, const ShapePart &right) {
            return adjacencyRank(left.adjacency) < adjacencyRank(right.adjacency);
        });
    }

    bool run()
    {
        return placeFrom(0);
    }

private:
    bool placeFrom(std::size_t number)
    {
        if (number == m_parts.size()) {
            return true;
        }
        const ShapePart &part = m_parts[number];
        std::vector<std::string> tried;
        for (const FreeWorker &worker : m_workers) {
            const std::string group = groupOf(worker, part.adjacency);
            if (std::find(tried.begin(), tried.end(), group) != tried.end()) {
                continue;
            }
            tried.push_back(group);
            std::map<std::string, std::uint32_t> available;
            for (const FreeWorker &member : m_workers) {
                for (const auto &[kind, free] : member.freeByKind) {
                    if (groupOf(member, part.adjacency) == group && accepts(part, kind) && free > 0) {
                        available[kind] += free;
                    }
                }
            }
            if (splitOverKinds(number, group, available, available.begin(), part.count)) {
                return true;
            }
        }
        return false;
    }

    /// Tries every way to split the part over the kinds that are available in the group.
    bool splitOverKinds(std::size_t number, const std::string &group,
                        const std::map<std::string, std::uint32_t> &available,
                        std::map<std::string, std::uint32_t>::const_iterator kind, std::uint32_t missing)
    {
        if (missing == 0) {
            return placeFrom(number + 1);
        }
        if (kind == available.end()) {
            return false;
        }
        for (std::uint32_t count = std::min(missing, kind->second);; --count) {
            const std::vector<FreeWorker> before = m_workers;
            takeAccelerators(group, m_parts[number].adjacency, kind->first, count);
            if (splitOverKinds(number, group, available, std::next(kind), missing - count)) {
                return true;
            }
            m_workers = before;
            if (count == 0) {
                return false;
            }
        }
    }

    void takeAccelerators(const std::string &group, Adjacency adjacency, const std::string &kind, std::uint32_t count)
    {
        for (FreeWorker &worker : m_workers) {
            const auto found = worker.freeByKind.find(kind);
            if (groupOf(worker, adjacency) == group && found != worker.freeByKind.end()) {
                const std::uint32_t taken = std::min(count, found->second);
                found->second -= taken;
                count -= taken;
            }
        }
    }

    std::vector<ShapePart> m_parts;
    std::vector<FreeWorker> m_workers;
};

} // namespace

bool allFit(std::vector<ShapePart> parts, std::vector<FreeWorker> workers)
{
    return FitSearch(std::move(parts), std::move(workers)).run();
}

bool formsShape(const Shape &shape, const std::vector<FreeWorker> &held)
{
    std::uint32_t total = 0;
    for (const FreeWorker &worker : held) {
        for (const auto &[kind, count] : worker.freeByKind) {
            total += count;
        }
    }
    return total == acceleratorCount(shape) && allFit(shape.parts, held);
}

bool termsCover(const ShapePart &guaranteed, const ShapePart &asked)
{
    const bool kindsFit = asked.kinds.empty()
        || (!guaranteed.kinds.empty()
            && std::all_of(guaranteed.kinds.begin(), guaranteed.kinds.end(), [&](const std::string &kind) {
                   return accepts(asked, kind);
               }));
    return kindsFit && adjacencyRank(guaranteed.adjacency) <= adjacencyRank(asked.adjacency);
}

} // namespace heatherquay::tests
