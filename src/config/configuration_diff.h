/* What a change of configuration would do. */
#ifndef RHUBARBTRAIL_CONFIG_CONFIGURATION_DIFF_H
#define RHUBARBTRAIL_CONFIG_CONFIGURATION_DIFF_H

#include "decision/configuration_type.h"

#include <string>
#include <vector>

namespace rhubarbtrail {

enum class ChangeKind : std::uint8_t
{
  kAdded,
  kRemoved,
  kChanged,
};

/* One part that differs: a service, model, adapter, class or customer that comes or goes, or one
 * field of a part that stays. */
struct ConfigurationChange
{
  ChangeKind kind = ChangeKind::kChanged;
  std::string path;
  std::string before; ///< Empty unless a field changed.
  std::string after;
};

/* Compares meanings, not texts: order, layout and written-out defaults make no difference. */
std::vector<ConfigurationChange> Diff(const Configuration& aBefore, const Configuration& aAfter);

/* Returns the word of a kind of change. */
std::string_view ToString(ChangeKind aKind);

/* Returns a change as a line of text. */
std::string ToText(const ConfigurationChange& aChange);

} // namespace rhubarbtrail

#endif
