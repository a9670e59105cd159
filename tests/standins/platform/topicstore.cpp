#include "topicstore.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>

namespace Hyssop::StandIn {

namespace json = boost::json;

namespace {

constexpr std::size_t MaximumPageItems = 500;
constexpr std::size_t RetainedAppendResponses = 5;

std::string base64(const std::string &bytes)
{
    using namespace boost::archive::iterators;
    using Encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text{Encoder(bytes.cbegin()), Encoder(bytes.cend())};
    text.append((3 - bytes.size() % 3) % 3, '=');
    return text;
}

std::string bigEndian(std::uint64_t number)
{
    std::string bytes(8, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char *>(bytes.data()), number);
    return bytes;
}

std::string lengthPrefix(std::size_t size)
{
    std::string bytes(4, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<std::uint32_t>(size));
    return bytes;
}

std::string keyOf(const std::string &content)
{
    return content.substr(1, static_cast<unsigned char>(content.at(0)));
}

} // namespace

StoreResponse TopicStore::append(const std::string &topic, const AppendQuery &query, const std::string &body)
{
    Partition &partition = m_topics[topic];
    const auto end = static_cast<std::int64_t>(partition.records.size());
    Producer *producer = query.producer.empty() ? nullptr : &partition.producers[query.producer];
    if (producer != nullptr) {
        if (auto earlyReply = checkProducer(*producer, query)) {
            return *earlyReply;
        }
    }
    if (query.at && *query.at != end) {
        return {412, json::serialize(json::object{{"end", end}})};
    }
    for (std::size_t position = 0; position < body.size();) {
        const auto size = boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(body.data()) + position);
        addRecord(partition, body.substr(position + 4, size));
        position += 4 + size;
    }
    StoreResponse response{200, json::serialize(json::object{{"offset", end}, {"end", partition.records.size()}})};
    if (producer != nullptr) {
        producer->epoch = query.epoch;
        producer->nextSequence = query.sequence + 1;
        producer->responses[query.sequence] = response;
        while (producer->responses.size() > RetainedAppendResponses) {
            producer->responses.erase(producer->responses.begin());
        }
    }
    return response;
}

std::optional<StoreResponse> TopicStore::checkProducer(Producer &producer, const AppendQuery &query)
{
    if (query.epoch < producer.epoch) {
        return StoreResponse{409, R"({"reason":"fenced"})"};
    }
    if (query.epoch > producer.epoch) {
        producer.responses.clear();
        return std::nullopt;
    }
    if (const auto response = producer.responses.find(query.sequence); response != producer.responses.end()) {
        return response->second;
    }
    if (query.sequence != producer.nextSequence) {
        return StoreResponse{409, json::serialize(json::object{{"reason", "seq"}, {"sequence", producer.nextSequence}})};
    }
    return std::nullopt;
}

std::optional<StoreResponse> TopicStore::read(const std::string &topic, std::int64_t from) const
{
    const auto entry = m_topics.find(topic);
    if (entry == m_topics.end() || from >= static_cast<std::int64_t>(entry->second.records.size())) {
        return std::nullopt;
    }
    const Partition &partition = entry->second;
    if (from < partition.first) {
        return StoreResponse{410, json::serialize(json::object{{"first", partition.first}})};
    }
    std::string body = offsets(partition);
    for (auto offset = static_cast<std::size_t>(from); offset < partition.records.size(); ++offset) {
        body += lengthPrefix(partition.records[offset].size()) + partition.records[offset];
    }
    return StoreResponse{200, std::move(body)};
}

StoreResponse TopicStore::emptyRead(const std::string &topic) const
{
    const auto entry = m_topics.find(topic);
    return {200, entry == m_topics.end() ? bigEndian(0) + bigEndian(0) : offsets(entry->second)};
}

StoreResponse TopicStore::newest(const std::string &topic, const std::string &after) const
{
    json::array items;
    const auto entry = m_topics.find(topic);
    if (entry == m_topics.end()) {
        return {200, json::serialize(json::object{{"items", items}, {"more", false}, {"end", 0}})};
    }
    bool more = false;
    for (auto key = entry->second.newest.upper_bound(after); key != entry->second.newest.end(); ++key) {
        if (items.size() == MaximumPageItems) {
            more = true;
            break;
        }
        const std::string &content = entry->second.records[static_cast<std::size_t>(key->second)];
        items.push_back(json::object{{"key", key->first}, {"value", base64(content.substr(1 + key->first.size()))}, {"offset", key->second}});
    }
    return {200, json::serialize(json::object{{"items", items}, {"more", more}, {"end", entry->second.records.size()}})};
}

void TopicStore::put(const std::string &topic, const std::string &key, const std::string &value)
{
    addRecord(m_topics[topic], std::string(1, static_cast<char>(key.size())) + key + value);
}

void TopicStore::expireAll()
{
    for (auto &[name, partition] : m_topics) {
        partition.first = static_cast<std::int64_t>(partition.records.size());
    }
}

void TopicStore::addRecord(Partition &partition, const std::string &content)
{
    const std::string key = keyOf(content);
    const bool isRemoval = content.size() == 1 + key.size();
    if (isRemoval) {
        partition.newest.erase(key);
    } else {
        partition.newest[key] = static_cast<std::int64_t>(partition.records.size());
    }
    partition.records.push_back(content);
}

std::string TopicStore::offsets(const Partition &partition)
{
    return bigEndian(partition.records.size()) + bigEndian(static_cast<std::uint64_t>(partition.first));
}

} // namespace Hyssop::StandIn
