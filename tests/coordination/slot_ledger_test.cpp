#include "heatherquay/coordination/slot_ledger.hpp"

#include "request_fixture.hpp"

#include <random>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination;
using namespace heatherquay::test;
using Clock = SlotLedger::Clock;
using Time = Clock::time_point;

namespace
{

constexpr std::uint32_t slotCount = 4;
constexpr auto requestTimeout = 300ms;
constexpr auto abandonGrace = 50ms;
constexpr auto stepDuration = 10ms;

std::shared_ptr<const state::EntrySettings> ledgerSettings(const std::string &id)
{
    auto settings = requestSettings();
    settings->id.value = id;
    settings->services[0].slotsPerEndpoint = slotCount;
    settings->services[0].requestTimeout = requestTimeout;
    settings->services[0].abandonGrace = abandonGrace;
    return settings;
}

struct RunningRequest
{
    std::shared_ptr<Endpoint> endpoint;
    std::uint32_t slot{};
    int lender{-1}; ///< Index of the lending process, -1 for an own slot.
    std::uint64_t loan{};
    Time deadline;
};

/// One process of an entry, with its own view of the member list and the endpoints.
struct Process
{
    std::string id;
    std::uint64_t incarnation{};
    bool alive{true};
    bool paused{};
    std::shared_ptr<EndpointDirectory> directory;
    std::unique_ptr<SlotLedger> ledger;
    std::vector<RunningRequest> running;
};

/// Simulates several entries that share a set of endpoints, in simulated time. Counts a collision when two requests use
/// the same slot at the same time.
class Cluster
{
public:
    explicit Cluster(unsigned seed)
        : m_random(seed)
    {
        addProcess();
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            m_now += stepDuration;
            changeMembers();
            changeEndpoints();
            for (std::size_t p = 0; p < m_processes.size(); ++p) {
                if (m_processes[p]->alive && !m_processes[p]->paused) {
                    runProcess(p);
                }
            }
            deliverGossip(0.3);
        }
    }

    /// Finishes all requests and gives all processes the same member and endpoint lists until the shares are stable.
    /// @return total number of usable slots of all entries
    std::uint32_t settle()
    {
        for (auto &process : m_processes) {
            process->paused = false;
            finishAll(*process);
        }
        for (int i = 0; i < 100; ++i) {
            m_now += stepDuration;
            for (auto &process : m_processes) {
                if (process->alive && isMember(*process)) {
                    setEndpoints(*process, allEndpoints);
                    process->ledger->adopt(currentMembers(), m_now);
                    process->ledger->tick(m_now);
                }
            }
            deliverGossip(1.0);
        }
        std::uint32_t usable = 0;
        for (auto &process : m_processes) {
            for (const auto &endpoint : process->directory->read({"desk"})->endpoints) {
                usable += process->alive && isMember(*process) ? std::popcount(endpoint->slotWord.usable()) : 0;
            }
        }
        return usable;
    }

