/* The signal by which the platform tells a process that its settings file has changed. */
#include "core/reload_signal_func.h"

#include <csignal>

namespace rhubarbtrail {

namespace {

void SetBlocked(int aHow)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(aHow, &signals, nullptr);
}

} // namespace

void BlockReloadSignal()
{
  SetBlocked(SIG_BLOCK);
}

void UnblockReloadSignal()
{
  SetBlocked(SIG_UNBLOCK);
}

} // namespace rhubarbtrail
