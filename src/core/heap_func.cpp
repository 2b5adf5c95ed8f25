/* Controls how the C library's heap returns memory to the system. */
#include "core/heap_func.h"

#include <array>
#include <charconv>
#include <fcntl.h>
#include <malloc.h>
#include <string_view>
#include <system_error>
#include <unistd.h>

namespace rhubarbtrail {

namespace {

/* Blocks from this size on are mapped on their own. */
constexpr int kMappedBlockBytes = 64 << 10;
/* Free memory at the end of the heap that is kept. */
constexpr int kKeptFreeBytes = 1 << 20;

} // namespace

void ReturnLargeBlocks()
{
  // A failure is harmless: the library then keeps its defaults.
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptFreeBytes);
}

void TrimHeap()
{
  malloc_trim(0);
}

std::size_t ResidentBytes()
{
  const int file = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    return 0;
  }
  std::array<char, 128> text{};
  const ssize_t size = read(file, text.data(), text.size());
  close(file);
  // "size resident shared ...", in pages.
  const std::string_view line{ text.data(), size > 0 ? static_cast<std::size_t>(size) : 0 };
  const std::size_t space = line.find(' ');
  std::size_t pages = 0;
  if (space == std::string_view::npos ||
      std::from_chars(line.data() + space + 1, line.data() + line.size(), pages).ec !=
        std::errc{}) {
    return 0;
  }
  return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace rhubarbtrail
