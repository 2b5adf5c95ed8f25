/* The models that a runner states to have loaded, with their adapters. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_LOADED_MODELS_H
#define RHUBARBTRAIL_DECISION_FLEET_LOADED_MODELS_H

#include "core/id_type.h"
#include "core/name_set.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbtrail::fleet {

/* Models with their adapters, both sorted. Cannot be changed; copies share its memory, which is
 * little more than the characters of the names. */
class LoadedModels
{
public:
  /* The model and its adapters. */
  using Item = std::pair<std::string_view, std::vector<std::string_view>>;

  LoadedModels() = default;
  /* Takes models in any order. The adapters of a model that is listed twice are joined. */
  explicit LoadedModels(std::vector<Item> aItems);
  explicit LoadedModels(const std::map<ModelId, std::set<AdapterId>>& aModels);

  std::size_t size() const { return mLists == nullptr ? 0 : mLists->models.size(); }
  bool contains(const ModelId& aModel) const { return Find(aModel) != size(); }
  /* Returns whether a model is loaded with an adapter. */
  bool contains(const ModelId& aModel, const AdapterId& aAdapter) const;

  /* Returns the model at an index below size(), and its adapters. */
  ModelId model(std::size_t aIndex) const
  {
    return ModelId{ std::string{ mLists->models[aIndex] } };
  }
  std::size_t adapterCount(std::size_t aIndex) const
  {
    return mLists->adapterEnds[aIndex] - FirstAdapter(aIndex);
  }
  AdapterId adapter(std::size_t aIndex, std::size_t aAdapter) const
  {
    return AdapterId{ std::string{ mLists->adapters[FirstAdapter(aIndex) + aAdapter] } };
  }
  /* Returns the bytes that this takes on the heap, shared or not. */
  std::size_t heapBytes() const;

  bool operator==(const LoadedModels& aOther) const
  {
    return mLists == aOther.mLists ||
           (mLists != nullptr && aOther.mLists != nullptr && *mLists == *aOther.mLists);
  }

private:
  struct Lists
  {
    PackedTexts models;
    PackedTexts adapters;                   ///< Of all models, one after the other.
    std::vector<std::uint32_t> adapterEnds; ///< Position behind the adapters of each model.

    bool operator==(const Lists&) const = default;
  };

  /* Returns the index of a model, or size(). */
  std::size_t Find(const ModelId& aModel) const
  {
    return mLists == nullptr ? 0 : mLists->models.Find(aModel.str(), 0, size());
  }
  std::size_t FirstAdapter(std::size_t aIndex) const
  {
    return aIndex == 0 ? 0 : mLists->adapterEnds[aIndex - 1];
  }

  std::shared_ptr<const Lists> mLists; ///< Null if there are no models.
};

} // namespace rhubarbtrail::fleet

#endif
