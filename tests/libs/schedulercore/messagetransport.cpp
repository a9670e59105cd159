#include "messagetransport.h"

#include <utils/overloaded.h>

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

namespace Hyssop::Testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds AnswerTimeout{1000};
constexpr milliseconds MaximumCommandDelay{6000};
constexpr milliseconds MaximumAppendDelay{8000};

} // namespace

MessageTransport::MessageTransport(WorldState &state)
    : m_state(state)
{
}

void MessageTransport::read(SimulatedScheduler &scheduler)
{
    const milliseconds sentAt = m_state.time;
    const std::string name = scheduler.name;
    const std::int64_t incarnation = scheduler.incarnation;
    const std::string domainName = scheduler.domain;
    m_state.schedule(m_state.time + m_state.delay(), [this, name, incarnation, domainName, sentAt] {
        if (!m_state.logUp || !m_state.links.connected(name, "log")) {
            return;
        }
        SimulatedDomain &domain = m_state.domains.at(domainName);
        const std::size_t head = domain.stream.size();
        const bool inService = domain.inService;
        std::vector<std::string> others;
        for (const auto &[otherName, other] : m_state.domains) {
            if (otherName != domainName && other.inService) {
                others.push_back(otherName);
            }
        }
        std::vector<Contract> contracts;
        for (const auto &[customer, contract] : m_state.contracts) {
            contracts.push_back(contract);
        }
        m_state.schedule(m_state.time + m_state.delay(), [this, name, incarnation, domainName, sentAt, head, inService, others, contracts] {
            if (!m_state.links.connected(name, "log")) {
                return;
            }
            m_state.deliver(name, incarnation, [this, name, domainName, sentAt, head, inService, others, contracts](SchedulerCore &core) {
                SimulatedScheduler &reader = m_state.schedulers.at(name);
                const std::vector<FakeRecord> &stream = m_state.domains.at(domainName).stream;
                for (; reader.position < head; ++reader.position) {
                    const FakeRecord &record = stream[reader.position];
                    core.apply({static_cast<std::int64_t>(reader.position), 0}, record.time, record.record, m_state.now());
                }
                core.jobStreamRead(static_cast<std::int64_t>(head) - 1, TimePoint(sentAt), m_state.now());
                if (m_state.links.connected(name, "config")) {
                    core.setContracts(contracts, m_state.now());
                    core.setDomainState(inService, others, m_state.now());
                    core.setConfigVerifiedAt(TimePoint(sentAt));
                }
            });
        });
    });
}

void MessageTransport::sendHeartbeats(SimulatedScheduler &scheduler)
{
    if (!scheduler.core->owner()) {
        return;
    }
    const std::int64_t term = scheduler.core->term();
    for (auto &[name, peer] : m_state.schedulers) {
        if (name == scheduler.name || peer.domain != scheduler.domain || !m_state.links.connected(name, scheduler.name) || !peer.core) {
            continue;
        }
        m_state.deliver(name, peer.incarnation, [term, receivedAt = m_state.now()](SchedulerCore &core) { core.ownerHeartbeatReceived(term, receivedAt); });
    }
}

void MessageTransport::perform(SimulatedScheduler &scheduler, const SchedulerAction &action)
{
    const auto onPropose = [&](std::int64_t id, const Wire::Record &record) {
        sendAppend(scheduler, scheduler.domain, record, [this, id](SchedulerCore &core, bool written) {
            if (!written) {
                core.proposalFailed(id, m_state.now());
            }
        });
    };
    const Overloaded visitor{
        [&](const RenewLease &command) { sendRenewal(scheduler, command); },
        [&](const Propose &command) { onPropose(command.id, command.record); },
        [&](const ProposeClaim &command) {
            Wire::Record record;
            record.__set_ownershipClaim(command.claim);
            onPropose(command.id, record);
        },
        [&](const ProposeTransfer &command) {
            Wire::Record record;
            record.__set_jobSubmitted(command.submission);
            sendAppend(scheduler, command.toDomain, record, [this, id = command.id](SchedulerCore &core, bool written) {
                if (written) {
                    core.transferAppended(id, m_state.now());
                } else {
                    core.proposalFailed(id, m_state.now());
                }
            });
        },
        [&](const auto &command) { sendCommand(scheduler, command.worker, command); },
    };
    std::visit(visitor, action);
}

void MessageTransport::sendAppend(SimulatedScheduler &scheduler,
                                  const std::string &domain,
                                  const Wire::Record &record,
                                  std::function<void(SchedulerCore &, bool)> answer)
{
    std::uniform_int_distribution<std::int64_t> slow(1000, MaximumAppendDelay.count());
    const milliseconds transitDelay = m_state.chance(m_state.options.slowAppendRate) ? milliseconds(slow(m_state.random)) : m_state.delay();
    if (m_state.chance(m_state.options.droppedAppendRate)) {
        return;
    }
    // Appends of one writer arrive in the order in which they were sent.
    scheduler.lastAppendAt = std::max(scheduler.lastAppendAt, m_state.time + transitDelay);
    m_state.schedule(scheduler.lastAppendAt, [this, name = scheduler.name, incarnation = scheduler.incarnation, domain, record, answer = std::move(answer)] {
        const bool written = m_state.logUp && m_state.links.connected(name, "log");
        if (written) {
            m_state.append(domain, record);
        }
        // The log adapter resolves lost answers by reading, so an answer may be late but always arrives.
        const milliseconds answerDelay = m_state.chance(m_state.options.lossRate) ? AnswerTimeout : m_state.delay();
        m_state.schedule(m_state.time + answerDelay, [this, name, incarnation, written, answer] {
            m_state.deliver(name, incarnation, [answer, written](SchedulerCore &core) { answer(core, written); });
        });
    });
}

