/* Checks the include lines of the decision library: of this project only src/core and src/decision,
 * none of the external libraries listed below, and no standard headers for I/O, threads or random
 * numbers. Decisions must depend only on the events and times passed in, so that tests can run them
 * in simulated time. */
#include <doctest/doctest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
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

/* Adds the types that a header defines, with their namespace, and returns those known already. */
std::string FindRepeatedTypes(const std::filesystem::path& aHeader, std::set<std::string>& aKnown)
{
  static const std::regex sNamespace{ "^namespace ([a-z:_]+) \\{" };
  static const std::regex sType{ "^(?:struct|class|enum class) ([A-Za-z]+)(?: final)?(?: :.*)?$" };
  std::ifstream file(aHeader);
  std::string scope;
  std::string repeated;
  std::smatch match;
  for (std::string line; std::getline(file, line);) {
    if (std::regex_search(line, match, sNamespace)) {
      scope = match[1];
    } else if (std::regex_search(line, match, sType) &&
               !aKnown.insert(scope + "::" + match[1].str()).second) {
      repeated += scope + "::" + match[1].str() + " ";
    }
  }
  return repeated;
}

} // namespace

// The linker keeps one of each function of two types with one name, so a destructor of the other
// type was run, and the process ended.
TEST_CASE("no two headers define types with one name")
{
  std::set<std::string> known;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(std::string{ SOURCE_DIR } + "/src")) {
    if (entry.path().extension() == ".h") {
      INFO(entry.path().string());
      CHECK(FindRepeatedTypes(entry.path(), known).empty());
    }
  }
  CHECK(known.size() > 200);
}

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
