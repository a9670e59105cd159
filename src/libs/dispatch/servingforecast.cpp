#include "servingforecast.h"

#include <algorithm>

namespace Hyssop {

void ServingForecast::add(const Headroom &headroom)
{
    const auto known = std::ranges::find(headrooms, headroom.image, &Headroom::image);
    if (known == headrooms.end()) {
        headrooms.push_back(headroom);
        return;
    }
    known->utilization = std::min(known->utilization, headroom.utilization);
}

} // namespace Hyssop
