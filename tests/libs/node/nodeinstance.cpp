#include "nodeinstance.h"

#include "memorytopics.h"

#include <node/nodesettings.h>

namespace Hyssop::Testing {

static Settings instanceSettings(const std::string &name, const std::string &processorShare)
{
    const std::string text = "[instance]\nname = " + name + "\nprocessor_share = " + processorShare + R"(
failure_domain = rack
callers = 127.0.0.1:0
ready = 127.0.0.1:0
admin = 127.0.0.1:0
[store]
address = 127.0.0.1:1
)";
    return std::get<Settings>(Settings::parse(text, "test", nodeSettings()));
}

NodeInstance::NodeInstance(const std::string &name, const std::string &processorShare, MemoryTopics &topics)
    : m_name(name)
    , m_settings(instanceSettings(name, processorShare))
    , m_store(topics)
    , m_daemon(m_context, m_settings, {m_store, m_workers, m_advice, m_machines}, m_decoder, m_metrics, [] {})
{
    const auto handler = [](const HttpRequest &) -> boost::asio::awaitable<HttpResponse> { co_return HttpResponse(); };
    m_daemon.start(handler, handler);
}

void NodeInstance::run(std::chrono::milliseconds time)
{
    if (time > std::chrono::milliseconds::zero()) {
        m_context.run_for(time);
    } else {
        m_context.poll();
    }
}

} // namespace Hyssop::Testing
