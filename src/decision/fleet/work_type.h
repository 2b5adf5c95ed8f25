/* The size and prompt of a request for a model, from which placement estimates its cost. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_WORK_TYPE_H
#define RHUBARBTRAIL_DECISION_FLEET_WORK_TYPE_H

#include "decision/fleet/runner_type.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace rhubarbtrail::fleet {

/* Identifies the contents of a section of a prompt. */
struct PromptPartId
{
  std::uint64_t value = 0;

  auto operator<=>(const PromptPartId&) const = default;
  bool operator==(const PromptPartId&) const = default;
};

/* A section of a prompt. Runners can reuse it for other requests whose prompts begin with the same
 * sections. */
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/* Greatest number of parts by which a request is placed. A request keeps them at its daemon and at
 * the dispatcher while it waits. Prompts of the platform's callers have fewer than ten. */
constexpr std::size_t kMaxPlacementParts = 256;

struct ModelWork
{
  ModelRef target;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0; ///< Upper limit.
  std::vector<PromptPart> parts;  ///< The first of the prompt, at most kMaxPlacementParts.
};

} // namespace rhubarbtrail::fleet

template<>
struct std::hash<rhubarbtrail::fleet::PromptPartId>
{
  std::size_t operator()(const rhubarbtrail::fleet::PromptPartId& aPart) const noexcept
  {
    return std::hash<std::uint64_t>{}(aPart.value);
  }
};

#endif
