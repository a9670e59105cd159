#pragma once

#include "clusterconfig.h"
#include "workerinfo.h"

#include <utils/result.h>

#include <optional>
#include <string>
#include <string_view>

namespace Hyssop {

/// Decoded key of a record of the operators' topic.
struct OperatorKey
{
    enum class Kind { Configuration, Evacuation, MaintenanceWave, Other } kind = Kind::Other;
    std::string name; // failure domain (Evacuation) or number of the maintenance wave (MaintenanceWave)
};

/// Interface for decoding the records that operators and workers write to the store.
class PlatformDecoder
{
public:
    virtual ~PlatformDecoder() = default;

    virtual OperatorKey operatorKey(std::string_view key) const = 0;
    virtual Result<ClusterConfig> configuration(std::string_view bytes) const = 0;

    /// Fails if the record does not describe a usable worker.
    virtual Result<WorkerInfo> worker(std::string_view id, std::string_view bytes) const = 0;
};

} // namespace Hyssop
