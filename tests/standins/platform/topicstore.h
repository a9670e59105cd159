#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop::StandIn {

/// Response to a call: HTTP status and body.
struct StoreResponse
{
    unsigned status = 200;
    std::string body;
};

/// Parameters in the query of an append.
struct AppendQuery
{
    std::optional<std::int64_t> at;
    std::string producer; // empty: none
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

/// The compacted topics of the platform's store, with one partition each. Implements the published protocol: conditional appends,
/// producer epochs and sequence numbers, and expiry of old records while the newest record of each key is retained.
class TopicStore
{
public:
    /// Appends the raw records of @p body, all or none.
    StoreResponse append(const std::string &topic, const AppendQuery &query, const std::string &body);

    /// Returns the response to a read, or no value if there is no record at or after @p from. The status is 410 if the record has
    /// expired.
    std::optional<StoreResponse> read(const std::string &topic, std::int64_t from) const;

    /// Returns the response to a read that found no records.
    StoreResponse emptyRead(const std::string &topic) const;

    StoreResponse newest(const std::string &topic, const std::string &after) const;

    /// Appends one record without conditions, as operators and workers do.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /// Expires all records of every topic but the newest record of each key.
    void expireAll();

private:
    struct Producer
    {
        std::int64_t epoch = -1;
        std::int64_t nextSequence = -1;
        std::map<std::int64_t, StoreResponse> responses; // by sequence
    };

    struct Partition
    {
        std::vector<std::string> records; // content without the length prefix
        std::int64_t first = 0; // lowest offset that has not expired
        std::map<std::string, std::int64_t> newest; // offset by key
        std::map<std::string, Producer> producers;
    };

    static std::optional<StoreResponse> checkProducer(Producer &producer, const AppendQuery &query);
    static void addRecord(Partition &partition, const std::string &content);
    static std::string offsets(const Partition &partition);

    std::map<std::string, Partition> m_topics;
};

} // namespace Hyssop::StandIn
