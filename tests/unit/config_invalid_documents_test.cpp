/* Invalid configuration documents and the error that each of them gets. */
#include "config/configuration_document.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

using namespace rhubarbtrail;

namespace {

const std::string kHashA(64, 'a');

/* A valid document. Each case replaces one part of it. HASH stands for a key hash. */
const std::string kValidDocument = R"(services:
  language:
    kind: models
    runner_memory_mb: 80000
    kv_cache_reserve_mb: 16000
    store: {loads_per_second: 4}
    keep_alive: {policy: histogram, percentile: 90, minimum_ms: 10, maximum_ms: 20}
  ledger:
    kind: plain
    routes:
    - {method: POST, path: /payments, class: payment}
    - {method: GET, path: /balance, class: default}
models:
  payslip: {service: language, memory_mb: 8000, adapters: {tone: {memory_mb: 200}}}
classes:
  default: {priority: 2, deadline_ms: 30000}
  payment: {repeat: never}
customers:
  families: {key_hashes: [HASH], models: [payslip], services: [ledger]}
)";

struct InvalidDocument
{
  std::string
    replacedPart; ///< Part of the valid document that is replaced. Empty: the whole document.
  std::string replacement; ///< Replacement.
  int line = 0;            ///< Line of the error.
  std::string path;        ///< Path of the error.
  std::string reason;      ///< Text that the reason must contain.
};

std::string MakeText(const InvalidDocument& aCase)
{
  std::string text = aCase.replacedPart.empty() ? aCase.replacement : kValidDocument;
  if (!aCase.replacedPart.empty()) {
    const auto position = text.find(aCase.replacedPart);
    REQUIRE(position != std::string::npos);
    text.replace(position, aCase.replacedPart.size(), aCase.replacement);
  }
  for (auto position = text.find("HASH"); position != std::string::npos;
       position = text.find("HASH")) {
    text.replace(position, 4, kHashA);
  }
  return text;
}

std::string ErrorsAsText(const tl::expected<Configuration, std::vector<DocumentError>>& aResult)
{
  std::string text;
  if (!aResult) {
    for (const DocumentError& error : aResult.error()) {
      text += std::to_string(error.line) + ": " + error.path + ": " + error.reason + "\n";
    }
  }
  return text;
}

