#include "tarragon/settings/entry_settings.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace tarragon::settings {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;

constexpr std::string_view kValid = R"([vm]
name = "entry-1"
failure_domain = "a"
[listen]
callers = "127.0.0.1:21000"
peer = "127.0.0.1:21001"
[platform]
address = "127.0.0.1:21002"
[peers]
seeds = ["127.0.0.1:21003"]
[tickets]
key = "0123456789abcdef0123456789abcdef"
[teams.fleet]
token_sha256 = "88db2f9c1cbc7a08aaad57a4877cc1c27ead73dcefc780bc0ba22ed68a29f85d"
sections = ["fleet"]
[policy]
selector = "round_robin"
hedge_reads = false
[limits]
max_open = 100
max_queued = 50
)";

std::vector<std::string> ErrorsOf(const std::string& text) {
  std::vector<std::string> errors;
  const auto settings = entry_settings::Make(text, "e.toml", &errors);
  EXPECT_EQ(settings.has_value(), errors.empty());
  return errors;
}

/** @return the valid settings with `old` replaced. */
std::string ReplaceInValid(std::string_view old, std::string_view replacement) {
  std::string text(kValid);
  const std::size_t position = text.find(old);
  EXPECT_NE(position, std::string::npos);
  return text.replace(position, old.size(), replacement);
}

// Guards against a key that is accepted but not stored.
TEST(EntrySettings, ReadsEveryPart) {
  const auto settings = entry_settings::Make(kValid, "e.toml", nullptr);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->vm_name, "entry-1");
  EXPECT_EQ(settings->failure_domain, "a");
  EXPECT_EQ(settings->callers_address, "127.0.0.1:21000");
  EXPECT_EQ(settings->peer_address, "127.0.0.1:21001");
  EXPECT_EQ(settings->platform_address, "127.0.0.1:21002");
  EXPECT_THAT(settings->seeds, ElementsAre("127.0.0.1:21003"));
  EXPECT_EQ(settings->ticket_key.size(), 32U);
  EXPECT_THAT(settings->teams.at("fleet").sections, ElementsAre("fleet"));
  EXPECT_EQ(settings->policy.selector, selector_name::kRoundRobin);
  EXPECT_FALSE(settings->policy.hedge_reads);
  EXPECT_TRUE(settings->policy.fair_queue);
  EXPECT_EQ(settings->limits.max_open, 100);
}

// Guards against an error message without file, line, key or expected value.
TEST(EntrySettings, ErrorNamesFileLineAndKey) {
  EXPECT_THAT(ErrorsOf(ReplaceInValid("name = \"entry-1\"", "nam = \"entry-1\"")),
              ElementsAre(HasSubstr("e.toml:1: vm.name: missing; expected a string"),
                          HasSubstr("e.toml:2: vm.nam: unknown key; expected one of")));
  EXPECT_THAT(ErrorsOf(ReplaceInValid("max_open = 100", "max_open = \"many\"")),
              ElementsAre("e.toml:20: limits.max_open: expected an integer from 1 to 1000000"));
  EXPECT_THAT(ErrorsOf(ReplaceInValid("max_open = 100", "max_open = 0")),
              ElementsAre("e.toml:20: limits.max_open: expected an integer from 1 to 1000000"));
  EXPECT_THAT(ErrorsOf(ReplaceInValid("[vm]", "[vm")),
              ElementsAre(HasSubstr("e.toml:1: (file): expected TOML")));
}

// Guards against accepting values that would cause a failure only later, at run time.
TEST(EntrySettings, RejectsInvalidValues) {
  struct change {
    const char* old;
    const char* replacement;
    const char* expected;
  };
  for (const change& c : {
           change{"127.0.0.1:21000", "localhost:21000", "listen.callers: expected a numeric IP"},
           change{"127.0.0.1:21000", "127.0.0.1:70000", "listen.callers: expected a numeric IP"},
           change{"127.0.0.1:21001", "127.0.0.1:21000", "listen.peer: expected another port"},
           change{"peer = \"127.0.0.1:21001\"\n", "", "peers.seeds: expected listen.peer"},
           change{"127.0.0.1:21003", "x", "peers.seeds: in each item, expected a numeric IP"},
           change{"89abcdef0123456789abcdef", "",
                  "tickets.key: expected a key of at least 32 bytes"},
           change{
               "key = ", "key_file = \"none\"\nkey = ", "expected exactly one of key and key_file"},
           change{"88db2f9c", "88DB2F9C", "teams.fleet.token_sha256: expected a SHA-256 digest"},
           change{"round_robin", "random", "policy.selector: expected one of round_robin"},
           change{"hedge_reads = false", "hedge_reads = 0",
                  "policy.hedge_reads: expected true or false"},
           change{"max_queued = 50", "max_queued = 101",
                  "limits.max_queued: expected at most max_open"},
           change{"sections = [\"fleet\"]", "sections = [1]",
                  "teams.fleet.sections: expected a list"},
           change{"[peers]", "[pears]", "pears: unknown key"},
           change{"[vm]", "x = 1\n[vm]", "x: unknown key"},
       }) {
    EXPECT_THAT(fmt::format("{}", fmt::join(ErrorsOf(ReplaceInValid(c.old, c.replacement)), "\n")),
                HasSubstr(c.expected));
  }
}

// Guards against starting an entry that has no way to obtain the document.
TEST(EntrySettings, RequiresDocumentSource) {
  EXPECT_THAT(ErrorsOf("[vm]\nname=\"a\"\nfailure_domain=\"b\"\n[listen]\ncallers=\"127.0.0.1:1\"\n"
                       "[tickets]\nkey=\"0123456789abcdef0123456789abcdef\"\n"),
              ElementsAre(HasSubstr("platform.address: missing; expected a source")));
}

// Guards against a crash on a damaged file, and against a rejection without an error message.
RC_GTEST_PROP(EntrySettings, AcceptsOrRejectsAnyText, ()) {
  std::string text(kValid);
  const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
      rc::gen::pair(rc::gen::inRange<std::size_t>(0, kValid.size()), rc::gen::arbitrary<char>()));
  for (const auto& [position, value] : changes) {
    text[position] = value;
  }
  std::vector<std::string> errors;
  const bool accepted = entry_settings::Make(text, "e.toml", &errors).has_value();
  RC_ASSERT(accepted == errors.empty());
}

}  // namespace
}  // namespace tarragon::settings
