#pragma once

#include "heatherquay/state/batch/progress.hpp"

#include <string>
#include <vector>

namespace heatherquay::protocol::batch
{

/// @return the job as JSON text for a row
std::string encodeJob(const state::batch::JobSpec &job);
/// @throws Error(BadInput) when @p text is not an encoded job
state::batch::JobSpec decodeJob(const std::string &text);

/// @return the progress of an occurrence as JSON text for a row
std::string encodeOccurrence(const state::batch::OccurrenceRecord &record);
/// @throws Error(BadInput) when @p text is not an encoded record
state::batch::OccurrenceRecord decodeOccurrence(const std::string &text);

/// @return the position in a job's schedule as JSON text for a row
std::string encodeSchedule(const state::batch::ScheduleRecord &record);
/// @throws Error(BadInput) when @p text is not an encoded record
state::batch::ScheduleRecord decodeSchedule(const std::string &text);

/// @return the status as JSON text, without the job id, which is the key of the row
std::string encodeStatus(const state::batch::JobStatus &status);
/// @throws Error(BadInput) when @p text is not an encoded status
state::batch::JobStatus decodeStatus(const state::JobId &job, const std::string &text);

/// @return the learned worker speeds and run estimates as JSON text for a row
std::string encodeLearned(const state::batch::LearnedRecord &learned);
/// @throws Error(BadInput) when @p text is not an encoded record
state::batch::LearnedRecord decodeLearned(const std::string &text);

/// @return the learned distributions of run times as JSON text for a row
std::string encodeRunTimes(const state::batch::RunTimesRecord &record);
/// @throws Error(BadInput) when @p text is not an encoded record
state::batch::RunTimesRecord decodeRunTimes(const std::string &text);

} // namespace heatherquay::protocol::batch
