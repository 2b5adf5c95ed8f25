/* The work of a request for a model, as the placement decisions see it. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_WORK_TYPE_H
#define RHUBARBTRAIL_DECISION_FLEET_WORK_TYPE_H

#include "decision/fleet/runner_type.h"

#include <cstdint>
#include <vector>

namespace rhubarbtrail::fleet {

/* A part of a prompt that other requests may share. */
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

struct ModelWork
{
  ModelRef target;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0; ///< At most.
  std::vector<PromptPart> parts;
};

} // namespace rhubarbtrail::fleet

#endif
