/* Compares two configurations. */
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

/* One difference: a service, model, adapter, class or customer that was added or removed, or a
 * field whose value changed. */
struct ConfigurationChange
{
  ChangeKind kind = ChangeKind::kChanged;
  std::string path;   ///< Such as "models.NAME", or "models.NAME.memory_mb" for a field.
  std::string before; ///< Text of the former value. Empty unless kind is kChanged.
  std::string after;  ///< Text of the new value. Empty unless kind is kChanged.
};

/* Returns the differences ordered by path. Parsed values are compared, so neither the order and
 * layout of a document nor default values that it states explicitly count as differences. */
std::vector<ConfigurationChange> DiffConfigurations(const Configuration& aBefore,
                                                    const Configuration& aAfter);

std::string_view ToString(ChangeKind aKind);

/* Formats a change as one line without a line break. */
std::string ToText(const ConfigurationChange& aChange);

} // namespace rhubarbtrail

#endif
