#pragma once

#include "heatherquay/state/entry_settings.hpp"

#include <chrono>
#include <functional>
#include <vector>

namespace heatherquay::coordination
{

struct MembershipOptions
{
    state::EntryId self;
    std::string peerAddress; ///< Address at which peers reach this entry.
    std::vector<state::PeerSettings> seeds; ///< Peers to exchange gossip with before this entry has joined.
    state::MembershipSettings timing;
    std::chrono::milliseconds pollInterval{1'000}; ///< Time between two reads of the member list.
    std::chrono::milliseconds joinPollInterval{250}; ///< Used instead of pollInterval while this entry is not a member.
    std::chrono::milliseconds renewRetryDelay{250}; ///< Delay after a failed renewal.
    std::chrono::milliseconds tickInterval{100}; ///< Time between two checks for a pause of the process.
    std::chrono::milliseconds pauseThreshold{1'000}; ///< A longer time between two ticks counts as a pause.
    std::function<std::chrono::steady_clock::time_point()> clock = std::chrono::steady_clock::now;
};

/// @return the options for an entry with these settings
MembershipOptions membershipOptions(const state::EntrySettings &settings);

} // namespace heatherquay::coordination
