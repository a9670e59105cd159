#pragma once

#include <cstddef>
#include <cstdint>

namespace Hyssop::Internal {

constexpr std::size_t RelayBufferSize = 16 * 1024; // bytes of a streamed message that are held in memory, per direction
constexpr std::uint64_t MaximumBufferedBody = RelayBufferSize; // bodies up to this size are read completely before they are forwarded

} // namespace Hyssop::Internal
