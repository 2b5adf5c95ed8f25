/* Changes the list of drained endpoints in a configuration document. */
#include "operator/drained_runner.h"

#include <yaml-cpp/yaml.h>

namespace rhubarbtrail {

tl::expected<std::string, std::string> SetRunnerDrained(const std::string& aDocument,
                                                        const ServiceId& aService,
                                                        const EndpointId& aRunner,
                                                        Drained aDrained)
{
  try {
    YAML::Node root = YAML::Load(aDocument);
    YAML::Node services = root["services"];
    if (!services[aService.str()]) {
      return tl::make_unexpected("there is no service '" + aService.str() + "'");
    }
    YAML::Node service = services[aService.str()];
    YAML::Node drained(YAML::NodeType::Sequence);
    const YAML::Node currentList = service["drained"];
    for (std::size_t index = 0; currentList && index < currentList.size(); ++index) {
      if (currentList[index].Scalar() != aRunner.str()) {
        drained.push_back(currentList[index].Scalar());
      }
    }
    if (aDrained == Drained::kYes) {
      drained.push_back(aRunner.str());
    }
    service["drained"] = drained;
    return YAML::Dump(root) + "\n";
  } catch (const YAML::Exception& error) {
    return tl::make_unexpected(error.msg);
  }
}

} // namespace rhubarbtrail
