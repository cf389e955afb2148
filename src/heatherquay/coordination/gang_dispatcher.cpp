#include "heatherquay/coordination/gang_dispatcher_impl.hpp"

namespace heatherquay::coordination
{

template class GangDispatcher<protocol::WorkerClient>;

} // namespace heatherquay::coordination
