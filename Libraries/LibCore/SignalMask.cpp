/// @file Implementation of holding signals back.

#include "LibCore/SignalMask.h"

namespace Core {

namespace {

sigset_t processSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : ProcessSignals) {
        sigaddset(&signals, signal);
    }
    return signals;
}

}

void holdProcessSignals()
{
    const sigset_t signals = processSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void releaseProcessSignals()
{
    const sigset_t signals = processSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}
