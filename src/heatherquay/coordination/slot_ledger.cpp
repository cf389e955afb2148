#include "heatherquay/coordination/slot_ledger.hpp"

#include "heatherquay/coordination/service_lookup.hpp"
#include "heatherquay/state/slot_shares.hpp"

#include <algorithm>
#include <bit>
#include <map>
#include <mutex>
#include <set>

namespace heatherquay::coordination
{

namespace detail
{

/// Slot bit masks by endpoint address.
using SlotSet = std::map<std::string, std::uint32_t, std::less<>>;
using ServiceSlotSets = std::map<state::ServiceId, SlotSet>;

constexpr std::uint64_t firstMemberVersion = 1;
/// Limits the memory for gossip from processes that are not in the member list yet. Gossip from further processes is
/// ignored.
constexpr std::size_t peersMax = 64;

std::uint32_t maskOf(const SlotSet &set, std::string_view endpoint)
{
    const auto found = set.find(endpoint);
    return found == set.end() ? 0 : found->second;
}

const SlotSet &slotsOf(const ServiceSlotSets &sets, const state::ServiceId &service)
{
    static const SlotSet none;
    const auto found = sets.find(service);
    return found == sets.end() ? none : found->second;
}

void addAll(ServiceSlotSets &target, const ServiceSlotSets &source)
{
    for (const auto &[service, slots] : source) {
        for (const auto &[endpoint, mask] : slots) {
            target[service][endpoint] |= mask;
        }
    }
}

bool sameAddresses(const ServiceEndpoints &a, const ServiceEndpoints &b)
{
    return std::equal(a.endpoints.begin(), a.endpoints.end(), b.endpoints.begin(), b.endpoints.end(),
                      [](const auto &one, const auto &other) {
                          return one->address == other->address;
                      });
}

/// Identifies one process of an entry. A restarted entry is a different process.
struct ProcessId
{
    state::EntryId id;
    std::uint64_t incarnation{};

    // clang-tidy mistakes the literal zero in a defaulted comparison for a null pointer.
    friend auto operator<=>(const ProcessId &, const ProcessId &) = default; // NOLINT(modernize-use-nullptr)
};

/// Reported and derived state of another process.
struct Peer
{
    std::uint64_t memberVersion{};
    bool leaving{};
    /// Services for which possiblyHeld is based on at least one report of the process.
    std::set<state::ServiceId> reportedServices;
    /// Services for which the last report of the process confirms the current shares of this entry.
    std::set<state::ServiceId> agreedServices;
    std::map<state::ServiceId, std::uint32_t> idleSlots;
    ServiceSlotSets possiblyHeld; ///< All slots that the process may be using.
};

/// Slots that stay unusable for a time, because a removed process may still be using them.
struct BlockedSlots
{
    state::ServiceId service;
    SlotSet slots;
    bool allSlots{}; ///< All slots of the service are blocked, and the field slots is ignored.
    SlotLedger::Clock::time_point until;
};

struct Quarantine
{
    std::shared_ptr<Endpoint> endpoint;
    std::uint32_t slot{};
    SlotLedger::Clock::time_point until;
};

struct LentSlot
{
    std::shared_ptr<Endpoint> endpoint;
    std::uint32_t slot{};
    SlotLedger::Clock::time_point until;
};

/// Current shares of a service and the inputs from which they were computed.
struct ServiceShares
{
    state::SlotShares shares;
    std::uint64_t memberVersion{};
    std::uint32_t slots{};
    /// Endpoints by address that are listed or have taken slots.
    std::map<std::string, std::shared_ptr<Endpoint>, std::less<>> tracked;
    std::shared_ptr<const ServiceEndpoints> listed;
};

} // namespace detail

using detail::Peer;
using detail::ProcessId;

struct SlotLedger::Data
{
    Data(state::EntryId selfId, std::shared_ptr<const EndpointDirectory> endpointDirectory,
         std::shared_ptr<const state::EntrySettings> entrySettings, std::function<bool()> mayActNow)
        : self(std::move(selfId))
        , directory(std::move(endpointDirectory))
        , settings(std::move(entrySettings))
        , mayAct(std::move(mayActNow))
    {
    }

