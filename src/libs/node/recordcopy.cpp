#include "recordcopy.h"

#include <utils/compression.h>

#include <boost/endian/conversion.hpp>

#include <cstdint>
#include <string_view>

namespace Hyssop {

namespace Internal {

constexpr std::size_t OffsetBytes = 8;
constexpr std::size_t SizeBytes = 4; // of the value; 0: a tombstone
constexpr std::size_t MaximumValueBytes = 4 * 1024 * 1024; // the largest record that is decoded; bounds what a damaged copy can take

static std::string copyHeader(std::int64_t offset, std::size_t size)
{
    unsigned char bytes[OffsetBytes + SizeBytes];
    boost::endian::store_big_s64(bytes, offset);
    boost::endian::store_big_u32(bytes + OffsetBytes, static_cast<std::uint32_t>(size));
    return {reinterpret_cast<const char *>(bytes), sizeof(bytes)};
}

} // namespace Internal

KeyedRecord encodeRecordCopy(const KeyedRecord &record)
{
    const std::string value = record.value.value_or(std::string());
    return {0, record.key, Internal::copyHeader(record.offset, value.size()) + deflated(value)};
}

Result<KeyedRecord> decodeRecordCopy(const KeyedRecord &copy)
{
    const std::string_view content = copy.value ? std::string_view(*copy.value) : std::string_view();
    if (content.size() < Internal::OffsetBytes + Internal::SizeBytes) {
        return fail(ErrorCode::Malformed, "copy has no header");
    }
    const auto *bytes = reinterpret_cast<const unsigned char *>(content.data());
    KeyedRecord record{boost::endian::load_big_s64(bytes), copy.key, std::nullopt};
    const std::size_t size = boost::endian::load_big_u32(bytes + Internal::OffsetBytes);
    if (record.offset < 0 || size > Internal::MaximumValueBytes) {
        return fail(ErrorCode::Malformed, "copy has an impossible offset or size");
    }
    BOOST_LEAF_AUTO(value, inflated(content.substr(Internal::OffsetBytes + Internal::SizeBytes), size));
    if (!value.empty()) {
        record.value = std::move(value);
    }
    return record;
}

} // namespace Hyssop
