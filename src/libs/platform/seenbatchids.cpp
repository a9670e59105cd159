#include "seenbatchids.h"

#include <xxhash.h>

namespace Hyssop::Internal {

SeenBatchIds::SeenBatchIds(std::size_t capacity)
    : m_capacity(capacity)
{
}

bool SeenBatchIds::insert(std::string_view id)
{
    if (id.empty()) {
        return true;
    }
    const XXH128_hash_t value = XXH3_128bits(id.data(), id.size());
    const Hash hash{value.low64, value.high64};
    if (!m_ids.insert(hash).second) {
        return false;
    }
    m_insertionOrder.push_back(hash);
    if (m_insertionOrder.size() > m_capacity) {
        m_ids.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
    return true;
}

} // namespace Hyssop::Internal
