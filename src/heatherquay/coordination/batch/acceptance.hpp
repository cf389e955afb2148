#pragma once

#include "heatherquay/coordination/batch/intake_parts.hpp"
#include "heatherquay/coordination/batch/job_board.hpp"
#include "heatherquay/coordination/batch/layout.hpp"
#include "heatherquay/coordination/batch/queue_table.hpp"
#include "heatherquay/coordination/batch/store_health.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"
#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/log.hpp"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherquay::coordination::batch
{

/// Result of storing a submitted job.
enum class AcceptOutcome
{
    Accepted, ///< The job is stored, by this or by an earlier call with the same id.
    IdTaken, ///< The id belongs to a job that the caller may not access; this job is not stored.
    Withdrawn, ///< The job was cancelled before it was stored; it is not stored and will not be stored later.
    NotStored, ///< This call did not store the job and will not store it later.
    Unknown ///< The job may be stored already or may still be stored later.
};

/// Result of recording a cancellation request.
enum class CancelOutcome
{
    Recorded,
    NoSuchJob, ///< No job has the id, and no earlier submission of it is stored later.
    NotRecorded ///< The store did not confirm the request, which may still take effect; a retry is safe.
};

/// Timeouts of calls to the store.
struct AcceptanceTimes
{
    std::chrono::milliseconds callTimeout{1'000}; ///< Per call; a slow store takes half a second.
    /// Per attempt to store a job while there is another part to try; a slow store takes half a second.
    std::chrono::milliseconds partTimeout{600};
    std::chrono::milliseconds retryDelay{40}; ///< Pause between two attempts.
};

/// Where the rows of a job are in the store.
struct IntakeRouting
{
    std::uint32_t parts{1}; ///< Number of parts over which new jobs are spread, from 1 to intakePartsMax.
    /// Returns the part that holds a job, if it is known; may be empty. Finds the jobs that were stored with another
    /// number of parts.
    std::function<std::optional<std::string>(const state::JobId &)> findPart;
};

/// Stores jobs and cancellation requests idempotently by job id.
template<protocol::batch::RowStore Store>
class Acceptance
{
public:
    using Clock = std::chrono::steady_clock;

    Acceptance(Store &store, AcceptanceTimes times = {}, IntakeRouting routing = {})
        : m_store(store)
        , m_times(times)
        , m_routing(std::move(routing))
    {
    }

    /// Stores a job. When an answer is lost, the same conditional transaction is sent again; it takes effect once in
    /// each part. A part that does not answer is followed by the next one; the decider runs a job that several parts
    /// hold once.
    /// @param mayAccess whether the caller may access the jobs of an owner, for the case that the id is in use
    /// @param deadline no retry starts after this time
    template<std::predicate<const JobOwner &> Access>
    boost::asio::awaitable<AcceptOutcome> submit(const state::batch::JobSpec &job, Access mayAccess,
                                                 Clock::time_point deadline)
    {
        const std::vector<std::string> parts = m_health.silentLast(partsOf(job.id), Clock::now());
        std::map<std::string, std::uint64_t> strayIntakeRows; // Versions of intake rows without a job, by part.
        bool mayBeStored = false;
        for (std::size_t attempt = 0;; ++attempt) {
            const std::string &part = parts[attempt % parts.size()];
            const auto timeout
                = std::min(remainingCallTime(deadline), parts.size() > 1 ? m_times.partTimeout : m_times.callTimeout);
            const auto commit = co_await m_store.transact(storeTransaction(job, part, strayIntakeRows[part]), timeout);
            noteCall(part, commit.status != protocol::CommitStatus::Unknown, timeout);
            if (commit.status == protocol::CommitStatus::Committed) {
                co_return AcceptOutcome::Accepted;
            }
            if (commit.status == protocol::CommitStatus::Conflict) {
                const auto stored = storedRow(commit.current, jobRow(job.id, part));
                if (stored) {
                    const auto owner = ownerOf(*stored);
                    co_return !owner || mayAccess(*owner) ? AcceptOutcome::Accepted : AcceptOutcome::IdTaken;
                }
                const auto intake = storedRow(commit.current, intakeRow(job.id, part));
                if (intake && isWithdrawn(*intake)) {
                    // An attempt in another part may still take effect before the cancellation reaches that part.
                    const bool openElsewhere = mayBeStored && parts.size() > 1;
                    co_return openElsewhere ? AcceptOutcome::Unknown : AcceptOutcome::Withdrawn;
                }
                // Only the row proves that the job is stored. The next attempt resolves the contradiction.
                mayBeStored = mayBeStored || !intake;
                strayIntakeRows[part] = intake ? intake->version : 0;
            }
            mayBeStored = mayBeStored || commit.status == protocol::CommitStatus::Unknown;
            // After a definite failure the caller can try another entry process at once.
            const bool definite = !mayBeStored && commit.status != protocol::CommitStatus::Conflict;
            if (definite || Clock::now() + m_times.retryDelay >= deadline) {
                break;
            }
            co_await protocol::waitFor(m_times.retryDelay);
        }
        co_return mayBeStored ? AcceptOutcome::Unknown : AcceptOutcome::NotStored;
    }

    /// Records a request to cancel a job. Where no job is stored, it makes sure that an earlier submission whose
    /// outcome is open, for example one that a suspended process or the store carries out late, does not store it
    /// afterwards.
    /// @param mayAccess whether the caller may cancel the jobs of an owner; other jobs do not exist for it
    /// @param deadline no attempt starts after this time
    template<std::predicate<const JobOwner &> Access>
    boost::asio::awaitable<CancelOutcome> cancel(const state::JobId &job, Access mayAccess, Clock::time_point deadline)
    {
        while (Clock::now() < deadline) {
            const auto found = co_await readIntake(job, deadline);
            if (found.ok && !found.row) {
                const auto withdrawn = co_await withdraw(job, deadline);
                if (withdrawn == protocol::CommitStatus::Committed) {
                    co_return CancelOutcome::NoSuchJob;
                }
                if (withdrawn == protocol::CommitStatus::NotCommitted) {
                    co_return CancelOutcome::NotRecorded;
                }
            } else if (found.ok) {
                IntakeRecord record = decodeIntake(found.row->value);
                if (!mayAccess(JobOwner{record.queue, record.team})) {
                    co_return CancelOutcome::NoSuchJob;
                }
                if (record.cancelRequested) {
                    co_return CancelOutcome::Recorded;
                }
                record.cancelRequested = true;
                protocol::batch::RowTransaction transaction;
                transaction.conditions.push_back({found.row->key, found.row->version});
                transaction.puts.push_back({found.row->key, encodeIntake(record)});
                const auto commit = co_await m_store.transact(transaction, remainingCallTime(deadline));
                if (commit.status == protocol::CommitStatus::Committed) {
                    co_return CancelOutcome::Recorded;
                }
                if (commit.status == protocol::CommitStatus::Conflict) {
                    continue; // The row changed: another cancellation, or the job was purged.
                }
                if (commit.status == protocol::CommitStatus::NotCommitted) {
                    co_return CancelOutcome::NotRecorded;
                }
            } else {
                co_return CancelOutcome::NotRecorded;
            }
            co_await protocol::waitFor(m_times.retryDelay);
        }
        co_return CancelOutcome::NotRecorded;
    }

    /// Result of reading a job's intake row.
    struct IntakeLookup
    {
        bool ok{}; ///< The store answered.
        std::optional<protocol::batch::StoredRow> row; ///< Empty when the job is unknown.
    };
    /// Reads a job's intake row from the store instead of the local mirror.
    boost::asio::awaitable<IntakeLookup> readIntake(const state::JobId &job, Clock::time_point deadline)
    {
        // A job that the board does not show yet can be in each of the parts.
        IntakeLookup found;
        found.ok = true;
        for (const std::string &part : partsOf(job)) {
            const protocol::batch::RowRange range{boardTable, part, job.value, 1};
            const auto page = co_await m_store.read(range, remainingCallTime(deadline));
            found.ok = found.ok && page.ok;
            if (page.ok && !page.rows.empty() && page.rows.front().key.key == job.value) {
                if (isWithdrawn(page.rows.front())) {
                    continue;
                }
                found.ok = true;
                found.row = page.rows.front();
                break;
            }
        }
        co_return found;
    }

    /// @return the number of intake parts that left the latest call of this process unanswered, a short time ago
    std::size_t silentPartCount() const
    {
        const std::vector<std::string> parts = intakePartNames();
        return static_cast<std::size_t>(std::count_if(parts.begin(), parts.end(), [this](const std::string &part) {
            return m_health.silent(part, Clock::now());
        }));
    }

private:
    /// @return the only part that holds a known job; for other jobs all parts, in the order in which they are tried
    std::vector<std::string> partsOf(const state::JobId &job) const
    {
        const auto known = m_routing.findPart ? m_routing.findPart(job) : std::nullopt;
        return known ? std::vector<std::string>{*known} : orderIntakeParts(job, m_routing.parts);
    }

    /// Stores a row in each part that can take the job, so that no submission stores it from now on.
    /// @return Committed when all parts have it; Conflict when another row has appeared meanwhile, which may be that of
    /// the job; NotCommitted when the store rejected the call; Unknown when it did not answer
    boost::asio::awaitable<protocol::CommitStatus> withdraw(const state::JobId &job, Clock::time_point deadline)
    {
        IntakeRecord record;
        record.cancelRequested = true;
        record.withdrawn = true;
        for (const std::string &part : orderIntakeParts(job, m_routing.parts)) {
            protocol::batch::RowTransaction transaction;
            transaction.conditions.push_back({jobRow(job, part), 0});
            transaction.conditions.push_back({intakeRow(job, part), 0});
            transaction.puts.push_back({intakeRow(job, part), encodeIntake(record)});
            const auto commit = co_await m_store.transact(transaction, remainingCallTime(deadline));
            const auto present = storedRow(commit.current, intakeRow(job, part));
            const bool stored
                = commit.status == protocol::CommitStatus::Committed || (present && isWithdrawn(*present));
            if (!stored) {
                co_return commit.status;
            }
        }
        co_return protocol::CommitStatus::Committed;
    }

    /// @param strayIntakeRow version of an intake row without a job, which is replaced; 0 for none
    static protocol::batch::RowTransaction storeTransaction(const state::batch::JobSpec &job, const std::string &part,
                                                            std::uint64_t strayIntakeRow)
    {
        protocol::batch::RowTransaction transaction;
        transaction.conditions.push_back({jobRow(job.id, part), 0});
        transaction.conditions.push_back({intakeRow(job.id, part), strayIntakeRow});
        transaction.puts.push_back({jobRow(job.id, part), protocol::batch::encodeJob(job)});
        transaction.puts.push_back({intakeRow(job.id, part), encodeIntake({job.queue, false, job.team})});
        return transaction;
    }

    void noteCall(const std::string &part, bool answered, std::chrono::milliseconds timeout)
    {
        if (!answered && timeout < m_times.partTimeout) {
            return; // Cut short by the caller's deadline, which says nothing about the store.
        }
        const auto now = Clock::now();
        if (m_routing.parts > 1 && m_health.silent(part, now) == answered) {
            transport::log(transport::LogLevel::Warn, answered ? "part-answers" : "part-silent", {{"part", part}});
        }
        m_health.noteCall(part, answered || m_routing.parts == 1, now);
    }

    static std::optional<protocol::batch::StoredRow> storedRow(const std::vector<protocol::batch::StoredRow> &rows,
                                                               const protocol::batch::RowKey &key)
    {
        const auto found = std::find_if(rows.begin(), rows.end(), [&key](const protocol::batch::StoredRow &row) {
            return row.key == key && !row.removed;
        });
        return found == rows.end() ? std::nullopt : std::optional(*found);
    }

    /// @return whether the intake row is that of a job which was cancelled before it was stored
    static bool isWithdrawn(const protocol::batch::StoredRow &row)
    {
        try {
            return decodeIntake(row.value).withdrawn;
        } catch (const Error &) {
            return false;
        }
    }

    /// @return nothing when the row is not readable
    static std::optional<JobOwner> ownerOf(const protocol::batch::StoredRow &row)
    {
        try {
            const state::batch::JobSpec stored = protocol::batch::decodeJob(row.value);
            return JobOwner{stored.queue, stored.team};
        } catch (const Error &) {
            return std::nullopt;
        }
    }

    std::chrono::milliseconds remainingCallTime(Clock::time_point deadline) const
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        return std::clamp(left, std::chrono::milliseconds(1), m_times.callTimeout);
    }

    Store &m_store;
    AcceptanceTimes m_times;
    IntakeRouting m_routing;
    StoreHealth m_health; ///< Not used with one part.
};

} // namespace heatherquay::coordination::batch
