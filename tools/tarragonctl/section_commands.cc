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
/** Start of the first line that `show` prints; `put` reads the base version from that line. */
constexpr std::string_view kBaseVersionPrefix = "# base-version: ";
constexpr int kHttpOk = 200;

std::string NewEditId() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> distribution;
  return fmt::format("ctl-{:016x}{:016x}", distribution(device), distribution(device));
}

std::string SectionPath(const std::string& section, std::string_view rest = {}) {
  return fmt::format("{}{}{}", kSections, section, rest);
}

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    fmt::print(stderr, "cannot read file {}\n", name);
    return std::nullopt;
  }
  return std::string{std::istreambuf_iterator<char>(file), {}};
}

/** Removes the base-version line from `text`. @return its version, or 0 if there is none. */
std::uint64_t RemoveBaseVersionLine(std::string& text) {
  if (!text.starts_with(kBaseVersionPrefix)) {
    return 0;
  }
  const std::size_t end = std::min(text.find('\n'), text.size());
  const std::string version =
      text.substr(kBaseVersionPrefix.size(), end - kBaseVersionPrefix.size());
  text.erase(0, std::min(end + 1, text.size()));
  return std::strtoull(version.c_str(), nullptr, 10);
}

int FinishEdit(const command_context& context, const admin_response& response) {
  if (response.status != kHttpOk) {
    return ReportFailure(response);
  }
  const json body = json::parse(response.body, nullptr, false);
  const auto document_version = body.value("document_version", std::uint64_t{0});
  if (context.json) {
    fmt::print("{}\n", response.body);
  } else {
    fmt::print("section {} is at version {}, document {}\n", body.value("section", ""),
               body.value("version", std::uint64_t{0}), document_version);
  }
  // WaitInForce prints to standard error, which is unbuffered, so this output must come first.
  std::fflush(stdout);
  return context.wait ? WaitInForce(context, document_version) : kExitOk;
}

admin_request MakeEditRequest(const command_context& context,
                              std::string path,
                              std::uint64_t base) {
  admin_request request;
  request.method = "PUT";
  request.path = std::move(path);
  request.headers = {{"If-Match", fmt::format("\"{}\"", base)}, {"Edit-Id", NewEditId()}};
  if (!context.author.empty()) {
    request.headers["Author"] = context.author;
  }
  return request;
}

int List(const command_context& context) {
  const admin_response response = context.client.Get("/admin/document");
  if (response.status != kHttpOk) {
    return ReportFailure(response);
  }
  if (context.json) {
    fmt::print("{}\n", response.body);
    return kExitOk;
  }
  const json body = json::parse(response.body, nullptr, false);
  table_printer table({"SECTION", "VERSION"});
  // `items` refers to its object, so the object must outlive the loop and cannot be a temporary.
  const json sections = body.value("sections", json::object());
  for (const auto& [name, version] : sections.items()) {
    table.Add({name, version.is_number_unsigned() ? version.dump() : "-"});
  }
  table.Print();
  return kExitOk;
}

int Show(const command_context& context) {
  const admin_response response = context.client.Get(SectionPath(context.arguments[2]));
  if (response.status != kHttpOk) {
    return ReportFailure(response);
  }
  fmt::print("{}{}\n{}", kBaseVersionPrefix, ParseETagVersion(response), response.body);
  return kExitOk;
}

int Put(const command_context& context) {
  std::optional<std::string> text = ReadFile(context.arguments[3]);
  if (!text) {
    return kExitUsage;
  }
  const std::uint64_t file_version = RemoveBaseVersionLine(*text);
  const std::uint64_t base = context.base_version != 0 ? context.base_version : file_version;
  if (base == 0) {
    fmt::print(stderr,
               "the base version is unknown: pass --base, or start from the output of "
               "'tarragonctl section show {}'\n",
               context.arguments[2]);
    return kExitUsage;
  }
  admin_request request = MakeEditRequest(context, SectionPath(context.arguments[2]), base);
  request.body = *std::move(text);
  return FinishEdit(context, context.client.Call(request));
}

int Edit(const command_context& context) {
  const admin_response current = context.client.Get(SectionPath(context.arguments[2]));
  if (current.status != kHttpOk) {
    return ReportFailure(current);
  }
  const std::string& old_text = context.arguments[3];
  std::string text = current.body;
  const std::size_t position = text.find(old_text);
  if (position == std::string::npos || text.find(old_text, position + 1) != std::string::npos) {
    fmt::print(stderr, "OLD-TEXT must occur in the section exactly once\n");
    return kExitUsage;
  }
  text.replace(position, old_text.size(), context.arguments[4]);
  admin_request request =
      MakeEditRequest(context, SectionPath(context.arguments[2]), ParseETagVersion(current));
  request.body = std::move(text);
  return FinishEdit(context, context.client.Call(request));
}

int Undo(const command_context& context) {
  const admin_response current = context.client.Get(SectionPath(context.arguments[2]));
  if (current.status != kHttpOk) {
    return ReportFailure(current);
  }
  admin_request request = MakeEditRequest(context, SectionPath(context.arguments[2], "/undo"),
                                          ParseETagVersion(current));
  request.method = "POST";
  request.body = json{{"version", std::strtoull(context.arguments[3].c_str(), nullptr, 10)}}.dump();
  return FinishEdit(context, context.client.Call(request));
}

int History(const command_context& context) {
  const admin_response response = context.client.Get(SectionPath(context.arguments[2], "/history"));
  if (response.status != kHttpOk) {
    return ReportFailure(response);
  }
  if (context.json) {
    fmt::print("{}\n", response.body);
    return kExitOk;
  }
  const json body = json::parse(response.body, nullptr, false);
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
  const admin_response older =
      context.client.Get(SectionPath(section, "/history/" + context.arguments[3]));
  if (older.status != kHttpOk) {
    return ReportFailure(older);
  }
  const bool with_current = context.arguments.size() < 5;
  const admin_response newer =
      context.client.Get(with_current ? SectionPath(section)
                                      : SectionPath(section, "/history/" + context.arguments[4]));
  if (newer.status != kHttpOk) {
    return ReportFailure(newer);
  }
  fmt::print("{}", document::LineDiff(older.body, newer.body));
  return kExitOk;
}

struct subcommand {
  std::string_view name;
  /** Range of the argument count, including `section` and the subcommand name. */
  std::size_t min_arguments;
  std::size_t max_arguments;
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
  const std::size_t argument_count = context.arguments.size();
  for (const subcommand& command : kSubcommands) {
    if (argument_count >= 2 && context.arguments[1] == command.name) {
      if (argument_count >= command.min_arguments && argument_count <= command.max_arguments) {
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
  admin_request request = MakeEditRequest(context, "/admin/document", 0);
  request.body = json{{"sections", sections}}.dump();
  const admin_response response = context.client.Call(request);
  if (response.status != kHttpOk) {
    return ReportFailure(response);
  }
  const json body = json::parse(response.body, nullptr, false);
  const auto version = body.value("document_version", std::uint64_t{0});
  fmt::print("the document is at version {}\n", version);
  std::fflush(stdout);
  return context.wait ? WaitInForce(context, version) : kExitOk;
}

}  // namespace tarragon::ctl
