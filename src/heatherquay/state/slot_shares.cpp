#include "heatherquay/state/slot_shares.hpp"

#include "heatherquay/error.hpp"

#include <algorithm>
#include <queue>

namespace heatherquay::state
{

namespace detail
{

constexpr std::uint64_t fnvOffset = 14'695'981'039'346'656'037U;
constexpr std::uint64_t fnvPrime = 1'099'511'628'211U;
constexpr std::uint16_t noOwner = 0xffff;

/// Output function of the SplitMix64 generator; distributes similar inputs evenly over 64 bits.
std::uint64_t splitMix64(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// 64-bit FNV-1a hash with a final SplitMix64 step.
std::uint64_t hashText(std::string_view text)
{
    std::uint64_t hash = fnvOffset;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * fnvPrime;
    }
    return splitMix64(hash);
}

template<typename T>
void sortUnique(std::vector<T> &values)
{
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

/// @return the number of slots that each member may own. All get the same number, and the members with the highest
/// hashes get one slot each of the remainder.
std::vector<std::uint32_t> slotQuotas(const std::vector<std::uint64_t> &memberHashes, std::uint32_t slots)
{
    const auto count = static_cast<std::uint32_t>(memberHashes.size());
    std::vector<std::uint32_t> result(count, slots / count);
    std::vector<std::uint32_t> order(count);
    for (std::uint32_t i = 0; i < count; ++i) {
        order[i] = i;
    }
    std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
        return memberHashes[a] > memberHashes[b];
    });
    for (std::uint32_t i = 0; i < slots % count; ++i) {
        ++result[order[i]];
    }
    return result;
}

/// A slot owned by a member, with the weight of the pair.
struct OwnedSlot
{
    std::uint64_t weight{};
    std::uint32_t slot{};

    friend bool operator>(const OwnedSlot &a, const OwnedSlot &b)
    {
        return a.weight != b.weight ? a.weight > b.weight : a.slot > b.slot;
    }
};

/// Rendezvous hashing with bounded loads, computed by deferred acceptance.
///
/// Each slot is offered to members in descending order of weight. A member above its quota gives up its slot with the
/// lowest weight, which is offered to the next member. The result is the stable matching that is optimal for the slots,
/// so it does not depend on the order in which the slots are processed.
class SlotMatching
{
public:
    SlotMatching(const std::vector<std::uint64_t> &slotHashes, const std::vector<std::uint64_t> &memberHashes)
        : m_slotHashes(slotHashes)
        , m_memberHashes(memberHashes)
        , m_quotas(slotQuotas(memberHashes, static_cast<std::uint32_t>(slotHashes.size())))
        , m_held(memberHashes.size())
        , m_owners(slotHashes.size(), noOwner)
        , m_lastWeight(slotHashes.size(), ~std::uint64_t{0})
    {
    }

    std::vector<std::uint16_t> run()
    {
        for (std::uint32_t slot = 0; slot < m_slotHashes.size(); ++slot) {
            std::uint32_t unplaced = slot;
            while (unplaced != noSlot) {
                unplaced = offerToNextMember(unplaced);
            }
        }
        return std::move(m_owners);
    }

private:
    static constexpr std::uint32_t noSlot = ~std::uint32_t{0};

    std::uint64_t weight(std::uint32_t slot, std::size_t member) const
    {
        return splitMix64(m_slotHashes[slot] ^ m_memberHashes[member]);
    }

    /// Assigns the slot to the member with the next lower weight for it.
    /// @return the slot that the member gives up in exchange, noSlot if it is within its quota
    std::uint32_t offerToNextMember(std::uint32_t slot)
    {
        std::uint64_t best = 0;
        std::size_t bestMember = 0;
        for (std::size_t member = 0; member < m_memberHashes.size(); ++member) {
            const std::uint64_t candidate = weight(slot, member);
            if (candidate < m_lastWeight[slot] && candidate >= best) {
                best = candidate;
                bestMember = member;
            }
        }
        m_lastWeight[slot] = best;
        auto &held = m_held[bestMember];
        held.push({best, slot});
        m_owners[slot] = static_cast<std::uint16_t>(bestMember);
        if (held.size() <= m_quotas[bestMember]) {
            return noSlot;
        }
        const std::uint32_t displaced = held.top().slot;
        held.pop();
        m_owners[displaced] = noOwner;
        return displaced;
    }

