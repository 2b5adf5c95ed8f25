/* Runs an event loop whose handlers may throw. */
#ifndef RHUBARBTRAIL_CORE_GUARDED_LOOP_H
#define RHUBARBTRAIL_CORE_GUARDED_LOOP_H

#include <exception>

namespace rhubarbtrail {

/* Runs a loop until it is stopped or out of work. An exception ends the handler that threw it and
 * is passed to aOnException as a text; the loop goes on, so that one message or request that no
 * check has foreseen does not end the requests of all others. A routed request still ends at its
 * deadline. A recurring timer that its handler has not set again yet does not go on. */
template<typename Loop, typename OnException>
void RunGuarded(Loop& aLoop, OnException aOnException)
{
  for (;;) {
    try {
      aLoop.run();
      return;
    } catch (const std::exception& error) {
      aOnException(error.what());
    }
  }
}

} // namespace rhubarbtrail

#endif
