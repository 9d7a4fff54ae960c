#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "command.h"
#include "table_printer.h"
#include "tarragon/document/line_diff.h"
#include "tarragon/document/operating_document.h"

namespace tarragon::ctl {

namespace {

using nlohmann::json;

constexpr std::string_view kSections = "/admin/document/sections/";
/** First line of a shown section; `put` takes the base version from it. */
constexpr std::string_view kBaseLine = "# base-version: ";
constexpr int kOk = 200;

std::string NewEditId() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> any;
  return fmt::format("ctl-{:016x}{:016x}", any(device), any(device));
}

std::string PathOf(const std::string& section, std::string_view rest = {}) {
  return fmt::format("{}{}{}", kSections, section, rest);
}

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    fmt::print(stderr, "{}: cannot be read\n", name);
    return std::nullopt;
  }
  return std::string{std::istreambuf_iterator<char>(file), {}};
}

/** Takes the base line off the text. @return the version in it, or 0. */
std::uint64_t TakeBaseVersion(std::string& text) {
  if (!text.starts_with(kBaseLine)) {
    return 0;
  }
  const std::size_t end = std::min(text.find('\n'), text.size());
  const std::string number = text.substr(kBaseLine.size(), end - kBaseLine.size());
  text.erase(0, std::min(end + 1, text.size()));
  return std::strtoull(number.c_str(), nullptr, 10);
}

int FinishEdit(const command_context& context, const admin_answer& answer) {
  if (answer.status != kOk) {
    return ReportFailure(answer);
  }
  const json body = json::parse(answer.body, nullptr, false);
  const auto document_version = body.value("document_version", std::uint64_t{0});
  if (context.json) {
    fmt::print("{}\n", answer.body);
  } else {
    fmt::print("section {} is at version {}, document {}\n", body.value("section", ""),
               body.value("version", std::uint64_t{0}), document_version);
  }
  // The wait reports its progress on the error stream, which is not buffered.
  std::fflush(stdout);
  return context.wait ? WaitInForce(context, document_version) : kExitOk;
}

admin_call EditCall(const command_context& context, std::string path, std::uint64_t base) {
  admin_call call;
  call.method = "PUT";
  call.path = std::move(path);
  call.headers = {{"If-Match", fmt::format("\"{}\"", base)}, {"Edit-Id", NewEditId()}};
  if (!context.author.empty()) {
    call.headers["Author"] = context.author;
  }
  return call;
}

int List(const command_context& context) {
  const admin_answer answer = context.client.Get("/admin/document");
  if (answer.status != kOk) {
    return ReportFailure(answer);
  }
  if (context.json) {
    fmt::print("{}\n", answer.body);
    return kExitOk;
  }
  const json body = json::parse(answer.body, nullptr, false);
  table_printer table({"SECTION", "VERSION"});
  // `items` refers to its object, which a loop over a temporary would have destroyed already.
  const json sections = body.value("sections", json::object());
  for (const auto& [name, version] : sections.items()) {
    table.Add({name, version.is_number_unsigned() ? version.dump() : "-"});
  }
  table.Print();
  return kExitOk;
}

int Show(const command_context& context) {
  const admin_answer answer = context.client.Get(PathOf(context.arguments[2]));
  if (answer.status != kOk) {
    return ReportFailure(answer);
  }
  fmt::print("{}{}\n{}", kBaseLine, VersionOf(answer), answer.body);
  return kExitOk;
}

int Put(const command_context& context) {
  std::optional<std::string> text = ReadFile(context.arguments[3]);
  if (!text) {
    return kExitUsage;
  }
  const std::uint64_t in_file = TakeBaseVersion(*text);
  const std::uint64_t base = context.base_version != 0 ? context.base_version : in_file;
  if (base == 0) {
    fmt::print(stderr,
               "the base version is not known: pass --base, or start from the output of "
               "'tarragonctl section show {}'\n",
               context.arguments[2]);
    return kExitUsage;
  }
  admin_call call = EditCall(context, PathOf(context.arguments[2]), base);
  call.body = *std::move(text);
  return FinishEdit(context, context.client.Call(call));
}

int Edit(const command_context& context) {
  const admin_answer present = context.client.Get(PathOf(context.arguments[2]));
  if (present.status != kOk) {
    return ReportFailure(present);
  }
  const std::string& before = context.arguments[3];
  std::string text = present.body;
  const std::size_t place = text.find(before);
  if (place == std::string::npos || text.find(before, place + 1) != std::string::npos) {
    fmt::print(stderr, "the text to replace must stand in the section exactly once\n");
    return kExitUsage;
  }
  text.replace(place, before.size(), context.arguments[4]);
  admin_call call = EditCall(context, PathOf(context.arguments[2]), VersionOf(present));
  call.body = std::move(text);
  return FinishEdit(context, context.client.Call(call));
}