    /// The slots of one member; the one with the lowest weight is on top.
    using OwnedSlots = std::priority_queue<OwnedSlot, std::vector<OwnedSlot>, std::greater<>>;

    const std::vector<std::uint64_t> &m_slotHashes;
    const std::vector<std::uint64_t> &m_memberHashes;
    std::vector<std::uint32_t> m_quotas;
    std::vector<OwnedSlots> m_held;
    std::vector<std::uint16_t> m_owners;
    std::vector<std::uint64_t> m_lastWeight; ///< Weight of the last member that each slot was offered to.
};

} // namespace detail

SlotShares::SlotShares(std::vector<EntryId> members, const ServiceId &service, std::vector<std::string> endpoints,
                       std::uint32_t slots)
    : m_members(std::move(members))
    , m_endpoints(std::move(endpoints))
    , m_slots(slots)
{
    if (slots > slotsPerEndpointMax) {
        throw Error(ErrorKind::BadInput,
                    "service " + service.value + " has " + std::to_string(slots) + " slots per endpoint",
                    "set slots_per_endpoint to at most " + std::to_string(slotsPerEndpointMax));
    }
    detail::sortUnique(m_members);
    detail::sortUnique(m_endpoints);
    const std::uint64_t serviceHash = detail::hashText(service.value);
    m_fingerprint = detail::splitMix64(serviceHash + slots);
    std::vector<std::uint64_t> memberHashes;
    for (const EntryId &member : m_members) {
        memberHashes.push_back(detail::splitMix64(detail::hashText(member.value) ^ serviceHash));
        m_fingerprint = detail::splitMix64(m_fingerprint ^ memberHashes.back());
    }
    std::vector<std::uint64_t> slotHashes;
    for (const std::string &endpoint : m_endpoints) {
        const std::uint64_t endpointHash = detail::hashText(endpoint);
        m_fingerprint = detail::splitMix64(m_fingerprint ^ endpointHash);
        for (std::uint32_t slot = 0; slot < slots; ++slot) {
            slotHashes.push_back(detail::splitMix64(endpointHash + slot));
        }
    }
    m_fingerprint |= 1U; // A fingerprint is never 0.
    if (m_members.empty()) {
        m_owners.assign(slotHashes.size(), detail::noOwner);
        return;
    }
    m_owners = detail::SlotMatching(slotHashes, memberHashes).run();
}

std::size_t SlotShares::endpointIndex(std::string_view endpoint) const
{
    const auto found = std::lower_bound(m_endpoints.begin(), m_endpoints.end(), endpoint);
    const bool known = found != m_endpoints.end() && *found == endpoint;
    return known ? static_cast<std::size_t>(found - m_endpoints.begin()) : m_endpoints.size();
}

std::uint32_t SlotShares::mask(const EntryId &member, std::string_view endpoint) const
{
    const std::size_t index = endpointIndex(endpoint);
    const auto found = std::lower_bound(m_members.begin(), m_members.end(), member);
    if (index == m_endpoints.size() || found == m_members.end() || *found != member) {
        return 0;
    }
    const auto memberIndex = static_cast<std::uint16_t>(found - m_members.begin());
    std::uint32_t result = 0;
    for (std::uint32_t slot = 0; slot < m_slots; ++slot) {
        if (m_owners[index * m_slots + slot] == memberIndex) {
            result |= 1U << slot;
        }
    }
    return result;
}

const EntryId *SlotShares::owner(std::string_view endpoint, std::uint32_t slot) const
{
    const std::size_t index = endpointIndex(endpoint);
    if (index == m_endpoints.size() || slot >= m_slots) {
        return nullptr;
    }
    const std::uint16_t owner = m_owners[index * m_slots + slot];
    return owner == detail::noOwner ? nullptr : &m_members[owner];
}

std::uint32_t SlotShares::total(const EntryId &member) const
{
    const auto found = std::lower_bound(m_members.begin(), m_members.end(), member);
    if (found == m_members.end() || *found != member) {
        return 0;
    }
    const auto memberIndex = static_cast<std::uint16_t>(found - m_members.begin());
    return static_cast<std::uint32_t>(std::count(m_owners.begin(), m_owners.end(), memberIndex));
}

std::uint64_t SlotShares::fingerprint() const
{
    return m_fingerprint;
}

} // namespace heatherquay::state
