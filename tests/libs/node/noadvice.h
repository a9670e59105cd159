#pragma once

#include <ports/adviceservice.h>

#include <string>
#include <vector>

namespace Hyssop::Testing {

/// Answers no request for advice.
class NoAdvice : public AdviceService
{
public:
    boost::asio::awaitable<AdviceResult> requestAdvice(TaskId, std::vector<std::string>, std::chrono::milliseconds) override
    {
        co_return Error{ErrorCode::Unavailable, "no advice"};
    }
};

} // namespace Hyssop::Testing
