#pragma once

#include <ports/keyedrecord.h>
#include <utils/result.h>

namespace Hyssop {

/// Returns a record for Topic::OperatorCopies with the compressed content of @p record.
KeyedRecord encodeRecordCopy(const KeyedRecord &record);

/// Returns the record whose copy is @p copy, with its key and offset in the topic of the operators.
Result<KeyedRecord> decodeRecordCopy(const KeyedRecord &copy);

} // namespace Hyssop
