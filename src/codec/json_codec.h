/* Encodes and decodes rows, messages and inventories. All are JSON objects, and messages are packed
 * as MessagePack. Decoding ignores unknown members and sets missing ones to their defaults, so that
 * daemons of consecutive releases can exchange them. */
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

/* A message between daemons, with its sender. */
struct Envelope
{
  Incarnation from;
  ConfigVersion senderConfigVersion; ///< Configuration version of the sender.
  Message message;
};

/* Encodes a row value as the JSON text that the table service stores. Returns a description of the
 * error if a text of it, such as the answer of an endpoint, is not UTF-8. */
tl::expected<std::string, std::string> EncodeRow(const RowValue& aValue);

/* Decodes a row value from JSON text. Returns a description of the error if the text is invalid. */
tl::expected<RowValue, std::string> DecodeRow(std::string_view aText);

/* Encodes an envelope as MessagePack. */
std::vector<std::uint8_t> EncodeEnvelope(const Envelope& aEnvelope);

/* Decodes an envelope from MessagePack. Returns a description of the error if it is invalid. */
tl::expected<Envelope, std::string> DecodeEnvelope(std::string_view aBytes);

/* Decodes the inventory of a runner from JSON text. Returns a description of the error if the text
 * is invalid. */
tl::expected<Inventory, std::string> DecodeInventory(std::string_view aText);

} // namespace rhubarbtrail

#endif
