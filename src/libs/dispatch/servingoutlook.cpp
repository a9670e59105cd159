#include "servingoutlook.h"

#include <algorithm>

namespace Hyssop {

void ServingOutlook::add(const Slack &slack)
{
    const auto known = std::ranges::find(slacks, slack.image, &Slack::image);
    if (known == slacks.end()) {
        slacks.push_back(slack);
        return;
    }
    known->soon = std::min(known->soon, slack.soon);
    known->later = std::min(known->later, slack.later);
}

} // namespace Hyssop
