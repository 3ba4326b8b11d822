/// @file Implementation of polling the instance list.

#include "LibControl/InstanceListWorker.h"

namespace Control {

InstanceListWorker::InstanceListWorker(Platform::InstanceList &list, StateStore &store, Telemetry::Metrics &metrics, Core::Duration interval)
    : m_list(list)
    , m_store(store)
    , m_interval(interval)
    , m_failures(metrics.counter("control_instance_list_failures_total"))
{
}

InstanceListWorker::~InstanceListWorker()
{
    stop();
}

void InstanceListWorker::start()
{
    m_worker.start([this] { return runOnce(); });
}

void InstanceListWorker::stop()
{
    m_worker.stop();
}

Core::Duration InstanceListWorker::runOnce()
{
    const Core::Result<std::vector<Protocol::Member>> listed = m_list.instances();
    if (!listed) {
        m_failures.add();
        return m_interval;
    }
    m_store.applyInstanceList(listed.value());
    return m_interval;
}

}
