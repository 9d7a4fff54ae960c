#include "tarragon/store/document_service.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "document/sample_document.h"
#include "store/fake_platform_store.h"
#include "tarragon/document/document_replica.h"

namespace tarragon::store {
namespace {

using document::SampleSections;

document_service_options MakeOptions() {
  document_service_options options;
  for (const std::string& name : document::SectionNames()) {
    options.owners[name] = "team-" + name;
  }
  return options;
}

void NoSleep(std::chrono::milliseconds /*delay*/) {}

section_edit MakeEdit(const std::string& name, std::uint64_t base, const std::string& id) {
  for (const document::section& entry : SampleSections("lanhai")) {
    if (entry.name == name) {
      return {.section = name,
              .base_version = base,
              .edit_id = id,
              .team = "team-" + name,
              .author = "tester",
              .text = entry.text + "# " + id + "\n"};
    }
  }
  return {};
}

class document_service_fixture {
 public:
  document_service_fixture() : service(store, MakeOptions(), NoSleep) {
    const edit_outcome made = service.Initialize(SampleSections("lanhai"));
    EXPECT_EQ(made.status, edit_status::kAccepted);
  }

  /** @return how many of all versions of a section were written by the edit. */
  int CountVersionsByEdit(const std::string& name, const std::string& edit_id) {
    store.SetFaultScript(nullptr);
    const std::uint64_t newest = service.ReadSection(name).value().version;
    int count = 0;
    for (std::uint64_t version = 1; version <= newest; ++version) {
      const auto past = service.ReadSectionVersion(name, version);
      EXPECT_TRUE(past.has_value()) << name << " " << version;
      count += past.has_value() && past.value().edit_id == edit_id ? 1 : 0;
    }
    return count;
  }

