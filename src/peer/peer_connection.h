/* One HTTP/2 connection to or from another daemon. */
#ifndef RHUBARBTRAIL_PEER_PEER_CONNECTION_H
#define RHUBARBTRAIL_PEER_PEER_CONNECTION_H

#include "core/unit_type.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nghttp2/nghttp2.h>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbtrail {

/* The end of a connection that this daemon is. Only clients send messages, and only servers receive
 * them. */
enum class PeerRole : std::uint8_t
{
  kServer, ///< This daemon accepted the connection.
  kClient, ///< This daemon opened the connection.
};

/* An nghttp2 session on a non-blocking socket. Owns the socket. Used by one thread only. */
class PeerConnection
{
public:
  /* Receives each complete message. Called on servers only. */
  using Receiver = std::function<void(const std::string& aBody)>;

  PeerConnection(int aSocket, PeerRole aRole, Receiver aReceiver);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  int socket() const { return mSocket; }
  bool WantsWrite() const;

  /* Queues a message on a new stream. Returns false when too many messages have no response yet or
   * nghttp2 accepts no new stream. */
  bool Submit(std::vector<std::uint8_t> aBody, TimePoint aNow);

  /* Reads and processes received bytes, then writes. Returns false when the connection has ended or
   * failed. */
  bool OnReadable();
  /* Writes queued frames until the socket blocks. Returns false when the connection has ended or
   * failed. */
  bool OnWritable();

  /* Returns whether a message was queued more than aLimit ago and has no response yet. */
  bool HasOverdueMessage(TimePoint aNow, Duration aLimit) const;

  /* Returns the longest time for which a message has been arriving without its end, counted from
   * the first call of this function that finds it. */
  Duration LongestIncompleteTime(TimePoint aNow);
  /* Returns the bytes of the messages that are still arriving. */
  std::size_t incompleteMessageBytes() const { return mIncompleteMessageBytes; }
  /* Returns whether a message has arrived to its end. */
  bool hasReceivedMessage() const { return mHasReceivedMessage; }
  /* Returns the size of the incomplete messages after which the connection failed, in bytes.
   * Returns 0 if it did not fail because of their size. */
  std::size_t excessBytes() const { return mExcessBytes; }
  /* The largest size of the incomplete messages of a connection, in bytes. */
  static constexpr std::size_t kIncompleteMessageBytesLimit = 8U << 20U;

  /* Bytes written to and read from the socket, including the framing of HTTP/2. */
  std::uint64_t sentBytes() const { return mSentBytes; }
  std::uint64_t receivedBytes() const { return mReceivedBytes; }
  /* Number of messages that were queued and have no response yet. */
  std::size_t unansweredMessages() const { return mUnansweredMessages.size(); }

private:
  enum class SendOutcome : std::uint8_t
  {
    kSent,
    kBlocked, ///< The socket's send buffer is full.
    kBroken,
  };

  struct OutgoingMessage
  {
    std::vector<std::uint8_t> body;
    std::size_t offset = 0;
    TimePoint queuedAt{};
  };

  struct IncomingMessage
  {
    std::string body;
    std::optional<TimePoint> seenAt; ///< First call of LongestIncompleteTime() that found it.
  };

  static ssize_t ReadMessageBody(nghttp2_session* aSession,
                                 std::int32_t aStream,
                                 std::uint8_t* aBuffer,
                                 std::size_t aLength,
                                 std::uint32_t* aFlags,
                                 nghttp2_data_source* aSource,
                                 void* aSelf);
  static int OnHeadersBegun(nghttp2_session* aSession, const nghttp2_frame* aFrame, void* aSelf);
  static int OnDataChunkReceived(nghttp2_session* aSession,
                                 std::uint8_t aFlags,
                                 std::int32_t aStream,
                                 const std::uint8_t* aData,
                                 std::size_t aLength,
                                 void* aSelf);
  static int OnFrameReceived(nghttp2_session* aSession, const nghttp2_frame* aFrame, void* aSelf);
  static int OnStreamClose(nghttp2_session* aSession,
                           std::int32_t aStream,
                           std::uint32_t aError,
                           void* aSelf);

  /* Sends the remaining bytes of the frame data that was taken from nghttp2. */
  SendOutcome SendUnsent();
  void RemoveIncompleteMessage(std::int32_t aStream);

  int mSocket;
  PeerRole mRole;
  Receiver mReceiver;
  nghttp2_session* mSession = nullptr;
  std::map<std::int32_t, OutgoingMessage> mUnansweredMessages;
  std::map<std::int32_t, IncomingMessage> mIncompleteMessages;
  std::size_t mIncompleteMessageBytes = 0;
  std::size_t mExcessBytes = 0;
  bool mHasReceivedMessage = false;
  std::vector<std::uint8_t> mUnsent; ///< Frame data taken from nghttp2; sent up to mUnsentOffset.
  std::size_t mUnsentOffset = 0;
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceivedBytes = 0;
};

} // namespace rhubarbtrail

#endif
