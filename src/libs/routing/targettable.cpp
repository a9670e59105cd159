#include "targettable.h"

#include <algorithm>

namespace Hyssop {

namespace Internal {

constexpr std::chrono::seconds EmptyPublicationDelay{5};
constexpr std::chrono::seconds FailureAvoidanceTime{1};
// The leaving state is kept for targets that are missing from one publication and listed again in a later one.
constexpr std::size_t MaximumLeavingIncarnations = 20000;

static bool isAvoided(const TargetEntry &entry, const std::set<std::string> &avoided, TimePoint now)
{
    const bool recentlyFailed = entry.failedAt && now - *entry.failedAt < FailureAvoidanceTime;
    return recentlyFailed || entry.probeFailing || avoided.contains(entry.target.address);
}

} // namespace Internal

TargetTable::TargetTable(std::uint64_t seed)
    : m_random(seed)
{
}

void TargetTable::applyPublication(const std::vector<Wire::Target> &targets, TimePoint now)
{
    if (targets.empty() && !m_entries.empty()) {
        m_emptySince = m_emptySince.value_or(now);
        advance(now);
        return;
    }
    m_emptySince.reset();
    replaceTargets(targets);
}

void TargetTable::advance(TimePoint now)
{
    if (m_emptySince && now - *m_emptySince >= Internal::EmptyPublicationDelay) {
        m_emptySince.reset();
        replaceTargets({});
    }
}

void TargetTable::replaceTargets(const std::vector<Wire::Target> &targets)
{
    std::map<std::string, TargetEntry> previous;
    previous.swap(m_entries);
    m_services.clear();
    for (const Wire::Target &target : targets) {
        TargetEntry entry;
        const auto known = previous.find(target.address);
        if (known != previous.end() && known->second.target.incarnation == target.incarnation) {
            entry = known->second;
        }
        entry.target = target;
        if (target.leaving || m_leavingIncarnations.contains({target.address, target.incarnation})) {
            markLeaving(entry);
        }
        if (m_entries.try_emplace(target.address, entry).second) {
            m_services[{target.customer, target.serviceName}].push_back(target.address);
        }
    }
    for (auto &[address, entry] : m_entries) {
        for (const auto &[id, instance] : m_leavingInstances) {
            if (entry.target.worker == id || address == instance.address) {
                markLeaving(entry);
            }
        }
    }
}

void TargetTable::applyInstances(const std::vector<ListedInstance> &instances)
{
    for (const ListedInstance &instance : instances) {
        if (!instance.leaving) {
            m_leavingInstances.erase(instance.id);
            continue;
        }
        m_leavingInstances[instance.id] = instance;
        for (auto &[address, entry] : m_entries) {
            if (entry.target.worker == instance.id || address == instance.address) {
                markLeaving(entry);
            }
        }
    }
}

void TargetTable::markLeaving(TargetEntry &entry)
{
    entry.leaving = true;
    const IncarnationKey key{entry.target.address, entry.target.incarnation};
    if (!m_leavingIncarnations.insert(key).second) {
        return;
    }
    m_leavingOrder.push_back(key);
    if (m_leavingOrder.size() > Internal::MaximumLeavingIncarnations) {
        m_leavingIncarnations.erase(m_leavingOrder.front());
        m_leavingOrder.erase(m_leavingOrder.begin());
    }
}

void TargetTable::recordProbe(const std::string &address, ProbeResult result, TimePoint now)
{
    const auto found = m_entries.find(address);
    if (found == m_entries.end()) {
        return;
    }
    TargetEntry &entry = found->second;
    entry.probeFailing = result == ProbeResult::Failing;
    if (result == ProbeResult::Leaving || (entry.probeFailing && entry.announcedClose)) {
        markLeaving(entry);
    }
    if (entry.probeFailing) {
        entry.failedAt = now;
    }
}

void TargetTable::recordResponse(const std::string &address, bool announcedClose)
{
    const auto found = m_entries.find(address);
    if (found == m_entries.end()) {
        return;
    }
    TargetEntry &entry = found->second;
    entry.announcedClose = announcedClose;
    entry.failedAt.reset();
    if (announcedClose && entry.probeFailing) {
        markLeaving(entry);
    }
}

void TargetTable::recordFailure(const std::string &address, TimePoint now)
{
    const auto found = m_entries.find(address);
    if (found != m_entries.end()) {
        found->second.failedAt = now;
    }
}

std::optional<Wire::Target> TargetTable::choose(const std::string &customer, const std::string &service, const std::set<std::string> &avoided, TimePoint now)
{
    const auto found = m_services.find({customer, service});
    if (found == m_services.end()) {
        return std::nullopt;
    }
    std::vector<TargetEntry *> preferred;
    std::vector<TargetEntry *> others;
    for (const std::string &address : found->second) {
        TargetEntry &entry = m_entries.at(address);
        if (!entry.leaving) {
            (Internal::isAvoided(entry, avoided, now) ? others : preferred).push_back(&entry);
        }
    }
    const TargetEntry *chosen = lessLoaded(preferred.empty() ? others : preferred);
    return chosen == nullptr ? std::nullopt : std::optional(chosen->target);
}

TargetEntry *TargetTable::lessLoaded(const std::vector<TargetEntry *> &candidates)
{
    if (candidates.empty()) {
        return nullptr;
    }
    if (candidates.size() == 1) {
        return candidates.front();
    }
    std::uniform_int_distribution<std::size_t> firstIndex(0, candidates.size() - 1);
    std::uniform_int_distribution<std::size_t> secondIndex(0, candidates.size() - 2);
    const std::size_t first = firstIndex(m_random);
    std::size_t second = secondIndex(m_random);
    second += second >= first ? 1 : 0;
    const auto load = [this](const TargetEntry *entry) {
        const auto count = m_inFlight.find(entry->target.address);
        return count == m_inFlight.end() ? 0 : count->second;
    };
    return load(candidates[second]) < load(candidates[first]) ? candidates[second] : candidates[first];
}

void TargetTable::requestStarted(const std::string &address)
{
    ++m_inFlight[address];
}

void TargetTable::requestFinished(const std::string &address)
{
    const auto found = m_inFlight.find(address);
    if (found != m_inFlight.end() && --found->second <= 0) {
        m_inFlight.erase(found);
    }
}

bool TargetTable::hasTarget(const std::string &customer, const std::string &service) const
{
    const auto found = m_services.find({customer, service});
    return found != m_services.end() && std::ranges::any_of(found->second, [this](const std::string &address) { return !m_entries.at(address).leaving; });
}

std::vector<std::string> TargetTable::addresses() const
{
    std::vector<std::string> result;
    for (const auto &[address, entry] : m_entries) {
        result.push_back(address);
    }
    return result;
}

std::vector<TargetEntry> TargetTable::entries() const
{
    std::vector<TargetEntry> result;
    for (const auto &[address, entry] : m_entries) {
        result.push_back(entry);
        const auto count = m_inFlight.find(address);
        result.back().inFlight = count == m_inFlight.end() ? 0 : count->second;
    }
    return result;
}

} // namespace Hyssop
