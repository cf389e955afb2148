#pragma once

#include "heatherquay/coordination/endpoint_directory.hpp"
#include "heatherquay/state/entry_settings.hpp"

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

namespace heatherquay::coordination
{

/// Ejects endpoints of one service after consecutive failures and readmits them after a successful probe.
class OutlierEjection : public std::enable_shared_from_this<OutlierEjection>
{
public:
    /// @param readmitted called after an endpoint has been readmitted
    OutlierEjection(boost::asio::any_io_executor executor, std::function<void()> readmitted);

    /// Resets the count of consecutive failures.
    void onSuccess(Endpoint &endpoint);
    /// Counts a failure and ejects the endpoint after settings.ejectAfterFailures consecutive failures, unless the
    /// ejected share of @p all would exceed settings.ejectedShareMax.
    void onFailure(const std::shared_ptr<Endpoint> &endpoint, const ServiceEndpoints &all,
                   const state::ServiceSettings &settings);
    /// Stops ejecting endpoints and probing ejected ones.
    void stop();

private:
    boost::asio::awaitable<void> probeUntilServing(std::shared_ptr<Endpoint> endpoint, state::ServiceSettings settings);

    boost::asio::any_io_executor m_executor;
    std::function<void()> m_readmitted;
    std::atomic<bool> m_stopped{false};
};

} // namespace heatherquay::coordination
