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
    known->shortTerm = std::min(known->shortTerm, headroom.shortTerm);
    known->longTerm = std::min(known->longTerm, headroom.longTerm);
}

} // namespace Hyssop