    bool isMember(const state::EntryId &id) const;
    std::vector<ProcessId> otherMembers() const;
    Clock::duration blockDuration(const state::ServiceSettings &service) const;
    void blockSlotsOfRemoved(const MemberList &previous, Clock::time_point now);
    void blockAllSlots(Clock::time_point now);
    void updateShares(const state::ServiceSettings &service);
    void updateUsable(const state::ServiceId &id);
    std::uint32_t excludeHeldByOthers(const state::ServiceId &id, std::string_view endpoint,
                                      std::uint32_t gained) const;
    void updateAll();
    void notifyFreed(const std::vector<state::ServiceId> &services) const;
    std::vector<state::ServiceId> serviceIds() const;
    void addLoads(protocol::Gossip &gossip) const;
    void addHeld(protocol::Gossip &gossip) const;

    const state::EntryId self;
    std::shared_ptr<const EndpointDirectory> directory;
    std::shared_ptr<const state::EntrySettings> settings;
    std::function<bool()> mayAct;
    std::function<void(const state::ServiceId &)> freedCallback;
    mutable std::mutex mutex;
    std::shared_ptr<const MemberList> members = std::make_shared<const MemberList>();
    std::map<ProcessId, Peer> peers;
    std::vector<detail::BlockedSlots> blockedSlots;
    std::vector<detail::Quarantine> quarantines;
    std::map<std::uint64_t, detail::LentSlot> lentSlots;
    std::uint64_t nextLoan{1};
    std::map<state::ServiceId, detail::ServiceShares> services;
    std::map<state::ServiceId, std::int64_t> queued;
    bool leaving{};
};

bool SlotLedger::Data::isMember(const state::EntryId &id) const
{
    return std::any_of(members->members.begin(), members->members.end(), [&](const Member &member) {
        return member.id == id;
    });
}

std::vector<ProcessId> SlotLedger::Data::otherMembers() const
{
    std::vector<ProcessId> result;
    for (const Member &member : members->members) {
        if (member.id != self) {
            result.push_back({member.id, member.incarnation});
        }
    }
    return result;
}

SlotLedger::Clock::duration SlotLedger::Data::blockDuration(const state::ServiceSettings &service) const
{
    return service.requestTimeout + service.abandonGrace;
}

void SlotLedger::Data::blockSlotsOfRemoved(const MemberList &previous, Clock::time_point now)
{
    for (const Member &oldMember : previous.members) {
        const bool isStillMember
            = std::any_of(members->members.begin(), members->members.end(), [&](const Member &member) {
                  return member.id == oldMember.id && member.incarnation == oldMember.incarnation;
              });
        const auto peer = peers.find({oldMember.id, oldMember.incarnation});
        if (isStillMember || oldMember.id == self || peer == peers.end()) {
            continue;
        }
        for (const state::ServiceSettings &service : settings->services) {
            const detail::SlotSet &held = detail::slotsOf(peer->second.possiblyHeld, service.id);
            // Without a matching report, the process may still use slots by a list from before this entry joined.
            const bool allSlots = !peer->second.reportedServices.contains(service.id);
            if (allSlots || !held.empty()) {
                blockedSlots.push_back({service.id, held, allSlots, now + blockDuration(service)});
            }
        }
        peers.erase(peer);
    }
    std::erase_if(peers, [this](const auto &entry) {
        const auto &[process, peer] = entry;
        const auto current = otherMembers();
        return peer.memberVersion <= members->version
            && std::find(current.begin(), current.end(), process) == current.end();
    });
}

void SlotLedger::Data::blockAllSlots(Clock::time_point now)
{
    for (const state::ServiceSettings &service : settings->services) {
        blockedSlots.push_back({service.id, {}, true, now + blockDuration(service)});
    }
}

/// Recomputes the shares of a service if the members, the endpoints or the slot count changed.
void SlotLedger::Data::updateShares(const state::ServiceSettings &service)
{
    detail::ServiceShares &serviceShares = services[service.id];
    auto listed = directory->read(service.id);
    std::vector<state::EntryId> ids;
    for (const Member &member : members->members) {
        ids.push_back(member.id);
    }
    std::vector<std::string> addresses;
    for (const auto &endpoint : listed->endpoints) {
        addresses.push_back(endpoint->address);
        serviceShares.tracked[endpoint->address] = endpoint;
    }
    const bool sameEndpoints = serviceShares.listed && detail::sameAddresses(*serviceShares.listed, *listed);
    serviceShares.listed = std::move(listed);
    if (sameEndpoints && serviceShares.memberVersion == members->version
        && serviceShares.slots == service.slotsPerEndpoint) {
        return;
    }
    serviceShares.memberVersion = members->version;
    serviceShares.slots = service.slotsPerEndpoint;
    serviceShares.shares
        = state::SlotShares(std::move(ids), service.id, std::move(addresses), service.slotsPerEndpoint);
    for (auto &[process, peer] : peers) {
        // Earlier reports describe the slots that the peer holds under the old shares, so a new report is required.
        peer.agreedServices.erase(service.id);
    }
    for (const ProcessId &other : otherMembers()) {
        Peer &peer = peers[other];
        if (peer.leaving) {
            continue;
        }
        for (const auto &[address, endpoint] : serviceShares.tracked) {
            const std::uint32_t mask = serviceShares.shares.mask(other.id, address);
            if (mask != 0) {
                peer.possiblyHeld[service.id][address] |= mask;
            }
        }
    }
}

/// @return the slots of @p gained that no other process can be using; none until all members have reported the current
/// shares
std::uint32_t SlotLedger::Data::excludeHeldByOthers(const state::ServiceId &id, std::string_view endpoint,
                                                    std::uint32_t gained) const
{
    for (const ProcessId &other : otherMembers()) {
        const auto peer = peers.find(other);
        if (peer == peers.end() || !peer->second.agreedServices.contains(id)) {
            return 0;
        }
        gained &= ~detail::maskOf(detail::slotsOf(peer->second.possiblyHeld, id), endpoint);
    }
    for (const detail::BlockedSlots &blocked : blockedSlots) {
        if (blocked.service == id) {
            gained &= blocked.allSlots ? 0 : ~detail::maskOf(blocked.slots, endpoint);
        }
    }
    return gained;
}

void SlotLedger::Data::updateUsable(const state::ServiceId &id)
{
    detail::ServiceShares &serviceShares = services[id];
    for (auto entry = serviceShares.tracked.begin(); entry != serviceShares.tracked.end();) {
        Endpoint &endpoint = *entry->second;
        const std::uint32_t own = leaving ? 0 : serviceShares.shares.mask(self, endpoint.address);
        const std::uint32_t stillUsable = endpoint.slotWord.usable() & own;
        endpoint.slotWord.setUsable(stillUsable | excludeHeldByOthers(id, endpoint.address, own & ~stillUsable));
        const bool isRemovable
            = serviceShares.listed->find(endpoint.address) == nullptr && endpoint.slotWord.taken() == 0;
        entry = isRemovable ? serviceShares.tracked.erase(entry) : std::next(entry);
    }
}

void SlotLedger::Data::updateAll()
{
    for (const state::ServiceId &id : serviceIds()) {
        updateUsable(id);
    }
}

std::vector<state::ServiceId> SlotLedger::Data::serviceIds() const
{
    std::vector<state::ServiceId> result;
    for (const auto &[id, serviceShares] : services) {
        result.push_back(id);
    }
    return result;
}

void SlotLedger::Data::notifyFreed(const std::vector<state::ServiceId> &changed) const
{
    if (!freedCallback) {
        return;
    }
    for (const state::ServiceId &service : changed) {
        freedCallback(service);
    }
}

void SlotLedger::Data::addLoads(protocol::Gossip &gossip) const
{
    for (const auto &[id, serviceShares] : services) {
        protocol::ServiceLoad load;
        load.service = id;
        load.sharesFingerprint = serviceShares.shares.fingerprint();
        const auto waiting = queued.find(id);
        load.queued
            = waiting == queued.end() ? 0 : static_cast<std::uint32_t>(std::max<std::int64_t>(0, waiting->second));
        for (const auto &endpoint : serviceShares.listed->endpoints) {
            load.idleSlots += endpoint->acceptsRequests() && !leaving ? endpoint->slotWord.freeCount() : 0;
        }
        gossip.loads.push_back(std::move(load));
    }
}

void SlotLedger::Data::addHeld(protocol::Gossip &gossip) const
{
    for (const auto &[id, serviceShares] : services) {
        detail::SlotSet held;
        for (const auto &[address, endpoint] : serviceShares.tracked) {
            const std::uint32_t own = leaving ? 0 : serviceShares.shares.mask(self, address);
            held[address] |= endpoint->slotWord.taken() & ~own;
        }
        // Tells an entry that joins after a removal which slots the removed process may still be using.
        for (const detail::BlockedSlots &blocked : blockedSlots) {
            if (blocked.service != id) {
                continue;
            }
            for (const auto &[address, endpoint] : serviceShares.tracked) {
                const std::uint32_t mask = blocked.allSlots ? ~std::uint32_t{0} >> (32U - endpoint->slots)
                                                            : detail::maskOf(blocked.slots, address);
                held[address] |= mask & ~serviceShares.shares.mask(self, address);
            }
        }
        for (const auto &[address, mask] : held) {
            for (std::uint32_t bits = mask; bits != 0; bits &= bits - 1) {
                gossip.heldForeign.push_back({id, address, static_cast<std::uint32_t>(std::countr_zero(bits))});
            }
        }
    }
}

SlotLedger::SlotLedger(state::EntryId self, std::shared_ptr<const EndpointDirectory> directory,
                       std::shared_ptr<const state::EntrySettings> settings, std::function<bool()> mayAct)
    : m_data(std::make_unique<Data>(std::move(self), std::move(directory), std::move(settings), std::move(mayAct)))
{
}

SlotLedger::~SlotLedger() = default;

void SlotLedger::setFreedCallback(std::function<void(const state::ServiceId &)> freedCallback)
{
    m_data->freedCallback = std::move(freedCallback);
}

void SlotLedger::adopt(std::shared_ptr<const MemberList> members, Clock::time_point now)
{
    Data &data = *m_data;
    std::vector<state::ServiceId> changed;
    {
        const std::lock_guard lock(data.mutex);
        if (members->version <= data.members->version) {
            return;
        }
        const auto previous = std::exchange(data.members, std::move(members));
        data.blockSlotsOfRemoved(*previous, now);
        const bool isOnlyMember = data.otherMembers().empty();
        if (previous->version == 0 && isOnlyMember && data.members->version != detail::firstMemberVersion) {
            // No other member can report which slots earlier processes may still be using.
            data.blockAllSlots(now);
        }
        for (const state::ServiceSettings &service : data.settings->services) {
            data.updateShares(service);
        }
        data.updateAll();
        changed = data.serviceIds();
    }
    data.notifyFreed(changed);
}

void SlotLedger::refresh(Clock::time_point)
{
    Data &data = *m_data;
    std::vector<state::ServiceId> changed;
    {
        const std::lock_guard lock(data.mutex);
        for (const state::ServiceSettings &service : data.settings->services) {
            data.updateShares(service);
        }
        data.updateAll();
        changed = data.serviceIds();
    }
    data.notifyFreed(changed);
}

void SlotLedger::applySettings(std::shared_ptr<const state::EntrySettings> settings, Clock::time_point now)
{
    {
        const std::lock_guard lock(m_data->mutex);
        m_data->settings = std::move(settings);
    }
    refresh(now);
}

void SlotLedger::tick(Clock::time_point now)
{
    Data &data = *m_data;
    std::vector<state::ServiceId> changed;
    {
        const std::lock_guard lock(data.mutex);
        std::erase_if(data.quarantines, [&](const detail::Quarantine &entry) {
            const bool expired = entry.until <= now;
            if (expired) {
                entry.endpoint->slotWord.release(entry.slot);
                changed.push_back(entry.endpoint->service);
            }
            return expired;
        });
        std::erase_if(data.lentSlots, [&](const auto &entry) {
            const bool expired = entry.second.until <= now;
            if (expired) {
                entry.second.endpoint->slotWord.release(entry.second.slot);
                changed.push_back(entry.second.endpoint->service);
            }
            return expired;
        });
        const std::size_t unblockedCount = std::erase_if(data.blockedSlots, [&](const detail::BlockedSlots &entry) {
            return entry.until <= now;
        });
        if (unblockedCount > 0) {
            data.updateAll();
            changed = data.serviceIds();
        }
    }
    data.notifyFreed(changed);
}

void SlotLedger::beginLeaving()
{
    const std::lock_guard lock(m_data->mutex);
    m_data->leaving = true;
    m_data->updateAll();
}

void SlotLedger::fillGossip(protocol::Gossip &gossip) const
{
    const Data &data = *m_data;
    const std::lock_guard lock(data.mutex);
    gossip.memberVersion = data.members->version;
    gossip.leaving = gossip.leaving || data.leaving;
    data.addLoads(gossip);
    data.addHeld(gossip);
}

void SlotLedger::onGossip(const protocol::Gossip &gossip, Clock::time_point)
{
    Data &data = *m_data;
    std::vector<state::ServiceId> changed;
    {
        const std::lock_guard lock(data.mutex);
        const ProcessId from{gossip.from, gossip.incarnation};
        const bool peersFull = data.peers.size() >= detail::peersMax && !data.peers.contains(from);
        if (gossip.from == data.self || peersFull) {
            return;
        }
        Peer &peer = data.peers[from];
        if (gossip.memberVersion < peer.memberVersion) {
            return;
        }
        peer.memberVersion = gossip.memberVersion;
        peer.leaving = peer.leaving || gossip.leaving;
        peer.agreedServices.clear();
        peer.idleSlots.clear();
        std::map<state::ServiceId, std::uint64_t> fingerprints;
        for (const protocol::ServiceLoad &load : gossip.loads) {
            fingerprints[load.service] = load.sharesFingerprint;
            peer.idleSlots[load.service] = load.idleSlots;
        }
        detail::ServiceSlotSets held;
        for (const protocol::SlotId &slot : gossip.heldForeign) {
            if (slot.slot < state::slotsPerEndpointMax) {
                held[slot.service][slot.endpoint] |= 1U << slot.slot;
            }
        }
        for (auto &[id, serviceShares] : data.services) {
            const bool agrees
                = peer.memberVersion == data.members->version && fingerprints[id] == serviceShares.shares.fingerprint();
            if (!agrees && !peer.leaving) {
                continue;
            }
            peer.reportedServices.insert(id);
            peer.agreedServices.insert(id);
            detail::SlotSet &possiblyHeld = peer.possiblyHeld[id];
            possiblyHeld = held[id];
            for (const auto &[address, endpoint] : serviceShares.tracked) {
                const std::uint32_t own = peer.leaving ? 0 : serviceShares.shares.mask(gossip.from, address);
                if (own != 0) {
                    possiblyHeld[address] |= own;
                }
            }
        }
        data.updateAll();
        changed = data.serviceIds();
    }
    data.notifyFreed(changed);
}

std::vector<protocol::Loan> SlotLedger::onBorrow(const protocol::BorrowRequest &request, Clock::time_point now)
{
    Data &data = *m_data;
    if (!data.mayAct()) {
        return {};
    }
    const std::lock_guard lock(data.mutex);
    const state::ServiceSettings *service = findService(*data.settings, request.service);
    const auto serviceShares = data.services.find(request.service);
    const bool valid = service != nullptr && serviceShares != data.services.end() && data.isMember(request.from);
    // After the removal of this entry, the next owner of the slot waits only for requestTimeout and abandonGrace, so
    // the term must not be longer than requestTimeout.
    if (!valid || request.term <= std::chrono::milliseconds{0} || request.term > service->requestTimeout) {
        return {};
    }
    if (data.leaving || data.queued[request.service] > 0) {
        return {};
    }
    std::shared_ptr<Endpoint> best;
    for (const auto &endpoint : serviceShares->second.listed->endpoints) {
        const bool candidate = endpoint->acceptsRequests() && endpoint->slotWord.freeCount() > 0;
        if (candidate && (!best || endpoint->latency.expected(now) < best->latency.expected(now))) {
            best = endpoint;
        }
    }
    const auto slot = best ? best->slotWord.take() : std::nullopt;
    if (!slot) {
        return {};
    }
    const std::uint64_t id = data.nextLoan++;
    data.lentSlots[id] = {best, *slot, now + request.term + service->abandonGrace};
    return {protocol::Loan{id, {request.service, best->address, *slot}}};
}

void SlotLedger::onGiveBack(std::uint64_t loan)
{
    Data &data = *m_data;
    std::vector<state::ServiceId> changed;
    {
        const std::lock_guard lock(data.mutex);
        const auto found = data.lentSlots.find(loan);
        if (found == data.lentSlots.end()) {
            return;
        }
        found->second.endpoint->slotWord.release(found->second.slot);
        changed.push_back(found->second.endpoint->service);
        data.lentSlots.erase(found);
    }
    data.notifyFreed(changed);
}

std::vector<Lender> SlotLedger::lenders(const state::ServiceId &service) const
{
    const Data &data = *m_data;
    std::vector<Lender> result;
    {
        const std::lock_guard lock(data.mutex);
        for (const ProcessId &other : data.otherMembers()) {
            const auto peer = data.peers.find(other);
            if (peer == data.peers.end() || peer->second.leaving) {
                continue;
            }
            const auto idle = peer->second.idleSlots.find(service);
            if (idle != peer->second.idleSlots.end() && idle->second > 0) {
                result.push_back({other.id, idle->second});
            }
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const Lender &a, const Lender &b) {
        return a.idleSlots > b.idleSlots;
    });
    return result;
}

void SlotLedger::updateIdleSlots(const state::ServiceId &service, const state::EntryId &lender, bool granted)
{
    Data &data = *m_data;
    const std::lock_guard lock(data.mutex);
    for (auto &[process, peer] : data.peers) {
        const auto idle = peer.idleSlots.find(service);
        if (process.id == lender && idle != peer.idleSlots.end() && idle->second > 0) {
            idle->second = granted ? idle->second - 1 : 0;
        }
    }
}

void SlotLedger::release(Endpoint &endpoint, std::uint32_t slot)
{
    endpoint.slotWord.release(slot);
    m_data->notifyFreed({endpoint.service});
}

void SlotLedger::quarantine(std::shared_ptr<Endpoint> endpoint, std::uint32_t slot, Clock::time_point now)
{
    Data &data = *m_data;
    const std::lock_guard lock(data.mutex);
    const state::ServiceSettings *service = findService(*data.settings, endpoint->service);
    const auto grace = service == nullptr ? std::chrono::milliseconds{0} : service->abandonGrace;
    data.quarantines.push_back({std::move(endpoint), slot, now + grace});
}

void SlotLedger::addQueued(const state::ServiceId &service, std::int32_t change)
{
    const std::lock_guard lock(m_data->mutex);
    m_data->queued[service] += change;
}

std::uint64_t SlotLedger::adoptedVersion() const
{
    const std::lock_guard lock(m_data->mutex);
    return m_data->members->version;
}

} // namespace heatherquay::coordination
