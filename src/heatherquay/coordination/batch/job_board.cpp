#include "heatherquay/coordination/batch/job_board.hpp"

#include "heatherquay/coordination/batch/layout.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"
#include "heatherquay/protocol/json_fields.hpp"
#include "heatherquay/transport/log.hpp"

#include <algorithm>

namespace heatherquay::coordination::batch
{

std::string encodeIntake(const IntakeRecord &record)
{
    boost::json::object json;
    json["queue"] = record.queue;
    json["cancel"] = record.cancelRequested;
    if (!record.team.value.empty()) {
        json["team"] = record.team.value;
    }
    if (record.withdrawn) {
        json["withdrawn"] = true;
    }
    return boost::json::serialize(json);
}

IntakeRecord decodeIntake(const std::string &text)
{
    boost::system::error_code error;
    const boost::json::value json = boost::json::parse(text, error);
    if (error) {
        throw Error(ErrorKind::BadInput, "intake record is not JSON: " + error.message(),
                    "remove the row, or restore a JSON object with the string \"queue\", the optional booleans "
                    "\"cancel\" and \"withdrawn\" and the optional string \"team\"");
    }
    IntakeRecord record;
    protocol::detail::FieldReader reader(json, "intake");
    reader("queue", record.queue);
    reader.optional("cancel", record.cancelRequested);
    reader.optional("team", record.team.value);
    reader.optional("withdrawn", record.withdrawn);
    return record;
}

std::optional<state::JobId> JobBoard::applyRow(const protocol::batch::StoredRow &row)
{
    const state::JobId job{row.key.key};
    const auto intake = intakePartIndex(row.key.part);
    if (row.removed) {
        const auto found = m_jobs.find(job);
        if (found == m_jobs.end()) {
            return job;
        }
        // The rows of a job are removed one after the other, and a new job may have taken the id in between.
        BoardEntry &entry = found->second;
        if (intake) {
            entry.intakeParts.reset(*intake);
            entry.withdrawnParts.reset(*intake);
            entry.accepted = entry.intakeParts.any();
        } else {
            entry.statusVersion = 0;
            entry.state = state::batch::JobState::Queued;
        }
        if (!entry.accepted && entry.withdrawnParts.none() && entry.statusVersion == 0) {
            m_jobs.erase(found);
        }
        return job;
    }
    try {
        if (intake) {
            const IntakeRecord record = decodeIntake(row.value);
            BoardEntry &entry = m_jobs[job];
            if (record.withdrawn) {
                entry.withdrawnParts.set(*intake);
                return job;
            }
            entry.withdrawnParts.reset(*intake);
            entry.queue = record.queue;
            entry.team = record.team;
            // A second row of the job, in another part, does not revoke a cancellation that the first one holds.
            const bool otherRow = entry.accepted && !entry.intakeParts.test(*intake);
            entry.cancelRequested = record.cancelRequested || (otherRow && entry.cancelRequested);
            entry.intakeParts.set(*intake);
            entry.accepted = true;
        } else {
            const state::batch::JobStatus status = protocol::batch::decodeStatus(job, row.value);
            BoardEntry &entry = m_jobs[job];
            entry.queue = status.queue;
            entry.state = status.state;
            entry.statusVersion = row.version;
        }
    } catch (const Error &error) {
        transport::log(transport::LogLevel::Error, "board-row-unreadable",
                       {{"job", job.value}, {"part", row.key.part}, {"error", error.what()}});
        return std::nullopt;
    }
    return job;
}

std::optional<BoardEntry> JobBoard::find(const state::JobId &job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? std::nullopt : std::optional(found->second);
}

std::uint32_t JobBoard::queuedJobCount(const std::string &queue) const
{
    std::uint32_t count = 0;
    for (const auto &[id, entry] : m_jobs) {
        const bool waits = entry.accepted && !entry.cancelRequested && entry.state == state::batch::JobState::Queued;
        count += waits && entry.queue == queue ? 1 : 0;
    }
    return count;
}

std::size_t JobBoard::jobCount(const state::TeamId &team) const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&team](const auto &job) {
        return job.second.team == team;
    }));
}

} // namespace heatherquay::coordination::batch
