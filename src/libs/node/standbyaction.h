#pragma once

namespace Hyssop {

/// What an instance that is not the owner does after a read of the job topic.
enum class StandbyAction {
    None,
    Claim,
    OfferTakeover,
};

} // namespace Hyssop
