#pragma once

#include "addressdecoder.h"
#include "memorystore.h"
#include "noadvice.h"
#include "nomachines.h"
#include "polledworkers.h"

#include <node/nodedaemon.h>
#include <observability/metricsregistry.h>
#include <utils/settings.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>

namespace Hyssop::Testing {

class MemoryTopics;

/// One instance of several that share topics. Its events are processed only in run(), so it can be given less processor time than others.
class NodeInstance
{
public:
    /// @p processorShare is the number of cores that the settings name. @p topics must outlive the instance.
    NodeInstance(const std::string &name, const std::string &processorShare, MemoryTopics &topics);

    /// Processes events for @p time, or once if it is zero.
    void run(std::chrono::milliseconds time);

    const std::string &name() const { return m_name; }
    bool isOwner() const { return m_metrics.value("hyssop_is_owner") == 1; }
    MetricsRegistry &metrics() { return m_metrics; }
    MemoryStore &store() { return m_store; }

private:
    std::string m_name;
    boost::asio::io_context m_context{1};
    Settings m_settings;
    MetricsRegistry m_metrics;
    MemoryStore m_store;
    PolledWorkers m_workers;
    NoAdvice m_advice;
    NoMachines m_machines;
    AddressDecoder m_decoder;
    NodeDaemon m_daemon;
};

} // namespace Hyssop::Testing
