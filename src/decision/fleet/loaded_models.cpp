/* The models that a runner states to have loaded, with their adapters. */
#include "decision/fleet/loaded_models.h"

#include <algorithm>
#include <iterator>

namespace rhubarbtrail::fleet {

namespace {

std::vector<LoadedModels::Item> ItemsOf(const std::map<ModelId, std::set<AdapterId>>& aModels)
{
  std::vector<LoadedModels::Item> items;
  for (const auto& [model, adapters] : aModels) {
    items.push_back({ model.str(), {} });
    for (const AdapterId& adapter : adapters) {
      items.back().second.push_back(adapter.str());
    }
  }
  return items;
}

} // namespace

LoadedModels::LoadedModels(std::vector<Item> aItems)
{
  if (aItems.empty()) {
    return;
  }
  std::stable_sort(aItems.begin(), aItems.end(), [](const Item& aLeft, const Item& aRight) {
    return aLeft.first < aRight.first;
  });
  Lists lists;
  for (auto item = aItems.begin(); item != aItems.end();) {
    std::vector<std::string_view> adapters = std::move(item->second);
    auto next = std::next(item);
    for (; next != aItems.end() && next->first == item->first; ++next) {
      adapters.insert(adapters.end(), next->second.begin(), next->second.end());
    }
    lists.models.Add(item->first);
    std::sort(adapters.begin(), adapters.end());
    adapters.erase(std::unique(adapters.begin(), adapters.end()), adapters.end());
    for (const std::string_view adapter : adapters) {
      lists.adapters.Add(adapter);
    }
    lists.adapterEnds.push_back(static_cast<std::uint32_t>(lists.adapters.size()));
    item = next;
  }
  lists.models.Shrink();
  lists.adapters.Shrink();
  lists.adapterEnds.shrink_to_fit();
  mLists = std::make_shared<const Lists>(std::move(lists));
}

LoadedModels::LoadedModels(const std::map<ModelId, std::set<AdapterId>>& aModels)
  : LoadedModels(ItemsOf(aModels))
{
}

bool LoadedModels::contains(const ModelId& aModel, const AdapterId& aAdapter) const
{
  const std::size_t index = Find(aModel);
  if (index == size()) {
    return false;
  }
  const std::size_t end = mLists->adapterEnds[index];
  return mLists->adapters.Find(aAdapter.str(), FirstAdapter(index), end) != end;
}

std::size_t LoadedModels::heapBytes() const
{
  return mLists == nullptr ? 0
                           : mLists->models.heapBytes() + mLists->adapters.heapBytes() +
                               mLists->adapterEnds.capacity() * sizeof(std::uint32_t);
}

} // namespace rhubarbtrail::fleet
