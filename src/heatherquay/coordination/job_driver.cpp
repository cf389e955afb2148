#include "heatherquay/coordination/job_driver_impl.hpp"

namespace heatherquay::coordination
{

template class JobDriver<protocol::WorkerClient>;

} // namespace heatherquay::coordination
