/* JSON forms of rows and messages. Unknown members are ignored and missing ones take their
 * defaults, so that daemons of neighbouring releases understand each other. */
#ifndef RHUBARBTRAIL_CODEC_JSON_CODEC_H
#define RHUBARBTRAIL_CODEC_JSON_CODEC_H

#include "decision/event_type.h"
#include "decision/message_type.h"
#include "decision/row_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace rhubarbtrail {

/* A message with its sender, as it travels between daemons. */
struct Envelope
{
  Incarnation from;
  ConfigVersion senderVersion;
  Message message;
};

/* Returns the text that the table service stores for a row value. */
std::string EncodeRow(const RowValue& aValue);

/* Reads a stored row value; the error says what is wrong with it. */
tl::expected<RowValue, std::string> DecodeRow(std::string_view aText);

/* Returns an envelope as MessagePack. */
std::vector<std::uint8_t> EncodeEnvelope(const Envelope& aEnvelope);

/* Reads an envelope; the error says what is wrong with it. */
tl::expected<Envelope, std::string> DecodeEnvelope(std::string_view aBytes);

/* Reads a runner's inventory from its JSON form. */
tl::expected<Inventory, std::string> DecodeInventory(std::string_view aText);

} // namespace rhubarbtrail

#endif
