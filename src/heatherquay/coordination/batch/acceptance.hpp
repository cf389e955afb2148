#pragma once

#include "heatherquay/coordination/batch/job_board.hpp"
#include "heatherquay/coordination/batch/layout.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"
#include "heatherquay/protocol/wait.hpp"

#include <chrono>

namespace heatherquay::coordination::batch
{

enum class AcceptOutcome
{
    Accepted, ///< Stored, now or before under the same id.
    NotStored, ///< Certainly not stored by this call.
    Unknown ///< May be stored, also later.
};

enum class CancelOutcome
{
    Recorded,
    NoSuchJob,
    NotRecorded
};

struct AcceptanceTimes
{
    std::chrono::milliseconds call{1'000}; ///< For one call to the store; a slow store takes half a second.
    std::chrono::milliseconds retryPause{40};
};

/// Stores jobs and cancellations exactly once by id.
template<protocol::batch::RowStore Store>
class Acceptance
{
public:
    using Clock = std::chrono::steady_clock;

    Acceptance(Store &store, AcceptanceTimes times = {})
        : m_store(store)
        , m_times(times)
    {
    }

    /// Stores a job. A lost answer is followed by the same transaction, which succeeds once.
    /// @param deadline after which no further try is made
    boost::asio::awaitable<AcceptOutcome> submit(const state::batch::JobSpec &job, Clock::time_point deadline)
    {
        protocol::batch::RowTransaction transaction;
        transaction.conditions.push_back({jobRow(job.id), 0});
        transaction.puts.push_back({jobRow(job.id), protocol::batch::encodeJob(job)});
        transaction.puts.push_back({intakeRow(job.id), encodeIntake({job.queue, false})});
        bool mayBeStored = false;
        while (true) {
            const auto commit = co_await m_store.transact(transaction, callTimeout(deadline));
            if (commit.status == protocol::CommitStatus::Committed
                || commit.status == protocol::CommitStatus::Conflict) {
                co_return AcceptOutcome::Accepted;
            }
            mayBeStored = mayBeStored || commit.status == protocol::CommitStatus::Unknown;
            // A store that refuses is left to the caller, who can try another entry at once.
            if (!mayBeStored || Clock::now() + m_times.retryPause >= deadline) {
                break;
            }
            co_await protocol::waitFor(m_times.retryPause);
        }
        co_return mayBeStored ? AcceptOutcome::Unknown : AcceptOutcome::NotStored;
    }

    /// Records that a job is to be cancelled.
    boost::asio::awaitable<CancelOutcome> cancel(const state::JobId &job, Clock::time_point deadline)
    {
        while (Clock::now() < deadline) {
            const auto found = co_await readIntake(job, deadline);
            if (found.ok && !found.row) {
                co_return CancelOutcome::NoSuchJob;
            }
            if (found.ok) {
                IntakeRecord record = decodeIntake(found.row->value);
                if (record.cancelWanted) {
                    co_return CancelOutcome::Recorded;
                }
                record.cancelWanted = true;
                protocol::batch::RowTransaction transaction;
                transaction.conditions.push_back({found.row->key, found.row->version});
                transaction.puts.push_back({found.row->key, encodeIntake(record)});
                const auto commit = co_await m_store.transact(transaction, callTimeout(deadline));
                if (commit.status == protocol::CommitStatus::Committed) {
                    co_return CancelOutcome::Recorded;
                }
                if (commit.status == protocol::CommitStatus::Conflict) {
                    continue; // Read again: another cancellation, or the job was forgotten.
                }
                if (commit.status == protocol::CommitStatus::NotCommitted) {
                    co_return CancelOutcome::NotRecorded;
                }
            } else {
                co_return CancelOutcome::NotRecorded;
            }
            co_await protocol::waitFor(m_times.retryPause);
        }
        co_return CancelOutcome::NotRecorded;
    }

    struct Found
    {
        bool ok{}; ///< The store answered.
        std::optional<protocol::batch::StoredRow> row;
    };
    /// Looks in the store itself whether a job was accepted.
    boost::asio::awaitable<Found> readIntake(const state::JobId &job, Clock::time_point deadline)
    {
        const protocol::batch::RowRange range{boardTable, intakePart, job.value, 1};
        const auto page = co_await m_store.read(range, callTimeout(deadline));
        Found found;
        found.ok = page.ok;
        if (page.ok && !page.rows.empty() && page.rows.front().key.key == job.value) {
            found.row = page.rows.front();
        }
        co_return found;
    }

private:
    std::chrono::milliseconds callTimeout(Clock::time_point deadline) const
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        return std::clamp(left, std::chrono::milliseconds(1), m_times.call);
    }

    Store &m_store;
    AcceptanceTimes m_times;
};

} // namespace heatherquay::coordination::batch
