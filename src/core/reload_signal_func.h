/* The signal by which the platform tells a process that its settings file has changed. */
#ifndef RHUBARBTRAIL_CORE_RELOAD_SIGNAL_FUNC_H
#define RHUBARBTRAIL_CORE_RELOAD_SIGNAL_FUNC_H

namespace rhubarbtrail {

/* Blocks SIGHUP, whose default is to end the process, until UnblockReloadSignal() is called. One
 * that comes meanwhile stays pending. Called before main(), and before the constructors of the
 * libraries, which take most of the time until then. */
void BlockReloadSignal();

/* Called when there is a handler, or by a command that has none. */
void UnblockReloadSignal();

} // namespace rhubarbtrail

#endif
