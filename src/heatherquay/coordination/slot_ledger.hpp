#pragma once

#include "heatherquay/coordination/endpoint_directory.hpp"
#include "heatherquay/coordination/member_list.hpp"
#include "heatherquay/protocol/peer_messages.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace heatherquay::coordination
{

/// Another entry that may lend slots.
struct Lender
{
    state::EntryId id;
    std::uint32_t idleSlots{}; ///< From its last report.
};

/// Tracks which endpoint slots this entry may use. Requests take and release slots in the SlotWord of an endpoint
/// without a lock. The ledger updates the set of usable slots there under its mutex, which requests lock only for
/// loans, quarantines and the count of waiting requests.
///
/// A slot that the member and endpoint lists assign to this entry becomes usable once every other member has reported
/// the same lists (member version and shares fingerprint) and does not hold the slot, and once no removed member can
/// still hold it. All members must agree, not only the previous owner, because an entry that skipped a version of the
/// list does not know who owned the slot in between.
class SlotLedger
{
public:
    using Clock = std::chrono::steady_clock;

    /// @param mayAct returns whether this entry has the authority to lend slots; called from any thread
    SlotLedger(state::EntryId self, std::shared_ptr<const EndpointDirectory> directory,
               std::shared_ptr<const state::EntrySettings> settings, std::function<bool()> mayAct);
    ~SlotLedger();
    SlotLedger(const SlotLedger &) = delete;
    SlotLedger &operator=(const SlotLedger &) = delete;

    /// @param freedCallback called from any thread when slots of a service may have become free; set it before
    /// other threads use the ledger
    void setFreedCallback(std::function<void(const state::ServiceId &)> freedCallback);

    /// Switches to a newer member list and recomputes the shares of all services. Ignores a list that is not newer.
    void adopt(std::shared_ptr<const MemberList> members, Clock::time_point now = Clock::now());
    /// Recomputes the shares after a change of the directory or the settings.
    void refresh(Clock::time_point now = Clock::now());
    /// Replaces the settings and recomputes the shares.
    void applySettings(std::shared_ptr<const state::EntrySettings> settings, Clock::time_point now = Clock::now());
    /// Ends expired quarantines and loans, and unblocks the slots of members that were removed long enough ago. Call it
    /// several times per second.
    void tick(Clock::time_point now = Clock::now());
    /// Makes all slots unusable for new requests, because this entry shuts down. Gossip reports the slots still in use,
    /// so that other entries can take over the rest.
    void beginLeaving();

    /// Fills in the fields memberVersion, loads, heldForeign and leaving of a gossip message.
    void fillGossip(protocol::Gossip &gossip) const;
    /// Applies the report of another process. A slot may become usable as a result.
    void onGossip(const protocol::Gossip &gossip, Clock::time_point now = Clock::now());
    /// Lends a free slot to another entry.
    /// @return at most one loan; none if this entry has no authority, the request is invalid, no slot is idle, or
    /// requests of this entry wait for a slot
    std::vector<protocol::Loan> onBorrow(const protocol::BorrowRequest &request, Clock::time_point now = Clock::now());
    /// Releases the slot of a loan. Ignores an unknown or expired loan.
    void onGiveBack(std::uint64_t loan);

    /// @return members that reported idle slots of @p service, in descending order of idle slots
    std::vector<Lender> lenders(const state::ServiceId &service) const;
    /// Adjusts the idle slot count of @p lender after a borrow request, until its next report replaces the count.
    /// @param granted whether the lender granted the loan; a refusal sets the count to 0
    void updateIdleSlots(const state::ServiceId &service, const state::EntryId &lender, bool granted);
    /// Releases an own slot after its request got a response or was never sent.
    void release(Endpoint &endpoint, std::uint32_t slot);
    /// Keeps an own slot taken for the abandon_grace of the service, because its request may still be running.
    void quarantine(std::shared_ptr<Endpoint> endpoint, std::uint32_t slot, Clock::time_point now = Clock::now());
    /// Changes the number of waiting requests that gossip reports.
    /// @param change added to the number
    void addQueued(const state::ServiceId &service, std::int32_t change);
    /// @return version of the current member list, 0 before the first one
    std::uint64_t adoptedVersion() const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace heatherquay::coordination
