#include "heatherquay/coordination/membership_settings.hpp"

namespace heatherquay::coordination
{

MembershipOptions membershipOptions(const state::EntrySettings &settings)
{
    MembershipOptions options;
    options.self = settings.id;
    options.peerAddress = settings.peerAddress;
    options.seeds = settings.peers;
    options.timing = settings.membership;
    return options;
}

} // namespace heatherquay::coordination
