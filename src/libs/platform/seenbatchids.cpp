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
    m_order.push_back(hash);
    if (m_order.size() > m_capacity) {
        m_ids.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

} // namespace Hyssop::Internal
