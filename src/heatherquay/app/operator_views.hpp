#pragma once

#include <ostream>
#include <string>

namespace heatherquay::app
{

// These functions print a JSON response of the operator interface in a readable form. Missing keys are printed as
// empty. Each function throws Error(Internal) if the text is not a JSON object.

void printStatus(const std::string &text, std::ostream &out);
void printJobs(const std::string &text, std::ostream &out);
void printJob(const std::string &text, std::ostream &out);
void printTeams(const std::string &text, std::ostream &out);
void printWorkers(const std::string &text, std::ostream &out);
void printPlan(const std::string &text, std::ostream &out);
void printConfirmation(const std::string &text, std::ostream &out);
void printBurn(const std::string &text, std::ostream &out);

/// @return the title and detail of a problem+json body, or the body itself if it has another format
std::string describeProblem(const std::string &text);

} // namespace heatherquay::app
