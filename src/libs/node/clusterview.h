#pragma once

#include <ports/clusterconfig.h>
#include <ports/workerinfo.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Hyssop {

class MetricsRegistry;
class PlatformDecoder;
struct KeyedRecord;

/// Applies the records that operators and workers write to the store. Holds the current configuration and the evacuated failure
/// domains.
class ClusterView
{
public:
    /// @p decoder and @p metrics must outlive the view.
    ClusterView(const PlatformDecoder &decoder, MetricsRegistry &metrics);

    /// Applies a record of the operators' topic. Returns true if the configuration or the set of evacuated domains changed.
    bool applyOperatorRecord(const KeyedRecord &record);

    /// Decodes a record of the workers' topic. Returns the registration if the record describes a usable worker.
    std::optional<WorkerInfo> applyWorkerRecord(const KeyedRecord &record);

    const std::optional<ClusterConfig> &config() const { return m_config; }
    const std::set<std::string> &evacuatedDomains() const { return m_evacuated; }

private:
    bool applyConfiguration(const KeyedRecord &record);
    bool applyEvacuation(const std::string &domain, bool isEvacuated);
    void recordMalformed(const std::string &key, const std::string &reason);

    const PlatformDecoder &m_decoder;
    MetricsRegistry &m_metrics;
    std::optional<ClusterConfig> m_config;
    std::set<std::string> m_evacuated;
};

} // namespace Hyssop
