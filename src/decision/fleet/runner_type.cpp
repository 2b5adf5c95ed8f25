/* The state that a runner publishes. */
#include "decision/fleet/runner_type.h"

namespace rhubarbtrail::fleet {

LoadingAdapterId LoadingAdapterOf(const ModelRef& aModel)
{
  return LoadingAdapterId{ aModel.model.str() + "/" + aModel.adapter.str() };
}

ModelRef ModelRefOf(const LoadingAdapterId& aAdapter)
{
  const std::size_t slash = aAdapter.str().find('/');
  return { .model = ModelId{ aAdapter.str().substr(0, slash) },
           .adapter = AdapterId{ aAdapter.str().substr(slash + 1) } };
}

std::size_t RunnerHoldings::heapBytes() const
{
  return models.heapBytes() + loadingAdapters.heapBytes() + inHostMemory.heapBytes() +
         onDisk.heapBytes();
}

} // namespace rhubarbtrail::fleet
