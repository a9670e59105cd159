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
    Leaving, // the target responded with 503
    Failing, // no response in time or another status
};

/// A target and its state as seen by the gateway.
struct TargetEntry
{
    Wire::Target target;
    bool leaving = false; // never reset for this incarnation
    bool probeFailing = false;
    bool announcedClose = false; // its last response had "Connection: close"
    int inFlight = 0;
    std::optional<TimePoint> failedAt;
};

/// Targets of all services, merged from the list that the scheduler publishes, the platform's instance list and the
/// gateway's own probes. While a source is unavailable, its last known state stays in use.
class TargetTable
{
public:
    explicit TargetTable(std::uint64_t seed);

    /// Replaces the targets with the list that the scheduler published. An empty list takes effect only after 5 s,
    /// because a new owner publishes before it has read the state of its workers.
    void applyPublication(const std::vector<Wire::Target> &targets, TimePoint now);

    /// Applies the instance list. Instances that are missing from it keep their state, because the list lags behind.
    void applyInstances(const std::vector<ListedInstance> &instances);

    /// Applies an empty publication whose delay has passed.
    void advance(TimePoint now);

    void recordProbe(const std::string &address, ProbeResult result, TimePoint now);
    void recordResponse(const std::string &address, bool announcedClose);
    void recordFailure(const std::string &address, TimePoint now);

    /// Chooses the less loaded of two random targets that are not leaving (power of two choices). Targets that failed
    /// recently, whose probe fails or that are in @p avoided are used only if there are no others.
    std::optional<Wire::Target> choose(const std::string &customer, const std::string &service, const std::set<std::string> &avoided, TimePoint now);

    /// Counts a request as in flight at the target until requestFinished().
    void requestStarted(const std::string &address);
    void requestFinished(const std::string &address);

    /// Returns true if the service has a target that is not leaving.
    bool hasTarget(const std::string &customer, const std::string &service) const;

    /// Addresses of all targets, for health probes.
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
