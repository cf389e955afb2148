#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace heatherquay::state
{

/// A strongly typed identifier: ids with different tags are distinct types.
/// @tparam Tag type that only tells the identifiers apart
template<typename Tag, typename Value = std::string>
struct StrongId
{
    Value value{};

    // clang-tidy mistakes the literal zero inside a defaulted comparison for a null pointer.
    friend auto operator<=>(const StrongId &, const StrongId &) = default; // NOLINT(modernize-use-nullptr)
    friend std::ostream &operator<<(std::ostream &out, const StrongId &id)
    {
        return out << id.value;
    }
};

using TeamId = StrongId<struct TeamTag>;
using JobId = StrongId<struct JobTag>;
using WorkerId = StrongId<struct WorkerTag>;
using RackId = StrongId<struct RackTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;
using RegionId = StrongId<struct RegionTag>;
using GuaranteeId = StrongId<struct GuaranteeTag>;
using PlanId = StrongId<struct PlanTag>;
using EntryId = StrongId<struct EntryTag>; ///< An entry is one server process of heatherquay.
using ServiceId = StrongId<struct ServiceTag>;

/// Identifies an accelerator by its worker and its index on that worker.
struct AcceleratorId
{
    WorkerId worker;
    std::uint16_t index{};

    friend auto operator<=>(const AcceleratorId &, const AcceleratorId &) = default; // NOLINT(modernize-use-nullptr)
};

/// Fencing token of a job's start. Each start gets a larger one, and workers refuse commands with an older one.
using Fence = StrongId<struct FenceTag, std::uint64_t>;

} // namespace heatherquay::state

template<typename Tag, typename Value>
struct std::hash<heatherquay::state::StrongId<Tag, Value>>
{
    std::size_t operator()(const heatherquay::state::StrongId<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>()(id.value);
    }
};