  fake_platform_store store;
  document_service service;
};

// Guards against reporting a conflict to an operator whose own call wrote the first version of the
// document but got no response.
TEST(DocumentService, RepeatedInitializationFindsItsOwnWrites) {
  fake_platform_store store;
  document_service service(store, MakeOptions(), NoSleep);
  std::vector<document::section> sections = SampleSections("lanhai");
  std::ranges::for_each(sections, [](document::section& entry) { entry.edit_id = "first"; });
  store.SetFaultScript([](store_call call) {
    return call == store_call::kCommit ? store_fault::kLostAnswer : store_fault::kNone;
  });
  EXPECT_EQ(service.Initialize(sections).status, edit_status::kAccepted);
  store.SetFaultScript([](store_call call) {
    return call == store_call::kCommit ? store_fault::kNone : store_fault::kOutage;
  });
  EXPECT_EQ(service.Initialize(sections).status, edit_status::kUnknown);
  store.SetFaultScript(nullptr);
  EXPECT_EQ(service.Initialize(sections).status, edit_status::kAccepted);
  std::ranges::for_each(sections, [](document::section& entry) { entry.edit_id = "second"; });
  EXPECT_EQ(service.Initialize(sections).status, edit_status::kConflict);
}

// Guards against a conflict between concurrent edits of different sections.
TEST(DocumentService, ConcurrentEditsOfDifferentSectionsBothSucceed) {
  document_service_fixture fixture;
  document_service other(fixture.store, MakeOptions(), NoSleep);
  bool raced = false;
  fixture.store.SetCallHook([&](store_call call) {
    if (call == store_call::kCommit && !raced) {
      raced = true;
      EXPECT_EQ(other.Edit(MakeEdit("classes", 1, "b")).status, edit_status::kAccepted);
    }
  });
  const edit_outcome outcome = fixture.service.Edit(MakeEdit("models", 1, "a"));
  EXPECT_TRUE(raced);
  EXPECT_EQ(outcome.status, edit_status::kAccepted);
  EXPECT_EQ(outcome.document_version, 3U);
  const auto loaded = fixture.service.LoadDocument();
  ASSERT_TRUE(loaded.has_value());
  EXPECT_EQ(loaded.value()->FindSection("models")->edit_id, "a");
  EXPECT_EQ(loaded.value()->FindSection("classes")->edit_id, "b");
}

// Guards against a lost update: exactly one of two concurrent edits of a section is accepted, and
// the other one is refused with a diff.
TEST(DocumentService, ConcurrentEditsOfSameSectionAcceptOne) {
  document_service_fixture fixture;
  document_service other(fixture.store, MakeOptions(), NoSleep);
  bool raced = false;
  fixture.store.SetCallHook([&](store_call call) {
    if (call == store_call::kCommit && !raced) {
      raced = true;
      EXPECT_EQ(other.Edit(MakeEdit("models", 1, "b")).status, edit_status::kAccepted);
    }
  });
  const edit_outcome outcome = fixture.service.Edit(MakeEdit("models", 1, "a"));
  EXPECT_EQ(outcome.status, edit_status::kConflict);
  EXPECT_EQ(outcome.section_version, 2U);
  EXPECT_NE(outcome.difference.find("-# b\n+# a\n"), std::string::npos) << outcome.difference;
  EXPECT_EQ(fixture.CountVersionsByEdit("models", "a"), 0);
  EXPECT_EQ(fixture.CountVersionsByEdit("models", "b"), 1);
}

// Guards against reporting an applied edit as a conflict if its response was lost and another edit
// superseded it before it was read back.
TEST(DocumentService, SupersededOwnEditIsRecognised) {
  document_service_fixture fixture;
  document_service other(fixture.store, MakeOptions(), NoSleep);
  int commits = 0;
  fixture.store.SetFaultScript([&commits](store_call call) {
    return call == store_call::kCommit && ++commits == 1 ? store_fault::kLostAnswer
                                                         : store_fault::kNone;
  });
  bool raced = false;
  fixture.store.SetCallHook([&](store_call call) {
    if (commits == 1 && call == store_call::kRead && !raced) {
      raced = true;
      EXPECT_EQ(other.Edit(MakeEdit("models", 2, "b")).status, edit_status::kAccepted);
    }
  });
  const edit_outcome outcome = fixture.service.Edit(MakeEdit("models", 1, "a"));
  EXPECT_TRUE(raced);
  EXPECT_EQ(outcome.status, edit_status::kAccepted);
  EXPECT_EQ(outcome.section_version, 2U);
  EXPECT_EQ(fixture.service.Edit(MakeEdit("models", 1, "a")).status, edit_status::kAccepted);
  EXPECT_EQ(fixture.CountVersionsByEdit("models", "a"), 1);
}

// Guards against applying an edit twice when the platform applies its first write late.
TEST(DocumentService, DelayedWriteIsNotAppliedTwice) {
  document_service_fixture fixture;
  int commits = 0;
  fixture.store.SetFaultScript([&commits](store_call call) {
    return call == store_call::kCommit && ++commits == 1 ? store_fault::kDelayed
                                                         : store_fault::kNone;
  });
  const edit_outcome outcome = fixture.service.Edit(MakeEdit("models", 1, "a"));
  EXPECT_EQ(outcome.status, edit_status::kAccepted);
  fixture.store.ApplyDelayedWrites();
  EXPECT_EQ(fixture.CountVersionsByEdit("models", "a"), 1);
  EXPECT_EQ(fixture.service.ReadHead().value().version, 2U);
}

// Guards against a wrong reported outcome. Whichever calls fail, the history contains an accepted
// edit exactly once and never an edit reported as not written, also after delayed writes are
// applied.
RC_GTEST_PROP(DocumentService, ReportedOutcomeMatchesDocumentUnderFaults, ()) {
  document_service_fixture fixture;
  document_service other(fixture.store, MakeOptions(), NoSleep);
  const auto faults = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 12));
  std::size_t next = 0;
  const auto script = [&](store_call /*call*/) {
    const int fault = next < faults.size() ? faults[next++] : 0;
    return fault < 5 ? static_cast<store_fault>(fault) : store_fault::kNone;
  };
  const int race_at = *rc::gen::inRange(0, 8);
  int calls = 0;
  fixture.store.SetCallHook([&](store_call /*call*/) {
    if (++calls == race_at) {
      fixture.store.SetFaultScript(nullptr);
      other.Edit(MakeEdit("models", other.ReadSection("models").value().version, "other"));
      fixture.store.SetFaultScript(script);
    }
  });
  fixture.store.SetFaultScript(script);
  std::vector<edit_outcome> outcomes;
  for (const char* id : {"a", "b", "c"}) {
    outcomes.push_back(fixture.service.Edit(MakeEdit("models", outcomes.size() + 1, id)));
  }
  fixture.store.SetCallHook(nullptr);
  fixture.store.SetFaultScript(nullptr);
  fixture.store.ApplyDelayedWrites();
  const auto loaded = fixture.service.LoadDocument();
  RC_ASSERT(loaded.has_value());
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    const int count =
        fixture.CountVersionsByEdit("models", std::string(1, static_cast<char>('a' + i)));
    RC_TAG(std::string(ToString(outcomes[i].status)));
    RC_ASSERT(count <= 1);
    if (outcomes[i].status == edit_status::kAccepted) {
      RC_ASSERT(count == 1);
    } else if (outcomes[i].status != edit_status::kUnknown) {
      RC_ASSERT(count == 0);
    }
  }
}

