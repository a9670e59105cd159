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

/// What operators and workers say in the store: the configuration in force, the failure domains that are out, and the
/// registered workers.
class ClusterView
{
public:
    /// @p decoder and @p metrics must outlive the view.
    ClusterView(const PlatformDecoder &decoder, MetricsRegistry &metrics);

    /// Applies a record of the operators' topic. Returns true if the configuration or the evacuations changed.
    bool applyOperatorRecord(const KeyedRecord &record);

    /// Applies a record of the workers' topic. Returns the worker's registration if the record names a usable worker.
    std::optional<WorkerInfo> applyWorkerRecord(const KeyedRecord &record);

    const std::optional<ClusterConfig> &config() const { return m_config; }
    const std::set<std::string> &evacuatedDomains() const { return m_evacuated; }

private:
    bool applyConfiguration(const KeyedRecord &record);
    bool applyEvacuation(const std::string &domain, bool isOut);
    void noteMalformed(const std::string &key, const std::string &reason);

    const PlatformDecoder &m_decoder;
    MetricsRegistry &m_metrics;
    std::optional<ClusterConfig> m_config;
    std::set<std::string> m_evacuated;
};

} // namespace Hyssop
