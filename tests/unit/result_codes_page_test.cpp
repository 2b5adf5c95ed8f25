/* docs/RESULT_CODES.md must list every result code with its current values. */
#include "core/result_code_type.h"

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <string>

using namespace rhubarbtrail;

TEST_CASE("The page of result codes has exactly one row for each code")
{
  std::set<std::string> expected;
  for (const ResultCodeInfo& info : ResultCodes()) {
    expected.insert("| " + std::to_string(static_cast<int>(info.code)) + " | `" +
                    std::string{ info.name } + "` | " + std::to_string(info.httpStatus) + " | `" +
                    std::string{ ToString(info.execution) } + "` | " + std::string{ info.message } +
                    " |");
  }
  std::set<std::string> listed;
  std::ifstream file(std::string{ SOURCE_DIR } + "/docs/RESULT_CODES.md");
  for (std::string line; std::getline(file, line);) {
    const bool isRow = line.starts_with("| ") && line.size() > 2 && std::isdigit(line[2]) != 0;
    if (isRow) {
      // The last column tells what the caller can do. The code has no such text.
      listed.insert(line.substr(0, line.rfind('|', line.size() - 2) + 1));
    }
  }
  CHECK(expected == listed);
}
