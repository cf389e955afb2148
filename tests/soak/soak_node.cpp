#include "soak/soak_node.hpp"

#include <csignal>
#include <fstream>
#include <string_view>
#include <utility>

namespace heatherquay::soak
{

namespace detail
{

constexpr std::chrono::milliseconds balancerReaction{1'000};
constexpr std::chrono::milliseconds dutyPeriod{100};
constexpr std::chrono::milliseconds dutyTick{5};

} // namespace detail

SoakNode::SoakNode(std::string name, std::string address, std::string settings, std::filesystem::path directory)
    : m_name(std::move(name))
    , m_address(std::move(address))
    , m_settings(std::move(settings))
    , m_directory(std::move(directory))
{
}

bool SoakNode::acceptsConnections() const
{
    return m_state == State::Running || (m_state == State::Stopping && stoppingFor() < detail::balancerReaction);
}

std::chrono::milliseconds SoakNode::stoppingFor() const
{
    return m_state == State::Stopping ? sinceTermination() : std::chrono::milliseconds(0);
}

std::chrono::milliseconds SoakNode::sinceTermination() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_terminatedAt);
}

bool SoakNode::handlesSignals() const
{
    const std::lock_guard lock(m_mutex);
    std::ifstream status(m_process ? "/proc/" + std::to_string(m_process->pid()) + "/status" : "/dev/null");
    constexpr std::string_view caughtSignals = "SigCgt:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(caughtSignals)) {
            return (std::stoull(line.substr(caughtSignals.size()), nullptr, 16) >> (SIGHUP - 1) & 1) != 0;
        }
    }
    return false;
}

void SoakNode::start()
{
    const std::lock_guard lock(m_mutex);
    m_process = std::make_unique<system_test::EntryProcess>(m_name, m_settings, m_directory, "HEATHERQUAY_NODE_FILE");
    m_paused = false;
    m_state = State::Running;
    ++m_starts;
}

void SoakNode::terminate()
{
    const std::lock_guard lock(m_mutex);
    m_process->signal(SIGTERM);
    m_terminatedAt = Clock::now();
    m_state = State::Stopping;
}

void SoakNode::kill()
{
    const std::lock_guard lock(m_mutex);
    if (m_process) {
        m_process->signal(SIGKILL);
    }
    m_state = State::Down;
}

void SoakNode::reload()
{
    const std::lock_guard lock(m_mutex);
    if (m_process) {
        m_process->signal(SIGHUP);
    }
}

void SoakNode::setFrozen(bool frozen)
{
    const std::lock_guard lock(m_mutex);
    m_frozen = frozen;
    applyPause();
}

void SoakNode::setDutyPause(bool paused)
{
    const std::lock_guard lock(m_mutex);
    m_dutyPause = paused;
    applyPause();
}

void SoakNode::applyPause()
{
    const bool paused = m_frozen || m_dutyPause;
    if (m_process && paused != m_paused) {
        m_process->signal(paused ? SIGSTOP : SIGCONT);
        m_paused = paused;
    }
}

std::optional<SoakNode::Exit> SoakNode::reap()
{
    const std::lock_guard lock(m_mutex);
    const auto status = m_process ? m_process->poll() : std::nullopt;
    if (!status) {
        return std::nullopt;
    }
    m_process.reset();
    return Exit{*status, std::exchange(m_state, State::Down)};
}

DutyCycle::DutyCycle(std::vector<SoakNode *> nodes, double share)
    : m_thread([nodes = std::move(nodes), share](const std::stop_token &stop) {
        const auto begin = Clock::now();
        for (auto now = begin; !stop.stop_requested(); now = Clock::now()) {
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                const auto offset = detail::dutyPeriod * i / nodes.size();
                const auto phase = (now - begin + offset) % Clock::duration(detail::dutyPeriod);
                nodes[i]->setDutyPause(phase > share * detail::dutyPeriod);
            }
            std::this_thread::sleep_until(now + detail::dutyTick);
        }
        for (SoakNode *node : nodes) {
            node->setDutyPause(false);
        }
    })
{
}

} // namespace heatherquay::soak
