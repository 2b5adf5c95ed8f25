/* The body of a message that is being received, for Boost.Beast's parser. */
#ifndef RHUBARBTRAIL_HTTP_RECEIVED_BODY_H
#define RHUBARBTRAIL_HTTP_RECEIVED_BODY_H

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>

namespace rhubarbtrail::http {

/* A body as a string, like beast_http::string_body, but without reserving memory for the length
 * that the head states, which may be any number, and without doubling its memory as it grows. */
struct ReceivedBody
{
  using value_type = std::string;

  class reader // NOLINT(readability-identifier-naming): the name is Beast's.
  {
  public:
    template<bool IsRequest, typename Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*aHead*/, value_type& aBody)
      : mBody(aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>& aLength, boost::system::error_code& aError)
    {
      mLength = aLength.value_or(std::numeric_limits<std::uint64_t>::max());
      aError = {};
    }

    template<typename Buffers>
    std::size_t put(const Buffers& aBuffers, boost::system::error_code& aError)
    {
      aError = {};
      std::size_t size = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(aBuffers)) {
        Append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      return size;
    }

    void finish(boost::system::error_code& aError) { aError = {}; }

  private:
    static constexpr std::size_t kMinGrowth = 4U << 10U;
    static constexpr std::size_t kGrowthDivisor = 4;

    void Append(const char* aBytes, std::size_t aSize)
    {
      const std::size_t size = mBody.size() + aSize;
      if (size > mBody.capacity() && !mBody.empty()) {
        const std::uint64_t grown =
          mBody.capacity() + std::max(mBody.capacity() / kGrowthDivisor, kMinGrowth);
        // reserve() of a string that has memory may double it.
        std::string larger;
        larger.reserve(std::max<std::uint64_t>(size, std::min(grown, mLength)));
        larger.append(mBody);
        mBody.swap(larger);
      }
      mBody.append(aBytes, aSize);
    }

    value_type& mBody;
    std::uint64_t mLength = 0; ///< The announced one, or the highest number.
  };
};

} // namespace rhubarbtrail::http

#endif
