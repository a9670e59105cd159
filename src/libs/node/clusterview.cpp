#include "clusterview.h"

#include <observability/logging.h>
#include <observability/metricsregistry.h>
#include <ports/keyedrecord.h>
#include <ports/platformdecoder.h>

namespace Hyssop {

ClusterView::ClusterView(const PlatformDecoder &decoder, MetricsRegistry &metrics)
    : m_decoder(decoder)
    , m_metrics(metrics)
{
}

bool ClusterView::applyOperatorRecord(const KeyedRecord &record)
{
    const OperatorKey key = m_decoder.operatorKey(record.key);
    switch (key.kind) {
    case OperatorKey::Kind::Configuration:
        return applyConfiguration(record);
    case OperatorKey::Kind::Evacuation:
        return applyEvacuation(key.name, record.value.has_value());
    case OperatorKey::Kind::MaintenanceWave:
    case OperatorKey::Kind::Other:
        break;
    }
    return false;
}

std::optional<WorkerInfo> ClusterView::applyWorkerRecord(const KeyedRecord &record)
{
    if (!record.value) {
        return std::nullopt;
    }
    auto decoded = capture([&] { return m_decoder.worker(record.key, *record.value); });
    if (auto *worker = valueOf(decoded)) {
        return std::move(*worker);
    }
    recordMalformed(record.key, errorOf(decoded)->message);
    return std::nullopt;
}

bool ClusterView::applyConfiguration(const KeyedRecord &record)
{
    if (!record.value) {
        return false;
    }
    auto decoded = capture([&] { return m_decoder.configuration(*record.value); });
    auto *config = valueOf(decoded);
    if (config == nullptr) {
        recordMalformed(record.key, errorOf(decoded)->message);
        return false;
    }
    if (m_config && config->version <= m_config->version) {
        return false;
    }
    logMessage(LogPriority::Essential,
               LogLevel::Info,
               "cluster",
               "configuration applied",
               {{"version", static_cast<long long>(config->version)},
                {"previous", static_cast<long long>(m_config ? m_config->version : -1)},
                {"offset", static_cast<long long>(record.offset)},
                {"queues", config->queues.size()}});
    m_config = std::move(*config);
    return true;
}

bool ClusterView::applyEvacuation(const std::string &domain, bool isEvacuated)
{
    const bool changed = isEvacuated ? m_evacuated.insert(domain).second : m_evacuated.erase(domain) > 0;
    if (changed) {
        logMessage(LogPriority::Essential,
                   LogLevel::Info,
                   "cluster",
                   isEvacuated ? "failure domain evacuated" : "evacuation of failure domain ended",
                   {{"failure_domain", domain}});
    }
    return changed;
}

void ClusterView::recordMalformed(const std::string &key, const std::string &reason)
{
    m_metrics.add("hyssop_malformed_records_total");
    logMessage(LogLevel::Warning, "cluster", "cannot decode record", {{"key", key}, {"error", reason}});
}

} // namespace Hyssop
