/* Checks the include lines of the decision library: of this project only src/core and src/decision,
 * none of the external libraries listed below, and no standard headers for I/O, threads or random
 * numbers. Decisions must depend only on the events and times passed in, so that tests can run them
 * in simulated time. */
#include <doctest/doctest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <string>

namespace {

/* Returns what is forbidden in an include line, or an empty text if the line is allowed. */
std::string ForbiddenPart(const std::string& aLine)
{
  constexpr std::array kForbidden{ "<thread>",  "<mutex>",      "<fstream>", "<random>",  "<sys/",
                                   "<httplib",  "<nlohmann",    "<yaml-cpp", "<spdlog",   "<urcu",
                                   "<nghttp2/", "<filesystem>", "<atomic>",  "<iostream>" };
  for (const char* header : kForbidden) {
    if (aLine.find(header) != std::string::npos) {
      return header;
    }
  }
  const bool isOwn = aLine.starts_with("#include \"");
  const bool isAllowed =
    aLine.starts_with("#include \"core/") || aLine.starts_with("#include \"decision/");
  return isOwn && !isAllowed ? aLine : std::string{};
}

} // namespace

TEST_CASE("the decision library depends on core types only")
{
  int files = 0;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(std::string{ SOURCE_DIR } + "/src/decision")) {
    if (!entry.is_regular_file()) {
      continue;
    }
    ++files;
    std::ifstream file(entry.path());
    for (std::string line; std::getline(file, line);) {
      if (!line.starts_with("#include")) {
        continue;
      }
      INFO(entry.path().string(), ": ", line);
      CHECK(ForbiddenPart(line).empty());
    }
  }
  CHECK(files > 10);
}
