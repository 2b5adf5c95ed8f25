/* Values that are computed from a configuration. */
#include "decision/configuration_func.h"

namespace rhubarbtrail {

MemoryMb ReservedMemory(const ModelSpec& aModel)
{
  MemoryMb memory = aModel.memory;
  for (const auto& [id, adapter] : aModel.adapters) {
    memory += adapter.memory;
  }
  return memory;
}

} // namespace rhubarbtrail