    std::vector<std::string> allEndpoints{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"};
    int started{};
    int borrowed{};
    int collisions{};

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
    }
    std::size_t randomIndex(std::size_t count)
    {
        return m_random() % count;
    }
    bool isMember(const Process &process) const
    {
        return std::any_of(m_members.begin(), m_members.end(), [&](const Member &member) {
            return member.id.value == process.id && member.incarnation == process.incarnation;
        });
    }
    std::shared_ptr<const MemberList> currentMembers() const
    {
        auto result = std::make_shared<MemberList>();
        result->version = m_version;
        result->members = m_members;
        return result;
    }
    void setEndpoints(Process &process, const std::vector<std::string> &addresses) const
    {
        std::vector<EndpointRecord> records;
        for (const std::string &address : addresses) {
            records.push_back({{"desk"}, address, false});
        }
        process.directory->update(records);
        process.ledger->refresh(m_now);
    }
    void addProcess()
    {
        auto process = std::make_unique<Process>();
        process->incarnation = ++m_incarnation;
        process->id = "e" + std::to_string(randomIndex(5));
        for (const Member &member : m_members) {
            if (member.id.value == process->id) {
                return;
            }
        }
        const auto settings = ledgerSettings(process->id);
        process->directory = std::make_shared<EndpointDirectory>(m_io.get_executor(), settings);
        process->ledger = std::make_unique<SlotLedger>(settings->id, process->directory, settings, [] {
            return true;
        });
        m_members.push_back({{process->id}, process->incarnation, ""});
        ++m_version;
        setEndpoints(*process, allEndpoints);
        process->ledger->adopt(currentMembers(), m_now);
        m_processes.push_back(std::move(process));
    }
    void removeMember(const Process &process)
    {
        std::erase_if(m_members, [&](const Member &member) {
            return member.id.value == process.id && member.incarnation == process.incarnation;
        });
        ++m_version;
    }
    void changeMembers()
    {
        if (m_members.size() < 5 && chance(0.01)) {
            addProcess();
        }
        std::vector<Process *> members;
        for (auto &process : m_processes) {
            if (isMember(*process)) {
                members.push_back(process.get());
            }
        }
        Process &process = *members[randomIndex(members.size())];
        if (!chance(process.paused ? 0.2 : 0.02)) {
            return;
        }
        if (process.paused && chance(0.5)) {
            process.paused = false; // The process resumes before it is removed.
        } else if (process.paused && m_members.size() > 1) {
            removeMember(process);
            process.alive = false;
        } else if (chance(0.6)) {
            process.paused = true; // A paused process starts no requests, like one that crashed.
        } else if (m_members.size() > 1) {
            process.ledger->beginLeaving();
            finishAll(process);
            gossipFrom(process, 1.0);
            removeMember(process);
            process.alive = false;
        }
    }
    void changeEndpoints()
    {
        if (chance(0.02)) {
            m_listed = allEndpoints;
            m_listed.erase(m_listed.begin() + static_cast<std::ptrdiff_t>(randomIndex(3)));
        } else if (chance(0.1)) {
            m_listed = allEndpoints;
        }
    }
    void startRequest(Process &process, RunningRequest request)
    {
        request.deadline = std::min(request.deadline, m_now + requestTimeout);
        auto &until = m_busyUntil[{request.endpoint->address, request.slot}];
        collisions += until > m_now ? 1 : 0;
        until = request.deadline;
        ++started;
        process.running.push_back(std::move(request));
    }
    void endRequest(Process &process, const RunningRequest &request, bool abandoned)
    {
        // If the process was paused beyond the deadline, the endpoint has already ended the request.
        if (m_now <= request.deadline) {
            m_busyUntil[{request.endpoint->address, request.slot}] = abandoned ? m_now + abandonGrace : m_now;
        }
        if (request.lender >= 0 && !abandoned) {
            m_processes[static_cast<std::size_t>(request.lender)]->ledger->onGiveBack(request.loan);
        } else if (request.lender < 0 && abandoned) {
            process.ledger->quarantine(request.endpoint, request.slot, m_now);
        } else if (request.lender < 0) {
            process.ledger->release(*request.endpoint, request.slot);
        }
    }
    void finishAll(Process &process)
    {
        for (const RunningRequest &request : process.running) {
            if (process.alive) {
                endRequest(process, request, false);
            }
        }
        process.running.clear();
    }
    void runProcess(std::size_t index)
    {
        Process &process = *m_processes[index];
        std::erase_if(process.running, [&](const RunningRequest &request) {
            const bool late = request.deadline <= m_now;
            const bool done = late || chance(0.15);
            if (done) {
                endRequest(process, request, late || chance(0.3));
            }
            return done;
        });
        if (chance(0.3)) {
            process.ledger->adopt(currentMembers(), m_now);
        }
        if (chance(0.2)) {
            setEndpoints(process, m_listed);
        }
        process.ledger->tick(m_now);
        const auto endpoints = process.directory->read({"desk"});
        for (const auto &endpoint : endpoints->endpoints) {
            const auto slot = chance(0.7) ? endpoint->slotWord.take() : std::nullopt;
            if (slot) {
                startRequest(process, {endpoint, *slot, -1, 0, m_now + requestTimeout});
            }
        }
        borrow(index);
    }
    void borrow(std::size_t index)
    {
        const std::size_t lender = randomIndex(m_processes.size());
        Process &from = *m_processes[lender];
        if (lender == index || !from.alive || from.paused) {
            return;
        }
        const auto term = stepDuration * (5 + static_cast<int>(randomIndex(25)));
        Process &process = *m_processes[index];
        for (const auto &loan : from.ledger->onBorrow({{process.id}, 0, {"desk"}, term}, m_now)) {
            const auto endpoints = from.directory->read({"desk"});
            startRequest(process,
                         {*endpoints->find(loan.slot.endpoint), loan.slot.slot, static_cast<int>(lender), loan.id,
                          m_now + term});
            ++borrowed;
        }
    }
    void gossipFrom(Process &process, double deliveryProbability)
    {
        protocol::Gossip gossip;
        gossip.from.value = process.id;
        gossip.incarnation = process.incarnation;
        process.ledger->fillGossip(gossip);
        for (auto &other : m_processes) {
            if (other.get() != &process && other->alive && !other->paused && chance(deliveryProbability)) {
                other->ledger->onGossip(gossip, m_now);
            }
        }
    }
    void deliverGossip(double deliveryProbability)
    {
        for (auto &process : m_processes) {
            if (process->alive && !process->paused) {
                gossipFrom(*process, deliveryProbability);
            }
        }
    }

    std::mt19937 m_random;
    boost::asio::io_context m_io;
    Time m_now{Clock::now()};
    std::uint64_t m_version{};
    std::uint64_t m_incarnation{};
    std::vector<Member> m_members;
    std::vector<std::string> m_listed = allEndpoints;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::map<std::pair<std::string, std::uint32_t>, Time>
        m_busyUntil; ///< Time until which each slot is in use, as the endpoints see it.
};

} // namespace

// Guards against two entries that use the same slot at once, while entries join, leave, crash and pause, have different
// member and endpoint lists, lose gossip messages and lend slots. Also guards against slots that stay unusable.
BOOST_DATA_TEST_CASE(slots_are_never_used_by_two_requests_at_once, boost::unit_test::data::xrange(60), seed)
{
    Cluster cluster(static_cast<unsigned>(seed));
    cluster.run(2'000);
    BOOST_TEST(cluster.collisions == 0);
    BOOST_TEST(cluster.started > 1'000);
    BOOST_TEST(cluster.borrowed > 0);
    BOOST_TEST(cluster.settle() == cluster.allEndpoints.size() * slotCount);
}
