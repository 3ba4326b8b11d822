/// @file Polls the platform's instance list.
#pragma once

#include "LibControl/StateStore.h"
#include "LibControl/Worker.h"
#include "LibPlatform/InstanceList.h"

namespace Control {

/// Polls the instance list and updates the store, on its own thread. While the list is unavailable, the known members are kept.
class InstanceListWorker
{
public:
    InstanceListWorker(Platform::InstanceList &list, StateStore &store, Telemetry::Metrics &metrics, Core::Duration interval = Core::Duration(1000));
    ~InstanceListWorker();

    void start();
    void stop();

private:
    Core::Duration runOnce();

    Platform::InstanceList &m_list;
    StateStore &m_store;
    const Core::Duration m_interval;
    Telemetry::Counter &m_failures;
    Worker m_worker;
};

}
