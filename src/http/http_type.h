/* HTTP/1.1 messages as plain data, so that few files include the headers of Boost.Beast. */
#ifndef RHUBARBTRAIL_HTTP_HTTP_TYPE_H
#define RHUBARBTRAIL_HTTP_HTTP_TYPE_H

#include "core/unit_type.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtrail::http {

/* A header field. Refers to texts that must outlive it, such as those of a Fields. */
struct Field
{
  std::string_view name;
  std::string_view value;
};

/* Header fields in the order of the message. Their texts are in one block: as two strings,
 * each field would take 64 bytes and more, however short it is. */
class Fields
{
public:
  class Iterator
  {
  public:
    using value_type = Field;
    using difference_type = std::ptrdiff_t;
    using reference = Field;
    using pointer = void;
    using iterator_category = std::input_iterator_tag;

    Iterator(const Fields& aFields, std::size_t aIndex)
      : mFields(&aFields)
      , mIndex(aIndex)
    {
    }
    Field operator*() const { return (*mFields)[mIndex]; }
    Iterator& operator++()
    {
      ++mIndex;
      return *this;
    }
    bool operator==(const Iterator& aOther) const { return mIndex == aOther.mIndex; }

  private:
    const Fields* mFields;
    std::size_t mIndex;
  };

  Fields() = default;
  Fields(std::initializer_list<Field> aFields)
  {
    for (const Field& field : aFields) {
      push_back(field);
    }
  }

  /* Makes room for a number of fields with this many characters in all. */
  void Reserve(std::size_t aCount, std::size_t aBytes)
  {
    mEnds.reserve(aCount);
    mText.reserve(aBytes);
  }
  /* Copies a field. Its texts must not be in this object. */
  void push_back(const Field& aField)
  {
    mText += aField.name;
    const std::size_t nameEnd = mText.size();
    mText += aField.value;
    mEnds.push_back({ .name = static_cast<std::uint32_t>(nameEnd),
                      .value = static_cast<std::uint32_t>(mText.size()) });
  }

  std::size_t size() const { return mEnds.size(); }
  bool empty() const { return mEnds.empty(); }
  Field operator[](std::size_t aIndex) const
  {
    const std::string_view text = mText;
    const std::size_t begin = aIndex == 0 ? 0 : mEnds[aIndex - 1].value;
    const Ends ends = mEnds[aIndex];
    return { .name = text.substr(begin, ends.name - begin),
             .value = text.substr(ends.name, ends.value - ends.name) };
  }
  Iterator begin() const { return { *this, 0 }; }
  Iterator end() const { return { *this, size() }; }

  /* Returns the characters of all names and values. */
  std::size_t textBytes() const { return mText.size(); }
  /* Returns the bytes that this takes on the heap. */
  std::size_t heapBytes() const { return mText.capacity() + mEnds.capacity() * sizeof(Ends); }

private:
  /* Positions behind the name and the value of a field. The name begins behind the field before. */
  struct Ends
  {
    std::uint32_t name = 0;
    std::uint32_t value = 0;
  };

  std::string mText;
  std::vector<Ends> mEnds;
};

/* Compares two names or tokens of header fields, ignoring ASCII case. */
bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

/* Returns whether a text can be the name of a header field: a token by RFC 9110, without blanks and
 * control characters. */
bool IsFieldName(std::string_view aText);

/* Returns the value of the first field with the given name, or nothing. The result is a view into
 * aFields. */
std::optional<std::string_view> Find(const Fields& aFields, std::string_view aName);

/* Tells which fields of a message are hop-by-hop: valid for one connection only and not to be
 * forwarded. These include the fields that its Connection fields list. Must not outlive the fields
 * that it is made from. */
class HopByHopFields
{
public:
  explicit HopByHopFields(const Fields& aFields);

  bool Has(std::string_view aName) const;

private:
  std::vector<std::string_view> mListed; ///< Sorted, ignoring ASCII case.
};

struct Request
{
  std::string method;
  std::string target; ///< Path and query.
  Fields fields;
  std::string body;
  /* For a received request: time from the arrival of its first byte until it is handled. It
   * includes the time for which it waited behind other requests on its connection. */
  Duration age{};
};

/* How the end of a body is marked. */
enum class Framing : std::uint8_t
{
  kNone,       ///< No body.
  kLength,     ///< By Content-Length.
  kChunked,    ///< By the last chunk of the chunked coding.
  kUntilClose, ///< By the end of the connection.
};

/* Returns the name of a framing in log events. */
std::string_view ToString(Framing aFraming);

/* Returns whether a status is that of an interim answer, which the final one follows. 101 is not:
 * it answers a request to change the protocol, which nothing here sends. */
constexpr bool IsInterimStatus(unsigned aStatus)
{
  return aStatus >= 100 && aStatus < 200 && aStatus != 101;
}

/* Returns whether a status is that of a final answer. */
constexpr bool IsFinalStatus(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 600;
}

/* Status line and header fields of an answer. */
struct AnswerHead
{
  unsigned status = 0;
  std::string reason; ///< Reason phrase, such as "OK".
  Fields fields;
  Framing framing = Framing::kNone;
  std::uint64_t length = 0; ///< With Framing::kLength.
};

/* Returns the status line and the fields of an answer, with the blank line that ends them. Adds the
 * fields for the framing, and "Connection: close" if aKeepsConnection is false. */
std::string Serialize(const AnswerHead& aHead, bool aKeepsConnection);

/* Returns a request with its body. Adds Content-Length, except to a GET, HEAD, DELETE or OPTIONS
 * request without a body, and adds Host from aHost if the request has no such field. */
std::string Serialize(const Request& aRequest, std::string_view aHost);

/* Returns one chunk of a chunked body. */
std::string EncodeChunk(std::string_view aBytes);

/* The empty chunk that ends a chunked body. */
constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace rhubarbtrail::http

#endif