// Guards against an inconsistent document after an editor process ends between two calls: after any
// number of calls the rows form one valid version, and the history has no gap.
TEST(DocumentService, InterruptedEditLeavesConsistentDocument) {
  int steps = 0;
  for (int end_after = 0; end_after <= 6; ++end_after) {
    document_service_fixture fixture;
    const int start = fixture.store.call_count();
    fixture.store.SetFaultScript([&fixture, start, end_after](store_call /*call*/) {
      return fixture.store.call_count() - start > end_after ? store_fault::kOutage
                                                            : store_fault::kNone;
    });
    const edit_outcome outcome = fixture.service.Edit(MakeEdit("fleet", 1, "a"));
    fixture.store.SetFaultScript(nullptr);
    const auto loaded = fixture.service.LoadDocument();
    ASSERT_TRUE(loaded.has_value());
    const bool accepted = outcome.status == edit_status::kAccepted;
    steps += accepted ? 1 : 0;
    EXPECT_EQ(loaded.value()->version(), accepted ? 2U : 1U);
    EXPECT_EQ(fixture.CountVersionsByEdit("fleet", "a"), accepted ? 1 : 0);
    EXPECT_EQ(fixture.service.Edit(MakeEdit("fleet", 1, "a")).status, edit_status::kAccepted);
    EXPECT_EQ(fixture.service.ReadHead().value().version, 2U);
  }
  EXPECT_GT(steps, 0);
}

// Guards against a version decrease in a process that loads the document during edits.
TEST(DocumentService, LoadDuringEditsIsConsistentAndNeverReverts) {
  document_service_fixture fixture;
  document_service editor(fixture.store, MakeOptions(), NoSleep);
  document::document_replica replica;
  std::uint64_t edits = 0;
  fixture.store.SetCallHook([&](store_call call) {
    if (call == store_call::kScan && edits % 3 != 2) {
      ++edits;
      const std::string id = "e" + std::to_string(edits);
      const std::string name = edits % 2 == 0 ? "models" : "drill";
      editor.Edit(MakeEdit(name, editor.ReadSection(name).value().version, id));
    } else {
      ++edits;
    }
  });
  for (int i = 0; i < 20; ++i) {
    const auto loaded = fixture.service.LoadDocument();
    ASSERT_TRUE(loaded.has_value());
    EXPECT_EQ(replica.Offer(time_point(), loaded.value()), document::offer_outcome::kAdopted);
  }
}

// Guards against an edit by a team that does not own the section.
TEST(DocumentService, OnlyOwnerTeamEdits) {
  document_service_fixture fixture;
  section_edit edit = MakeEdit("models", 1, "a");
  edit.team = "team-fleet";
  EXPECT_EQ(fixture.service.Edit(edit).status, edit_status::kForbidden);
}

// Guards against accepting an edit that makes the document invalid, and against a reused edit id.
TEST(DocumentService, RefusesInvalidEditAndReusedId) {
  document_service_fixture fixture;
  section_edit edit = MakeEdit("models", 1, "a");
  edit.text = "[[model]]\nname = \"other\"\nversion = \"1\"\n";
  const edit_outcome refused = fixture.service.Edit(edit);
  EXPECT_EQ(refused.status, edit_status::kInvalid);
  EXPECT_FALSE(refused.errors.empty());
  EXPECT_EQ(fixture.service.Edit(MakeEdit("models", 1, "a")).status, edit_status::kAccepted);
  EXPECT_EQ(fixture.service.Edit(MakeEdit("classes", 1, "a")).status, edit_status::kEditIdReused);
}

// Guards against an undo that changes the history instead of adding a version.
TEST(DocumentService, UndoIsNewEdit) {
  document_service_fixture fixture;
  const std::string before = fixture.service.ReadSection("models").value().text;
  ASSERT_EQ(fixture.service.Edit(MakeEdit("models", 1, "a")).status, edit_status::kAccepted);
  const edit_outcome undone = fixture.service.Undo(MakeEdit("models", 2, "undo"), 1);
  EXPECT_EQ(undone.status, edit_status::kAccepted);
  EXPECT_EQ(undone.section_version, 3U);
  EXPECT_EQ(fixture.service.ReadSection("models").value().text, before);
  EXPECT_EQ(fixture.CountVersionsByEdit("models", "a"), 1);
}

}  // namespace
}  // namespace tarragon::store
