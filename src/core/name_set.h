/* A set of names that takes little more memory than their characters. */
#ifndef RHUBARBTRAIL_CORE_NAME_SET_H
#define RHUBARBTRAIL_CORE_NAME_SET_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtrail {

/* A list of texts in one block of memory, in the order in which they were added. */
class PackedTexts
{
public:
  void Reserve(std::size_t aCount, std::size_t aBytes)
  {
    mEnds.reserve(aCount);
    mText.reserve(aBytes);
  }
  /* Gives back what was reserved and is not used. */
  void Shrink()
  {
    mEnds.shrink_to_fit();
    mText.shrink_to_fit();
  }
  void Add(std::string_view aText)
  {
    mText += aText;
    mEnds.push_back(static_cast<std::uint32_t>(mText.size()));
  }

  std::size_t size() const { return mEnds.size(); }
  std::string_view operator[](std::size_t aIndex) const
  {
    const std::size_t begin = aIndex == 0 ? 0 : mEnds[aIndex - 1];
    return std::string_view{ mText }.substr(begin, mEnds[aIndex] - begin);
  }
  /* Returns the index of a text among those from aBegin to aEnd, which are sorted, or aEnd. */
  std::size_t Find(std::string_view aText, std::size_t aBegin, std::size_t aEnd) const
  {
    std::size_t begin = aBegin;
    std::size_t end = aEnd;
    while (begin < end) {
      const std::size_t middle = begin + (end - begin) / 2;
      if ((*this)[middle] < aText) {
        begin = middle + 1;
      } else {
        end = middle;
      }
    }
    return begin < aEnd && (*this)[begin] == aText ? begin : aEnd;
  }
  /* Returns the bytes that this takes on the heap. */
  std::size_t heapBytes() const
  {
    return mText.capacity() + mEnds.capacity() * sizeof(std::uint32_t);
  }

  bool operator==(const PackedTexts&) const = default;

private:
  std::string mText;
  std::vector<std::uint32_t> mEnds; ///< Position behind each text.
};

/* Sorts texts and packs each of them once. */
inline PackedTexts PackSorted(std::vector<std::string_view> aTexts)
{
  std::sort(aTexts.begin(), aTexts.end());
  aTexts.erase(std::unique(aTexts.begin(), aTexts.end()), aTexts.end());
  std::size_t bytes = 0;
  for (const std::string_view text : aTexts) {
    bytes += text.size();
  }
  PackedTexts packed;
  packed.Reserve(aTexts.size(), bytes);
  for (const std::string_view text : aTexts) {
    packed.Add(text);
  }
  return packed;
}

/* A sorted set of identifiers that cannot be changed. Copies share its memory. Lists from outside
 * the process are kept in it: as a std::set, each short name takes some 80 bytes. */
template<typename Name>
class NameSet
{
public:
  class Iterator
  {
  public:
    using value_type = Name;
    using difference_type = std::ptrdiff_t;
    using reference = Name;
    using pointer = void;
    using iterator_category = std::input_iterator_tag;

    Iterator(const NameSet& aSet, std::size_t aIndex)
      : mSet(&aSet)
      , mIndex(aIndex)
    {
    }
    Name operator*() const { return Name{ std::string{ mSet->text(mIndex) } }; }
    Iterator& operator++()
    {
      ++mIndex;
      return *this;
    }
    bool operator==(const Iterator& aOther) const { return mIndex == aOther.mIndex; }

  private:
    const NameSet* mSet;
    std::size_t mIndex;
  };

  NameSet() = default;
  explicit NameSet(std::vector<std::string_view> aTexts)
  {
    if (!aTexts.empty()) {
      mTexts = std::make_shared<const PackedTexts>(PackSorted(std::move(aTexts)));
    }
  }
  template<typename Names>
  static NameSet Of(const Names& aNames)
  {
    std::vector<std::string_view> texts;
    for (const Name& name : aNames) {
      texts.push_back(name.str());
    }
    return NameSet{ std::move(texts) };
  }
  NameSet(std::initializer_list<Name> aNames)
    : NameSet(Of(aNames))
  {
  }

  std::size_t size() const { return mTexts == nullptr ? 0 : mTexts->size(); }
  bool empty() const { return size() == 0; }
  bool contains(const Name& aName) const
  {
    return mTexts != nullptr && mTexts->Find(aName.str(), 0, size()) != size();
  }
  std::string_view text(std::size_t aIndex) const { return (*mTexts)[aIndex]; }
  std::size_t heapBytes() const { return mTexts == nullptr ? 0 : mTexts->heapBytes(); }

  Iterator begin() const { return { *this, 0 }; }
  Iterator end() const { return { *this, size() }; }

  bool operator==(const NameSet& aOther) const
  {
    return mTexts == aOther.mTexts ||
           (mTexts != nullptr && aOther.mTexts != nullptr && *mTexts == *aOther.mTexts);
  }

private:
  std::shared_ptr<const PackedTexts> mTexts; ///< Null if the set is empty.
};

} // namespace rhubarbtrail

#endif
