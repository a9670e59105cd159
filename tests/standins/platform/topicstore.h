#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssop::StandIn {

/// Result of an append, as an HTTP status with a JSON body.
struct StoreReply
{
    unsigned status = 200;
    std::string body;
};

/// What the query of an append says.
struct AppendQuery
{
    std::optional<std::int64_t> at;
    std::string producer; // empty: none
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

/// The keyed topics of the platform's store, with one partition each. Follows the published protocol: conditional appends,
/// epochs and sequences of producers, expiry of old records while the newest record of each key stays.
class TopicStore
{
public:
    /// Appends the raw records of @p body, all or none.
    StoreReply append(const std::string &topic, const AppendQuery &query, const std::string &body);

    /// Returns the raw answer to a read, or nothing while there is no record from @p from on. Status 410 if it has expired.
    std::optional<StoreReply> read(const std::string &topic, std::int64_t from) const;

    /// Returns an answer without records.
    StoreReply readNothing(const std::string &topic) const;

    StoreReply newest(const std::string &topic, const std::string &after) const;

    /// Writes one record as operators and workers do.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /// Drops the history of every topic.
    void expireAll();

private:
    struct Producer
    {
        std::int64_t epoch = -1;
        std::int64_t nextSequence = -1;
        std::map<std::int64_t, StoreReply> answers; // by sequence
    };

    struct Partition
    {
        std::vector<std::string> records; // content without length
        std::int64_t first = 0; // lowest offset that is kept
        std::map<std::string, std::int64_t> newest; // offset by key
        std::map<std::string, Producer> producers;
    };

    static std::optional<StoreReply> checkProducer(Producer &producer, const AppendQuery &query);
    static void addRecord(Partition &partition, const std::string &content);
    static std::string offsets(const Partition &partition);

    std::map<std::string, Partition> m_topics;
};

} // namespace Hyssop::StandIn
