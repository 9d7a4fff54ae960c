#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "tarragon/base/log.h"
#include "tarragon/base/real_clock.h"
#include "tarragon/document/operating_document.h"
#include "tarragon/net/entry_process.h"
#include "tarragon/settings/entry_settings.h"

DEFINE_string(settings, "entry.toml", "settings file of this entry");
DEFINE_bool(check_settings, false, "check the settings file and exit: 0 if valid, 2 otherwise");

namespace {

constexpr int kExitInvalidSettings = 2;
constexpr int kExitStartFailed = 1;

/** Reads the operating document from `<directory>/<section>.toml`, one file per section. */
tarragon::document::document_ptr ReadDocument(const std::string& directory,
                                              std::vector<std::string>& errors) {
  std::vector<tarragon::document::section> sections;
  for (const std::string& name : tarragon::document::SectionNames()) {
    std::ifstream file(fmt::format("{}/{}.toml", directory, name));
    tarragon::document::section section;
    section.name = name;
    section.version = 1;
    section.text.assign(std::istreambuf_iterator<char>(file), {});
    sections.push_back(std::move(section));
  }
  std::vector<tarragon::document::document_error> found;
  auto document = tarragon::document::operating_document::Make(1, std::move(sections), &found);
  for (const auto& error : found) {
    errors.push_back(
        fmt::format("{}/{}.toml:{}: {}", directory, error.section, error.line, error.message));
  }
  return document;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  std::signal(SIGPIPE, SIG_IGN);
  // Blocked here and thus in all threads started later; only the `sigwait` below receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  std::vector<std::string> errors;
  auto settings = tarragon::settings::entry_settings::Load(FLAGS_settings, &errors);
  tarragon::document::document_ptr document;
  if (settings && !settings->document_directory.empty()) {
    document = ReadDocument(settings->document_directory, errors);
  }
  for (const std::string& error : errors) {
    fmt::print(stderr, "{}\n", error);
  }
  if (!errors.empty()) {
    return kExitInvalidSettings;
  }
  if (FLAGS_check_settings) {
    return 0;
  }
  const tarragon::real_clock time;
  tarragon::net::entry_process entry(*settings, time);
  if (!entry.Start(document)) {
    return kExitStartFailed;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  tarragon::LogEvent("signal", {{"number", signal}});
  entry.Drain();
  entry.Stop();
  return 0;
}