/* One case a row: line, path and reason of the error, the replaced part, and its replacement. */
const std::string kReplacementCases = R"(1 | sevices | unknown key | services: | sevices:
15 | models | appears twice | models:\n | models:\n  payslip: {}\nmodels:\n
13 | models | must be a mapping | models:\n  payslip: | models:\nother:\n  payslip:
1 | classes | at least one request class | classes:\n  default: {priority: 2, deadline_ms: 30000}\n  payment: {repeat: never}\n | (nothing)
15 | classes | 'default' is needed |   default: { |   normal: {
14 | models.pay/slip | names have 1 to 128 | payslip: { | pay/slip: {
14 | models.pay:slip | names have 1 to 128 | payslip: { | 'pay:slip': {
14 | models. | names have 1 to 128 | payslip: { | '': {
14 | models. | names have 1 to 128 |   payslip: { |   ? [a, b]\n  : {
8 | services.language | appears twice |   ledger: |   language:
4 | services.language.runner_memory_mb | 'many' is not a number | 80000 | many
4 | services.language.runner_memory_mb | '8e4' is not a number | 80000 | 8e4
4 | services.language.runner_memory_mb | '-1' is out of range | 80000 | -1
4 | services.language.runner_memory_mb | not a number | 80000 | 0x9000
4 | services.language.runner_memory_mb | must be a number | 80000 | '80000'
4 | services.language.runner_memory_mb | out of range | 80000 | 99999999999999999999
4 | services.language.runner_memory_mb | must be a number | 80000 | {a: 1}
4 | services.language.runner_memory_mb | must be a number | 80000 | ~
6 | services.language.store.loads_per_second | out of range | second: 4 | second: nan
6 | services.language.store.loads_per_second | not a number | second: 4 | second: .nan
6 | services.language.store.loads_per_second | out of range | second: 4 | second: inf
3 | services.language.kind | must be one of: models, plain | kind: models | kind: model
17 | classes.payment.repeat | must be one of | repeat: never | repeat: once
16 | classes.default.priority | 0 to 9 | priority: 2 | priority: 10
16 | classes.default.deadline_ms | out of range | deadline_ms: 30000 | deadline_ms: 0
14 | models.payslip.adapters | mapping from names | adapters: {tone: {memory_mb: 200}} | adapters: [tone]
14 | models.payslip.version | must be a text | memory_mb: 8000, | memory_mb: 8000, version: "a\\nb",
19 | customers.families.models | must be a list | [payslip] | payslip
14 | models.payslip.service | is missing | service: language,  | (nothing)
14 | models.payslip.memory_mb | is missing | memory_mb: 8000,  | (nothing)
11 | services.ledger.routes[0].class | is missing | , class: payment | (nothing)
11 | services.ledger.routes[0].path | is missing | path: /payments,  | (nothing)
19 | customers.families.key_hashes | at least one key hash | key_hashes: [HASH],  | (nothing)
19 | customers.families | may call nothing | models: [payslip], services: [ledger] | models: []
14 | models.payslip.service | unknown service | service: language | service: other
14 | models.payslip.service | plain service | service: language | service: ledger
11 | services.ledger.routes[0].class | unknown class | class: payment | class: other
19 | customers.families.models | unknown model | [payslip] | [other]
19 | customers.families.services | unknown service | [ledger] | [other]
19 | customers.families.services | list them under models | [ledger] | [language]
19 | customers.families.services[1] | appears twice | [ledger] | [ledger, ledger]
19 | customers.families.key_hashes[0] | 64 lower-case hex digits | [HASH] | [abc]
20 | customers.families.key_hashes | shares a key with customer 'clerks' | customers:\n | customers:\n  clerks: {key_hashes: [HASH], models: all}\n
14 | models.payslip.memory_mb | needs 64100 MB with its adapters; a runner has 64000 MB | memory_mb: 8000, | memory_mb: 63900,
5 | services.language.kv_cache_reserve_mb | leaves no memory | reserve_mb: 16000 | reserve_mb: 80000
7 | services.language.keep_alive.minimum_ms | larger | minimum_ms: 10 | minimum_ms: 30
7 | services.language.keep_alive.percentile | another policy | policy: histogram | policy: fixed
14 | models.payslip.expected_load_ms | no cold request can be answered | memory_mb: 8000, | memory_mb: 8000, expected_load_ms: 30000,
12 | services.ledger.routes[1].path | with a slash | path: /balance | path: balance
12 | services.ledger.routes[1] | never reached | method: GET, path: /balance | method: POST, path: /payments/old
12 | services.ledger.routes[1] | never reached | {method: POST, path: /payments | {path: /
12 | services.ledger.routes[1].method | must be one of | method: GET | method: get
10 | services.ledger.orders | kind models | kind: plain\n | kind: plain\n    orders: checked\n
4 | services.language.routes | kind plain | kind: models\n | kind: models\n    routes: [{path: /x, class: default}]\n
)";

/* Cases that replace the whole document, and one whose replacement is too long for a row. */
const std::vector<InvalidDocument> kWholeDocumentCases{
  { "", "", 1, "", "the document is empty" },
  { "", "just a text", 1, "", "must be a mapping" },
  { "", "- a\n- list", 1, "", "must be a mapping" },
  { "", "services: {a: [}", 1, "", "" },
  { "", "a: \"open", 1, "", "illegal EOF" },
  { "", kValidDocument + "---\nmore: 1\n", 20, "", "more than one document" },
  { "", "x: " + std::string(5U << 20U, 'x'), 1, "", "larger than 4 MiB" },
  { "", "x: " + std::string(400, '[') + std::string(400, ']'), 1, "", "nested too deeply" },
  { "", "x: " + std::string(60'000, '['), 1, "", "" },
  { "", "a: &a [x]\nb: [*a, *a]", 2, "", "aliases are not supported" },
  { "", "a: &a [*a]", 1, "", "aliases are not supported" },
  { "payslip: {", std::string(129, 'n') + ": {", 14, "models." + std::string(129, 'n'), "names" }
};

std::string Unescape(std::string aText)
{
  for (auto position = aText.find("\\n"); position != std::string::npos;
       position = aText.find("\\n", position)) {
    const bool isEscaped = position > 0 && aText[position - 1] == '\\';
    isEscaped ? aText.erase(position++ - 1, 1) : aText.replace(position, 2, "\n");
  }
  return aText == "(nothing)" ? std::string{} : aText;
}

std::vector<InvalidDocument> InvalidDocuments()
{
  std::vector<InvalidDocument> all = kWholeDocumentCases;
  std::istringstream table(kReplacementCases);
  for (std::string row; std::getline(table, row);) {
    std::vector<std::string> fields;
    for (std::size_t from = 0, to = 0; to != std::string::npos; from = to + 3) {
      to = row.find(" | ", from);
      fields.push_back(row.substr(from, to == std::string::npos ? to : to - from));
    }
    REQUIRE(fields.size() == 5);
    all.push_back(
      { Unescape(fields[3]), Unescape(fields[4]), std::stoi(fields[0]), fields[1], fields[2] });
  }
  return all;
}

} // namespace

TEST_CASE("The document from which the invalid ones are made is valid")
{
  const auto result = ParseConfiguration(MakeText({ "customers:", "customers:" }), { 7 });
  INFO(ErrorsAsText(result));
  REQUIRE(result.has_value());
  CHECK(result->version.value == 7);
}

TEST_CASE("Each invalid document gets its error, with line, path and reason")
{
  const auto documents = InvalidDocuments();
  CHECK(documents.size() == 66);
  for (const InvalidDocument& invalid : documents) {
    const std::string text = MakeText(invalid);
    const auto result = ParseConfiguration(text, { 1 });
    INFO("in place of '" << invalid.replacedPart << "': " << invalid.replacement.substr(0, 120)
                         << "\n"
                         << ErrorsAsText(result));
    REQUIRE_FALSE(result.has_value());
    const auto& errors = result.error();
    CHECK(std::any_of(errors.begin(), errors.end(), [&](const DocumentError& aError) {
      return aError.line == invalid.line && aError.path == invalid.path &&
             aError.reason.find(invalid.reason) != std::string::npos;
    }));
  }
}

TEST_CASE("All errors of a document are reported together, ordered by line")
{
  const auto result = ParseConfiguration(
    "services: {a: {kind: x}}\nmodels:\n  m: {service: b}\nclasses: {default: {priority: -1}}\n",
    { 1 });
  REQUIRE_FALSE(result.has_value());
  CHECK(ErrorsAsText(result) == "1: services.a.kind: must be one of: models, plain\n"
                                "3: models.m.memory_mb: is missing\n"
                                "3: models.m.service: names the unknown service 'b'\n"
                                "4: classes.default.priority: '-1' is not a number (0 to 9)\n");
}
