/* Exit codes of the command line; docs/OPERATING.md lists them. */
#ifndef RHUBARBTRAIL_CORE_EXIT_CODE_TYPE_H
#define RHUBARBTRAIL_CORE_EXIT_CODE_TYPE_H

namespace rhubarbtrail {

enum ExitCode : int
{
  kExitOk = 0,
  kExitRefused = 1,      ///< The daemon refused the command, or the time limit of --wait passed.
  kExitBadInput = 2,     ///< Wrong arguments, settings, keys or document.
  kExitCannotListen = 3, ///< A port cannot be bound.
  kExitUnreachable = 4,  ///< The daemon did not answer.
  kExitRequestsLeft = 5, ///< Requests were still open when the shutdown time limit passed.
};

} // namespace rhubarbtrail

#endif
