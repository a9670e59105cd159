#pragma once

#include <chrono>

namespace Hyssop {

/// Time limits of an exchange whose response may be large. The transfer of the body has no total deadline: it continues while bytes
/// arrive, but no slower than at a minimum rate.
struct HttpTimeouts
{
    std::chrono::milliseconds response; // until the header of the response has arrived, including connect and write
    std::chrono::milliseconds stall; // without a byte of the body
};

} // namespace Hyssop
