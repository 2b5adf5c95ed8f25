/* Estimates which parts of prompts a runner has in its prompt cache. */
#include "decision/fleet/prompt_cache.h"

#include <string>
#include <xxhash.h>

namespace rhubarbtrail::fleet {

namespace {

/* Returns the key of an empty prompt. Each model and adapter has its own cached prompts. */
std::uint64_t InitialKey(const ModelRef& aModel)
{
  const std::string name = aModel.model.str() + "/" + aModel.adapter.str();
  return XXH3_64bits(name.data(), name.size());
}

/* Returns the key of a prompt that one more part follows. It depends on all parts before, because a
 * cached part can be reused only behind the same beginning. */
std::uint64_t ExtendKey(std::uint64_t aKey, const PromptPart& aPart)
{
  return XXH3_64bits_withSeed(&aPart.id, sizeof(aPart.id), aKey);
}

} // namespace

std::uint32_t PromptCache::CachedTokens(const ModelWork& aWork) const
{
  std::uint64_t key = InitialKey(aWork.target);
  std::uint32_t cachedTokens = 0;
  for (const PromptPart& part : aWork.parts) {
    key = ExtendKey(key, part);
    if (part.tokens == 0) {
      continue;
    }
    if (!mIndex.contains(key)) {
      break;
    }
    cachedTokens += part.tokens;
  }
  return cachedTokens;
}

void PromptCache::Record(const ModelWork& aWork, std::size_t aMaxParts)
{
  std::uint64_t key = InitialKey(aWork.target);
  for (const PromptPart& part : aWork.parts) {
    key = ExtendKey(key, part);
    if (part.tokens == 0) {
      continue;
    }
    if (const auto found = mIndex.find(key); found != mIndex.end()) {
      mParts.splice(mParts.begin(), mParts, found->second);
      continue;
    }
    mParts.push_front({ .key = key, .tokens = part.tokens, .model = aWork.target.model });
    mIndex.emplace(key, mParts.begin());
    mCachedTokens += part.tokens;
  }
  while ((mCachedTokens > mCapacity || mParts.size() > aMaxParts) && !mParts.empty()) {
    mCachedTokens -= mParts.back().tokens;
    mIndex.erase(mParts.back().key);
    mParts.pop_back();
  }
}

void PromptCache::RemoveModel(const ModelId& aModel)
{
  for (auto part = mParts.begin(); part != mParts.end();) {
    if (part->model != aModel) {
      ++part;
      continue;
    }
    mCachedTokens -= part->tokens;
    mIndex.erase(part->key);
    part = mParts.erase(part);
  }
}

void PromptCache::Clear()
{
  mParts.clear();
  mIndex.clear();
  mCachedTokens = 0;
}

} // namespace rhubarbtrail::fleet
