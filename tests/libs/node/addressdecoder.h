#pragma once

#include <ports/platformdecoder.h>

#include <string_view>

namespace Hyssop::Testing {

/// Takes the value of a worker's record as its address.
class AddressDecoder : public PlatformDecoder
{
public:
    OperatorKey operatorKey(std::string_view) const override { return {}; }
    Result<ClusterConfig> configuration(std::string_view) const override { return ClusterConfig(); }
    Result<WorkerInfo> worker(std::string_view id, std::string_view bytes) const override
    {
        WorkerInfo info;
        info.id = id;
        info.address = bytes;
        info.workerPool = "hall";
        info.capacity.milliCores = 64000;
        return info;
    }
};

} // namespace Hyssop::Testing
