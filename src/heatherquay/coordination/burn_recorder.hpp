#pragma once

#include "heatherquay/coordination/burn_report.hpp"
#include "heatherquay/coordination/request_record.hpp"
#include "heatherquay/state/entry_settings.hpp"

#include <chrono>
#include <memory>
#include <vector>

namespace heatherquay::coordination
{

/// Counts the requests of this entry per service and team in latency histograms, one for each burn window. Thread-safe:
/// concurrent requests contend only for the lock of their service and team, except for the first request of a team.
class BurnRecorder
{
public:
    /// @param services the services to count. Their latency targets become bin edges, so that slow requests are counted
    /// exactly.
    explicit BurnRecorder(const std::vector<state::ServiceSettings> &services);
    ~BurnRecorder();

    /// Counts a request.
    /// @param now monotonic time, for example since the start of the process
    void record(const RequestRecord &request, std::chrono::seconds now);
    /// @return the counts of all series; @p now has the same origin as for record()
    BurnSnapshot snapshot(std::chrono::seconds now) const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

/// @return whether the request counts against the success objective. Server errors, rejections for overload (429) and
/// unknown outcomes do, other client errors do not.
bool isFailure(const RequestRecord &request);

} // namespace heatherquay::coordination
