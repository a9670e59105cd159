#include "links.h"

#include <algorithm>

namespace Hyssop::Testing {

Links::Link Links::linkOf(const std::string &first, const std::string &second)
{
    return std::minmax(first, second);
}

void Links::cut(const std::string &first, const std::string &second)
{
    m_cuts.insert(linkOf(first, second));
}

void Links::mute(const std::string &worker, const std::string &scheduler)
{
    m_muted.insert(linkOf(worker, scheduler));
}

void Links::heal(const std::string &first, const std::string &second)
{
    m_cuts.erase(linkOf(first, second));
    m_muted.erase(linkOf(first, second));
}

void Links::healAll()
{
    m_cuts.clear();
    m_muted.clear();
}

bool Links::connected(const std::string &first, const std::string &second) const
{
    return !m_cuts.contains(linkOf(first, second));
}

bool Links::answersArrive(const std::string &worker, const std::string &scheduler) const
{
    return !m_muted.contains(linkOf(worker, scheduler));
}

} // namespace Hyssop::Testing
