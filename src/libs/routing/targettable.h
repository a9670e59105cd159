#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop {

/// State of an instance in the platform's instance list.
struct ListedInstance
{
    std::string id;
    std::string address;
    bool leaving = false;
};

enum class ProbeResult {
    Healthy,
    Leaving, // the target answered 503
    Failing, // no answer in time or another status
};

/// A target and what the gateway knows about it.
struct TargetEntry
{
    Wire::Target target;
    bool leaving = false; // sticky for this incarnation
    bool probeFailing = false;
    bool announcedClose = false; // its last answer had "Connection: close"
    int inFlight = 0;
    std::optional<TimePoint> failedAt;
};

/// Targets of all services, merged from the scheduler's publication, the platform's instance list and the gateway's own
/// probes. A source that is silent changes nothing: the last known state stays in use.
class TargetTable
{
public:
    explicit TargetTable(std::uint64_t seed);

    /// Replaces the scheduler's publication. An empty one takes effect only after it has lasted 5 s, because a new owner
    /// publishes before it has read its workers.
    void applyPublication(const std::vector<Wire::Target> &targets, TimePoint now);

    /// Takes over the instance list. An instance that is missing from it changes nothing, because the list lags.
    void applyInstances(const std::vector<ListedInstance> &instances);

    /// Applies what depends on time only.
    void advance(TimePoint now);

    void noteProbe(const std::string &address, ProbeResult result, TimePoint now);
    void noteAnswer(const std::string &address, bool announcedClose);
    void noteFailure(const std::string &address, TimePoint now);

    /// Chooses the less loaded of two random targets that are not leaving. Targets that are failing or in @p avoided are
    /// used only if there are no others.
    std::optional<Wire::Target> choose(const std::string &customer, const std::string &service, const std::set<std::string> &avoided, TimePoint now);

    /// Counts a request at a target from its choice to its end.
    void noteStarted(const std::string &address);
    void noteFinished(const std::string &address);

    /// True if a target of the service is not leaving.
    bool hasTarget(const std::string &customer, const std::string &service) const;

    /// Addresses to probe.
    std::vector<std::string> addresses() const;
    std::vector<TargetEntry> entries() const;

private:
    using ServiceKey = std::pair<std::string, std::string>; // customer, service
    using IncarnationKey = std::pair<std::string, std::string>; // address, incarnation

    void replaceTargets(const std::vector<Wire::Target> &targets);
    void markLeaving(TargetEntry &entry);
    TargetEntry *lessLoaded(const std::vector<TargetEntry *> &candidates);

    std::map<std::string, TargetEntry> m_entries; // by address
    std::map<ServiceKey, std::vector<std::string>> m_services; // addresses
    std::map<std::string, ListedInstance> m_leavingInstances; // by id
    std::set<IncarnationKey> m_leavingIncarnations;
    std::vector<IncarnationKey> m_leavingOrder; // oldest first
    std::map<std::string, int> m_inFlight; // outlives the entry of a removed target
    std::optional<TimePoint> m_emptySince;
    std::mt19937_64 m_random;
};

} // namespace Hyssop
