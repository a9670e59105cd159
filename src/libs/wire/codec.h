#pragma once

#include "hyssop_types.h"

#include <utils/result.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Hyssop {

/// Maximum size of an encoded message or record batch, in bytes.
constexpr std::size_t MaximumWireMessageSize = 1024 * 1024;

/// Encodes with the Thrift compact protocol.
std::string encode(const Wire::Envelope &envelope);
std::string encode(const Wire::RecordBatch &batch);
std::string encode(const Wire::StepJob &job);
std::string encode(const Wire::JobProgress &progress);
std::string encode(const Wire::TopicClaim &claim);
std::string encode(const Wire::LearnedTails &tails);
std::string encode(const Wire::ServingRoom &room);
std::string encode(const Wire::SilentWorkers &silent);
std::string encode(const Wire::TakeoverOffer &offer);

/// Decodes with the Thrift compact protocol. Fails with ErrorCode::TooLarge above MaximumWireMessageSize and with
/// ErrorCode::Malformed if @p bytes are not exactly one encoded value of the type.
Result<Wire::Envelope> decodeEnvelope(std::string_view bytes);
Result<Wire::RecordBatch> decodeRecordBatch(std::string_view bytes);
Result<Wire::StepJob> decodeStepJob(std::string_view bytes);
Result<Wire::JobProgress> decodeJobProgress(std::string_view bytes);
Result<Wire::TopicClaim> decodeTopicClaim(std::string_view bytes);
Result<Wire::LearnedTails> decodeLearnedTails(std::string_view bytes);
Result<Wire::ServingRoom> decodeServingRoom(std::string_view bytes);
Result<Wire::SilentWorkers> decodeSilentWorkers(std::string_view bytes);
Result<Wire::TakeoverOffer> decodeTakeoverOffer(std::string_view bytes);

} // namespace Hyssop
