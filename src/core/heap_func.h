/* Controls how the C library's heap returns memory to the system. */
#ifndef RHUBARBTRAIL_CORE_HEAP_FUNC_H
#define RHUBARBTRAIL_CORE_HEAP_FUNC_H

#include <cstddef>

namespace rhubarbtrail {

/* Makes large blocks return to the system as soon as they are freed, whatever was freed before: by
 * default, the library raises the size from which it does so with each such block. */
void ReturnLargeBlocks();

/* Returns free parts of the heap to the system, whole pages in its middle too. */
void TrimHeap();

/* Returns the resident memory of this process in bytes, or 0 if it is not known. */
std::size_t ResidentBytes();

} // namespace rhubarbtrail

#endif
