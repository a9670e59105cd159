#include "resources.h"

namespace Hyssop {

bool Resources::fitsIn(const Resources &available) const
{
    return milliCores <= available.milliCores && memoryBytes <= available.memoryBytes && accelerators <= available.accelerators && slots <= available.slots;
}

Resources &Resources::operator+=(const Resources &other)
{
    milliCores += other.milliCores;
    memoryBytes += other.memoryBytes;
    accelerators += other.accelerators;
    slots += other.slots;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    milliCores -= other.milliCores;
    memoryBytes -= other.memoryBytes;
    accelerators -= other.accelerators;
    slots -= other.slots;
    return *this;
}

} // namespace Hyssop