void MessageTransport::sendRenewal(SimulatedScheduler &scheduler, const RenewLease &command)
{
    const milliseconds sentAt = m_state.time;
    const std::string name = scheduler.name;
    const std::int64_t incarnation = scheduler.incarnation;
    const bool lost = m_state.chance(m_state.options.lossRate);
    const bool answerLost = m_state.chance(m_state.options.lossRate);
    const auto fail = [this, name, incarnation, worker = command.worker] {
        m_state.deliver(name, incarnation, [this, worker](SchedulerCore &core) { core.leaseFailed(worker, m_state.now()); });
    };
    if (m_state.options.lateRenewalRate > 0 && m_state.chance(m_state.options.lateRenewalRate)) {
        const milliseconds renewalDelay(std::uniform_int_distribution<int>(1500, 9000)(m_state.random));
        m_state.schedule(m_state.time + renewalDelay, [this, command] { m_state.workers.at(command.worker)->renew(command); });
        m_state.schedule(sentAt + AnswerTimeout, fail);
        return;
    }
    m_state.schedule(m_state.time + m_state.delay(), [this, name, incarnation, command, sentAt, lost, answerLost, fail] {
        if (lost || !m_state.links.connected(name, command.worker)) {
            m_state.schedule(sentAt + AnswerTimeout, fail);
            return;
        }
        const LeaseResult answer = m_state.workers.at(command.worker)->renew(command);
        m_state.schedule(m_state.time + m_state.delay(), [this, name, incarnation, command, sentAt, answer, answerLost, fail] {
            if (answerLost || !m_state.links.connected(name, command.worker) || !m_state.links.answersArrive(command.worker, name)) {
                m_state.schedule(sentAt + AnswerTimeout, fail);
                return;
            }
            m_state.deliver(name, incarnation, [this, command, answer, sentAt](SchedulerCore &core) {
                core.leaseAnswered(command.worker, answer, TimePoint(sentAt), m_state.now());
            });
        });
    });
}

void MessageTransport::sendCommand(SimulatedScheduler &scheduler, const std::string &workerName, const SchedulerAction &command)
{
    const std::string name = scheduler.name;
    const std::int64_t incarnation = scheduler.incarnation;
    const auto answer = [this, name, incarnation, command](CommandOutcome outcome) {
        m_state.deliver(name, incarnation, [this, command, outcome](SchedulerCore &core) { core.commandAnswered(command, outcome, m_state.now()); });
    };
    if (!m_state.links.connected(name, workerName)) {
        m_state.schedule(m_state.time + m_state.delay(), [answer] { answer(CommandOutcome::Unreachable); });
        return;
    }
    const auto fixed = std::holds_alternative<StartTask>(command) ? m_state.startDelays.find(workerName) : m_state.startDelays.end();
    if (fixed != m_state.startDelays.end() || m_state.chance(m_state.options.lateCommandRate)) {
        std::uniform_int_distribution<std::int64_t> late(AnswerTimeout.count(), MaximumCommandDelay.count());
        const milliseconds transitDelay = fixed != m_state.startDelays.end() ? fixed->second : milliseconds(late(m_state.random));
        // The connection that carries the command does not outlive the worker's process.
        m_state.schedule(m_state.time + transitDelay, [this, workerName, command, restarts = m_state.workers.at(workerName)->restarts()] {
            if (m_state.workers.at(workerName)->restarts() == restarts) {
                m_state.workers.at(workerName)->execute(command);
            }
        });
        m_state.schedule(m_state.time + AnswerTimeout, [answer] { answer(CommandOutcome::Undetermined); });
        return;
    }
    const milliseconds timeout = m_state.time + AnswerTimeout;
    const bool lost = m_state.chance(m_state.options.lossRate);
    const bool answerLost = m_state.chance(m_state.options.lossRate);
    m_state.schedule(m_state.time + m_state.delay(), [this, name, workerName, command, answer, timeout, lost, answerLost] {
        if (lost || !m_state.links.connected(name, workerName)) {
            m_state.schedule(timeout, [answer] { answer(CommandOutcome::Undetermined); });
            return;
        }
        const CommandOutcome outcome = m_state.workers.at(workerName)->execute(command);
        if (answerLost || !m_state.links.answersArrive(workerName, name)) {
            m_state.schedule(timeout, [answer] { answer(CommandOutcome::Undetermined); });
            return;
        }
        m_state.schedule(m_state.time + m_state.delay(), [answer, outcome] { answer(outcome); });
    });
}

} // namespace Hyssop::Testing
