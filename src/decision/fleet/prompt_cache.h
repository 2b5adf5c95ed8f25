/* What a runner is believed to keep of the prompts that it has read. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_PROMPT_CACHE_H
#define RHUBARBTRAIL_DECISION_FLEET_PROMPT_CACHE_H

#include "decision/fleet/work_type.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace rhubarbtrail::fleet {

/* Follows what is sent to the runner; the least recently used parts yield. */
class PromptCache
{
public:
  void SetCapacity(std::uint64_t aTokens) { mCapacity = aTokens; }

  /* Returns the tokens at the front of a prompt that need not be read again. */
  std::uint32_t KeptTokens(const ModelWork& aWork) const;
  /* Notes that the runner reads a prompt. */
  void Note(const ModelWork& aWork);
  /* Forgets what was kept for a model. */
  void Drop(const ModelId& aModel);
  void Clear();

private:
  struct Part
  {
    std::uint64_t key = 0; ///< Of the prompt up to the end of this part.
    std::uint32_t tokens = 0;
    ModelId model;
  };

  std::uint64_t mCapacity = 0;
  std::uint64_t mTokens = 0;
  std::list<Part> mParts; ///< The most recently used first.
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> mIndex;
};

} // namespace rhubarbtrail::fleet

#endif
