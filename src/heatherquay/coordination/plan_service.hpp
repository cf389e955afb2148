#pragma once

#include "heatherquay/coordination/journal_settings.hpp"
#include "heatherquay/coordination/plan.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/protocol/table.hpp"
#include "heatherquay/transport/log.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination
{

/// Journal interface that PlanService uses. It also requires read(F), which calls F with the state machine.
template<typename J>
concept PlanJournal = requires(J journal, const J constJournal, Proposal proposal, std::string id)
{
    {
        journal.commit(proposal)
        } -> std::same_as<boost::asio::awaitable<CommitOutcome>>;
    {
        constJournal.number()
        } -> std::same_as<std::uint64_t>;
    {
        constJournal.find(id)
        } -> std::same_as<std::optional<std::uint64_t>>;
    {
        constJournal.ready()
        } -> std::same_as<bool>;
};

/// Result of a confirmation.
struct Confirmation
{
    std::uint64_t journalNumber{};
    bool repeated{}; ///< The plan had already been confirmed.
};

/// Creates plans from intents and commits confirmed plans. Plans are stored in the table, so that any entry can confirm
/// them.
/// @tparam J the journal
/// @tparam T the table service
template<PlanJournal J, protocol::Table T>
class PlanService
{
public:
    /// @param lifetime how long a plan can be confirmed
    PlanService(J &journal, T table, state::Duration lifetime)
        : m_journal(journal)
        , m_table(std::move(table))
        , m_lifetime(lifetime)
    {
    }

    /// Creates a plan. The plan of an intent that is not admitted is not stored and cannot be confirmed.
    /// @throws Error(Unavailable) if the plan cannot be stored or the state has not been loaded
    boost::asio::awaitable<Plan> propose(state::Intent intent)
    {
        requireLoadedState();
        Plan plan;
        plan.id = {newPlanId()};
        plan.journalNumber = m_journal.number();
        plan.expiresAt = now() + m_lifetime;
        m_journal.read([&plan, &intent](const state::Cluster &cluster) {
            plan.outcome = cluster.preview(intent, now());
            plan.basis = collectBasis(cluster, intent, plan.outcome);
        });
        plan.intent = std::move(intent);
        if (plan.outcome.admitted) {
            co_await storePlan(plan);
        }
        co_return plan;
    }

    /// Commits a plan unless the objects that it is based on have changed. Idempotent, because the plan's id is the id
    /// of the journal record.
    /// @throws Error(NotFound) for an unknown plan, Error(Conflict) if the plan is out of date or has expired,
    /// Error(Unavailable) if nothing was committed, Error(OutcomeUnknown) if the plan may have been committed
    boost::asio::awaitable<Confirmation> confirm(state::PlanId id)
    {
        requireLoadedState();
        if (const auto earlier = m_journal.find(id.value)) {
            co_return Confirmation{*earlier, true};
        }
        const Plan plan = co_await loadPlan(id);
        for (int attempt = 0; attempt < commitAttemptsMax; ++attempt) {
            if (const auto earlier = m_journal.find(id.value)) {
                co_return Confirmation{*earlier, true};
            }
            const CommitOutcome outcome = co_await m_journal.commit(makeProposal(plan));
            switch (outcome.status) {
            case protocol::CommitStatus::Committed:
                logConfirmed(plan, outcome);
                co_return Confirmation{outcome.number, outcome.repeated};
            case protocol::CommitStatus::Conflict:
                continue; // Another record was committed first; check the plan against the new state.
            case protocol::CommitStatus::NotCommitted:
                throw Error(ErrorKind::Unavailable, "the plan was not committed: " + outcome.reason,
                            "confirm the plan again later");
            case protocol::CommitStatus::Unknown:
                throw Error(ErrorKind::OutcomeUnknown, "it is unknown whether the plan was committed",
                            "confirm the plan again; a plan is committed only once");
            }
        }
        throw Error(ErrorKind::Unavailable, "other records were committed during each attempt to commit the plan",
                    "confirm the plan again");
    }

private:
    static constexpr int commitAttemptsMax = 8;

    static state::Instant now()
    {
        return std::chrono::time_point_cast<state::Duration>(std::chrono::system_clock::now());
    }

    static std::string newPlanId()
    {
        std::random_device source;
        std::string id = "p";
        for (int i = 0; i < 16; ++i) {
            id += "0123456789abcdef"[source() % 16];
        }
        return id;
    }

    void requireLoadedState() const
    {
        if (!m_journal.ready()) {
            throw Error(ErrorKind::Unavailable, "this entry has not loaded the state yet",
                        "send the request to another entry or retry later");
        }
    }

    /// Checks the plan against the current state.
    /// @return the proposal that commits the plan
    /// @throws Error(Conflict) if the plan has expired or is out of date
    Proposal makeProposal(const Plan &plan) const
    {
        if (now() >= plan.expiresAt) {
            throw Error(ErrorKind::Conflict, "plan " + plan.id.value + " has expired", "create a new plan");
        }
        Proposal proposal{.id = plan.id.value, .basedOn = m_journal.number()};
        m_journal.read([&plan, &proposal](const state::Cluster &cluster) {
            const state::PlanOutcome outcome = cluster.preview(plan.intent, now());
            if (!outcome.admitted) {
                throw Error(ErrorKind::Conflict, "the plan is no longer admitted: " + outcome.refusal,
                            "create a new plan");
            }
            const std::string difference = describeDifference(plan.basis, collectBasis(cluster, plan.intent, outcome));
            if (!difference.empty()) {
                throw Error(ErrorKind::Conflict, "the plan is out of date: " + difference, "create a new plan");
            }
            proposal.events = outcome.events;
        });
        return proposal;
    }

    boost::asio::awaitable<void> storePlan(const Plan &plan)
    {
        protocol::Transaction transaction;
        transaction.puts.push_back({planKey(plan.id), encodePlan(plan)});
        const protocol::CommitResult result = co_await m_table.transact(std::move(transaction));
        if (result.status != protocol::CommitStatus::Committed) {
            throw Error(ErrorKind::Unavailable, "the plan cannot be stored: " + result.failure,
                        "retry when the table service is available; nothing was changed");
        }
    }

    boost::asio::awaitable<Plan> loadPlan(state::PlanId id)
    {
        std::vector<std::string> keys{planKey(id)};
        const protocol::ReadResult result = co_await m_table.read(std::move(keys));
        if (!result.ok) {
            throw Error(ErrorKind::Unavailable, "the plan cannot be read: " + result.failure,
                        "retry when the table service is available; nothing was changed");
        }
        if (result.rows.empty()) {
            throw Error(ErrorKind::NotFound, "there is no plan " + id.value, "create a new plan");
        }
        co_return decodePlan(result.rows.front().value);
    }

    static void logConfirmed(const Plan &plan, const CommitOutcome &outcome)
    {
        transport::log(transport::LogLevel::Info, "plan-confirmed",
                       {{"plan", plan.id.value}, {"record", std::to_string(outcome.number)}});
        for (const std::string &refusal : outcome.refusals) {
            transport::log(transport::LogLevel::Error, "event-refused", {{"plan", plan.id.value}, {"error", refusal}});
        }
    }

    J &m_journal;
    T m_table;
    state::Duration m_lifetime;
};

} // namespace heatherquay::coordination
