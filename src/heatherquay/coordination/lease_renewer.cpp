#include "heatherquay/coordination/lease_renewer_impl.hpp"

namespace heatherquay::coordination
{

template class LeaseRenewer<protocol::WorkerClient>;

} // namespace heatherquay::coordination
