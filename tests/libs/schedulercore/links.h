#pragma once

#include <set>
#include <string>
#include <utility>

namespace Hyssop::Testing {

/// Faults of the links between schedulers, workers, "log" (all streams) and "config" (the configuration stream alone).
class Links
{
public:
    void cut(const std::string &first, const std::string &second);
    /// Drops the worker's answers to the scheduler, while requests still arrive.
    void mute(const std::string &worker, const std::string &scheduler);
    void heal(const std::string &first, const std::string &second);
    void healAll();

    bool connected(const std::string &first, const std::string &second) const;
    /// Returns false if the answers of @p worker to @p scheduler are dropped.
    bool answersArrive(const std::string &worker, const std::string &scheduler) const;

private:
    using Link = std::pair<std::string, std::string>;

    static Link linkOf(const std::string &first, const std::string &second);

    std::set<Link> m_cuts;
    std::set<Link> m_muted;
};

} // namespace Hyssop::Testing