int Undo(const command_context& context) {
  const admin_answer present = context.client.Get(PathOf(context.arguments[2]));
  if (present.status != kOk) {
    return ReportFailure(present);
  }
  admin_call call = EditCall(context, PathOf(context.arguments[2], "/undo"), VersionOf(present));
  call.method = "POST";
  call.body = json{{"version", std::strtoull(context.arguments[3].c_str(), nullptr, 10)}}.dump();
  return FinishEdit(context, context.client.Call(call));
}

int History(const command_context& context) {
  const admin_answer answer = context.client.Get(PathOf(context.arguments[2], "/history"));
  if (answer.status != kOk) {
    return ReportFailure(answer);
  }
  if (context.json) {
    fmt::print("{}\n", answer.body);
    return kExitOk;
  }
  const json body = json::parse(answer.body, nullptr, false);
  table_printer table({"VERSION", "AUTHOR", "EDIT"});
  for (const json& entry : body.value("versions", json::array())) {
    table.Add({std::to_string(entry.value("version", std::uint64_t{0})), entry.value("author", ""),
               entry.value("edit_id", "")});
  }
  table.Print();
  return kExitOk;
}

int Diff(const command_context& context) {
  const std::string& section = context.arguments[2];
  const admin_answer older =
      context.client.Get(PathOf(section, "/history/" + context.arguments[3]));
  if (older.status != kOk) {
    return ReportFailure(older);
  }
  const bool with_present = context.arguments.size() < 5;
  const admin_answer newer = context.client.Get(
      with_present ? PathOf(section) : PathOf(section, "/history/" + context.arguments[4]));
  if (newer.status != kOk) {
    return ReportFailure(newer);
  }
  fmt::print("{}", document::LineDiff(older.body, newer.body));
  return kExitOk;
}

struct subcommand {
  std::string_view name;
  /** Number of words with `section` and the name, at least and at most. */
  std::size_t min_words;
  std::size_t max_words;
  std::string_view usage;
  int (*run)(const command_context&);
};

constexpr subcommand kSubcommands[] = {
    {"list", 2, 2, "section list", List},
    {"show", 3, 3, "section show NAME", Show},
    {"put", 4, 4, "section put NAME FILE [--base VERSION] [--wait]", Put},
    {"edit", 5, 5, "section edit NAME OLD-TEXT NEW-TEXT [--wait]", Edit},
    {"undo", 4, 4, "section undo NAME VERSION [--wait]", Undo},
    {"history", 3, 3, "section history NAME", History},
    {"diff", 4, 5, "section diff NAME VERSION [VERSION]", Diff},
};

}  // namespace

int RunSection(const command_context& context) {
  const std::size_t words = context.arguments.size();
  for (const subcommand& command : kSubcommands) {
    if (words >= 2 && context.arguments[1] == command.name) {
      if (words >= command.min_words && words <= command.max_words) {
        return command.run(context);
      }
      fmt::print(stderr, "usage: tarragonctl {}\n", command.usage);
      return kExitUsage;
    }
  }
  for (const subcommand& command : kSubcommands) {
    fmt::print(stderr, "usage: tarragonctl {}\n", command.usage);
  }
  return kExitUsage;
}

int RunInit(const command_context& context) {
  if (context.arguments.size() != 2) {
    fmt::print(stderr, "usage: tarragonctl init DIRECTORY\n");
    return kExitUsage;
  }
  json sections = json::object();
  for (const std::string& name : document::SectionNames()) {
    const auto text = ReadFile(fmt::format("{}/{}.toml", context.arguments[1], name));
    if (!text) {
      return kExitUsage;
    }
    sections[name] = *text;
  }
  admin_call call = EditCall(context, "/admin/document", 0);
  call.body = json{{"sections", sections}}.dump();
  const admin_answer answer = context.client.Call(call);
  if (answer.status != kOk) {
    return ReportFailure(answer);
  }
  const json body = json::parse(answer.body, nullptr, false);
  const auto version = body.value("document_version", std::uint64_t{0});
  fmt::print("the document is at version {}\n", version);
  std::fflush(stdout);
  return context.wait ? WaitInForce(context, version) : kExitOk;
}

}  // namespace tarragon::ctl
