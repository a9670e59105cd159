#pragma once

namespace Hyssop::Bench {

/// Discards what the process writes to standard output during its lifetime.
class DiscardedOutput
{
public:
    DiscardedOutput();
    ~DiscardedOutput();

    DiscardedOutput(const DiscardedOutput &) = delete;
    DiscardedOutput &operator=(const DiscardedOutput &) = delete;

private:
    int m_output; // descriptor of the original output
};

} // namespace Hyssop::Bench
