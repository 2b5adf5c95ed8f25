/* HTTP/2 connections between daemons, implemented with nghttp2. */
#include "peer/peer_connection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace rhubarbtrail {

namespace {

/* Open streams of one connection at a time. Each message without a response occupies one. */
constexpr std::uint32_t kStreamLimit = 1'024;
/* Flow-control window of a stream and of a connection, in bytes. */
constexpr std::uint32_t kFlowControlWindow = 8U << 20U;
constexpr std::size_t kReadBufferSize = 64U << 10U;

nghttp2_nv MakeHeaderField(const char* aName, const char* aValue)
{
  // The casts are safe: nghttp2 copies names and values and does not modify them.
  return { reinterpret_cast<std::uint8_t*>(const_cast<char*>(aName)),
           reinterpret_cast<std::uint8_t*>(const_cast<char*>(aValue)),
           std::strlen(aName),
           std::strlen(aValue),
           NGHTTP2_NV_FLAG_NONE };
}

} // namespace

PeerConnection::PeerConnection(int aSocket, PeerRole aRole, Receiver aReceiver)
  : mSocket(aSocket)
  , mRole(aRole)
  , mReceiver(std::move(aReceiver))
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, OnHeadersBegun);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnDataChunkReceived);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrameReceived);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnStreamClose);
  if (mRole == PeerRole::kServer) {
    nghttp2_session_server_new(&mSession, callbacks, this);
  } else {
    nghttp2_session_client_new(&mSession, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const std::array<nghttp2_settings_entry, 2> settings{
    { { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kStreamLimit },
      { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kFlowControlWindow } }
  };
  nghttp2_submit_settings(mSession, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(
    mSession, NGHTTP2_FLAG_NONE, 0, static_cast<std::int32_t>(kFlowControlWindow));
}

PeerConnection::~PeerConnection()
{
  nghttp2_session_del(mSession);
  close(mSocket);
}

bool PeerConnection::WantsWrite() const
{
  return mUnsentOffset < mUnsent.size() || nghttp2_session_want_write(mSession) != 0;
}

bool PeerConnection::Submit(std::vector<std::uint8_t> aBody, TimePoint aNow)
{
  if (mUnansweredMessages.size() >= kStreamLimit) {
    return false;
  }
  const std::array headers{ MakeHeaderField(":method", "POST"),
                            MakeHeaderField(":scheme", "http"),
                            MakeHeaderField(":authority", "peer"),
                            MakeHeaderField(":path", "/v1/message") };
  nghttp2_data_provider body{ .source = {}, .read_callback = ReadMessageBody };
  const std::int32_t stream =
    nghttp2_submit_request(mSession, nullptr, headers.data(), headers.size(), &body, nullptr);
  if (stream < 0) {
    return false;
  }
  mUnansweredMessages[stream] = { std::move(aBody), 0, aNow };
  return true;
}

ssize_t PeerConnection::ReadMessageBody(nghttp2_session* /*aSession*/,
                                        std::int32_t aStream,
                                        std::uint8_t* aBuffer,
                                        std::size_t aLength,
                                        std::uint32_t* aFlags,
                                        nghttp2_data_source* /*aSource*/,
                                        void* aSelf)
{
  OutgoingMessage& outgoing = static_cast<PeerConnection*>(aSelf)->mUnansweredMessages[aStream];
  const std::size_t count = std::min(aLength, outgoing.body.size() - outgoing.offset);
  std::copy_n(outgoing.body.begin() + static_cast<std::ptrdiff_t>(outgoing.offset), count, aBuffer);
  outgoing.offset += count;
  if (outgoing.offset == outgoing.body.size()) {
    *aFlags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

int PeerConnection::OnHeadersBegun(nghttp2_session* /*aSession*/,
                                   const nghttp2_frame* aFrame,
                                   void* aSelf)
{
  auto* self = static_cast<PeerConnection*>(aSelf);
  if (self->mRole == PeerRole::kServer) {
    self->mIncompleteMessages.try_emplace(aFrame->hd.stream_id);
  }
  return 0;
}

int PeerConnection::OnDataChunkReceived(nghttp2_session* /*aSession*/,
                                        std::uint8_t /*aFlags*/,
                                        std::int32_t aStream,
                                        const std::uint8_t* aData,
                                        std::size_t aLength,
                                        void* aSelf)
{
  auto* self = static_cast<PeerConnection*>(aSelf);
  if (self->mRole != PeerRole::kServer) {
    return 0;
  }
  if (self->mIncompleteMessageBytes + aLength > kIncompleteMessageBytesLimit) {
    self->mExcessBytes = self->mIncompleteMessageBytes + aLength;
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }
  self->mIncompleteMessageBytes += aLength;
  self->mIncompleteMessages[aStream].body.append(reinterpret_cast<const char*>(aData), aLength);
  return 0;
}

int PeerConnection::OnFrameReceived(nghttp2_session* aSession,
                                    const nghttp2_frame* aFrame,
                                    void* aSelf)
{
  auto* self = static_cast<PeerConnection*>(aSelf);
  const bool isStreamEnd = (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  const bool isRequestEnd = self->mRole == PeerRole::kServer && isStreamEnd &&
                            (aFrame->hd.type == NGHTTP2_DATA || aFrame->hd.type == NGHTTP2_HEADERS);
  if (!isRequestEnd) {
    return 0;
  }
  self->mHasReceivedMessage = true;
  self->mReceiver(self->mIncompleteMessages[aFrame->hd.stream_id].body);
  self->RemoveIncompleteMessage(aFrame->hd.stream_id);
  const std::array headers{ MakeHeaderField(":status", "204") };
  nghttp2_submit_response(aSession, aFrame->hd.stream_id, headers.data(), headers.size(), nullptr);
  return 0;
}

int PeerConnection::OnStreamClose(nghttp2_session* /*aSession*/,
                                  std::int32_t aStream,
                                  std::uint32_t /*aError*/,
                                  void* aSelf)
{
  auto* self = static_cast<PeerConnection*>(aSelf);
  self->mUnansweredMessages.erase(aStream);
  self->RemoveIncompleteMessage(aStream);
  return 0;
}

void PeerConnection::RemoveIncompleteMessage(std::int32_t aStream)
{
  const auto found = mIncompleteMessages.find(aStream);
  if (found != mIncompleteMessages.end()) {
    mIncompleteMessageBytes -= found->second.body.size();
    mIncompleteMessages.erase(found);
  }
}

bool PeerConnection::OnReadable()
{
  std::array<std::uint8_t, kReadBufferSize> buffer{};
  const ssize_t count = recv(mSocket, buffer.data(), buffer.size(), 0);
  if (count == 0) {
    return false;
  }
  if (count < 0) {
    return errno == EAGAIN || errno == EINTR;
  }
  mReceivedBytes += static_cast<std::uint64_t>(count);
  if (nghttp2_session_mem_recv(mSession, buffer.data(), static_cast<std::size_t>(count)) < 0) {
    return false;
  }
  return OnWritable();
}

bool PeerConnection::OnWritable()
{
  while (true) {
    switch (SendUnsent()) {
      case SendOutcome::kBroken:
        return false;
      case SendOutcome::kBlocked:
        return true;
      case SendOutcome::kSent:
        break;
    }
    const std::uint8_t* data = nullptr;
    const ssize_t length = nghttp2_session_mem_send(mSession, &data);
    if (length < 0) {
      return false;
    }
    if (length == 0) {
      return nghttp2_session_want_read(mSession) != 0 || nghttp2_session_want_write(mSession) != 0;
    }
    mUnsent.assign(data, data + length);
    mUnsentOffset = 0;
  }
}

PeerConnection::SendOutcome PeerConnection::SendUnsent()
{
  while (mUnsentOffset < mUnsent.size()) {
    const ssize_t sent =
      send(mSocket, mUnsent.data() + mUnsentOffset, mUnsent.size() - mUnsentOffset, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0) {
      return errno == EAGAIN ? SendOutcome::kBlocked : SendOutcome::kBroken;
    }
    mUnsentOffset += static_cast<std::size_t>(sent);
    mSentBytes += static_cast<std::uint64_t>(sent);
  }
  return SendOutcome::kSent;
}

bool PeerConnection::HasOverdueMessage(TimePoint aNow, Duration aLimit) const
{
  return std::any_of(mUnansweredMessages.begin(),
                     mUnansweredMessages.end(),
                     [&](const auto& aItem) { return aNow - aItem.second.queuedAt > aLimit; });
}

Duration PeerConnection::LongestIncompleteTime(TimePoint aNow)
{
  Duration longest{};
  for (auto& [stream, message] : mIncompleteMessages) {
    if (!message.seenAt) {
      message.seenAt = aNow;
    }
    longest = std::max(longest, aNow - *message.seenAt);
  }
  return longest;
}

} // namespace rhubarbtrail
