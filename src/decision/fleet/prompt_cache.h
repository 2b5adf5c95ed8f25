/* Estimates which parts of prompts a runner has in its prompt cache. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_PROMPT_CACHE_H
#define RHUBARBTRAIL_DECISION_FLEET_PROMPT_CACHE_H

#include "decision/fleet/work_type.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace rhubarbtrail::fleet {

/* Models a runner's prompt cache by the requests that are sent to the runner. When the parts exceed
 * the capacity or their greatest number, the least recently used ones are evicted. A part without
 * tokens takes no room in a runner, so it is not kept. */
class PromptCache
{
public:
  void SetCapacity(std::uint64_t aTokens) { mCapacity = aTokens; }

  /* Returns the number of tokens at the beginning of a prompt that the runner has cached and need
   * not process again. */
  std::uint32_t CachedTokens(const ModelWork& aWork) const;
  /* Records that the runner processes a prompt and so caches its parts. aMaxParts limits how many
   * parts are kept, whatever their tokens. */
  void Record(const ModelWork& aWork, std::size_t aMaxParts);
  /* Removes all parts that belong to a model or its adapters. */
  void RemoveModel(const ModelId& aModel);
  void Clear();
  std::size_t partCount() const { return mParts.size(); }

private:
  struct Part
  {
    std::uint64_t key = 0; ///< Hash of model, adapter and prompt up to the end of this part.
    std::uint32_t tokens = 0;
    ModelId model;
  };

  std::uint64_t mCapacity = 0;
  std::uint64_t mCachedTokens = 0;
  std::list<Part> mParts; ///< Ordered from the most to the least recently used.
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> mIndex;
};

} // namespace rhubarbtrail::fleet

#endif
