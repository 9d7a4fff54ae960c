#include <gtest/gtest.h>

#include <optional>

#include "decision/engine_driver.h"
#include "tarragon/base/hash.h"

namespace tarragon::decision {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Completes enough reads for the hedge policy to have a delay. */
void TrainReads(engine_driver& driver) {
  for (int i = 0; i < 80; ++i) {
    driver.HandleEvent(request_arrived{driver.MakeCall("")});
    const auto sent = driver.OnlyActionOf<send_attempt>();
    driver.Advance(milliseconds(10));
    driver.HandleEvent(response_received{sent.attempt, 200, "text/plain", "ok"});
  }
}

}  // namespace

// Guards against a read that waits for a slow endpoint, and against two responses to one read.
TEST(RequestEngineRules, HedgesASlowReadAndCancelsTheLoser) {
  engine_driver driver(2);
  TrainReads(driver);
  driver.HandleEvent(request_arrived{driver.MakeCall("")});
  const auto first = driver.OnlyActionOf<send_attempt>();
  driver.Advance(milliseconds(200));
  const auto second = driver.OnlyActionOf<send_attempt>();
  ASSERT_EQ(second.request, first.request);
  EXPECT_NE(second.endpoint, first.endpoint);
  driver.HandleEvent(response_received{second.attempt, 200, "text/plain", "ok"});
  EXPECT_EQ(driver.ActionsOf<deliver_response>().size(), 1U);
  EXPECT_EQ(driver.OnlyActionOf<cancel_attempt>().attempt, first.attempt);
  EXPECT_EQ(driver.OnlyActionOf<finish_request>().verdict, run_verdict::kRan);
  driver.HandleEvent(response_received{first.attempt, 200, "text/plain", "ok"});
  EXPECT_TRUE(driver.ActionsOf<deliver_response>().empty());
}

// Guards against a second run of an unrepeatable call.
TEST(RequestEngineRules, NeverHedgesOrRetriesAnUnrepeatableCall) {
  engine_driver driver(2);
  TrainReads(driver);
  const request_properties call = driver.MakeCall("key");
  driver.HandleEvent(request_arrived{call});
  EXPECT_TRUE(driver.ActionsOf<send_attempt>().empty());
  driver.HandleEvent(claim_answered{call.request, claim_state::kWon, 0, {}});
  const auto sent = driver.OnlyActionOf<send_attempt>();
  driver.Advance(seconds(1));
  EXPECT_TRUE(driver.ActionsOf<send_attempt>().empty());
  driver.HandleEvent(
      attempt_failed{sent.attempt, run_verdict::kMayHaveRun, failure_cause::kConnectionLost});
  EXPECT_EQ(driver.OnlyActionOf<finish_request>().verdict, run_verdict::kMayHaveRun);
  EXPECT_TRUE(driver.ActionsOf<release_claim>().empty());
}

// Guards against a claim that is kept although the call did not run, or released although it may
// have run.
TEST(RequestEngineRules, AnswersEachStateOfAClaim) {
  struct expectation {
    claim_state state;
    int status;
    run_verdict verdict;
    std::size_t releases;
  };
  const expectation cases[] = {
      {claim_state::kHeldByOther, 409, run_verdict::kMayHaveRun, 0},
      {claim_state::kCompleted, 201, run_verdict::kRan, 0},
      {claim_state::kUnavailable, 503, run_verdict::kNotRun, 0},
      {claim_state::kUnknown, 503, run_verdict::kNotRun, 1},
  };
  for (const expectation& expected : cases) {
    engine_driver driver(1);
    const request_properties call = driver.MakeCall("key");
    driver.HandleEvent(request_arrived{call});
    driver.HandleEvent(claim_answered{call.request, expected.state, 201, "done"});
    EXPECT_EQ(driver.OnlyActionOf<finish_request>().status, expected.status);
    EXPECT_EQ(driver.OnlyActionOf<finish_request>().verdict, expected.verdict);
    EXPECT_EQ(driver.ActionsOf<release_claim>().size(), expected.releases);
    EXPECT_TRUE(driver.ActionsOf<send_attempt>().empty());
  }
}

// Guards against a claim row that blocks its key because the request ended before the claim was
// won.
TEST(RequestEngineRules, ReleasesAClaimThatIsWonTooLate) {
  engine_driver driver(1);
  const request_properties call = driver.MakeCall("key");
  driver.HandleEvent(request_arrived{call});
  driver.HandleEvent(caller_disconnected{call.request});
  EXPECT_EQ(driver.OnlyActionOf<finish_request>().verdict, run_verdict::kNotRun);
  EXPECT_TRUE(driver.ActionsOf<release_claim>().empty());
  driver.HandleEvent(claim_answered{call.request, claim_state::kWon, 0, {}});
  EXPECT_EQ(driver.ActionsOf<release_claim>().size(), 1U);
}

// Guards against a request that continues to crash endpoints, from this or another entry.
TEST(RequestEngineRules, RefusesAFingerprintAfterThreeCrashes) {
  engine_driver driver(4);
  send_attempt sent = driver.StartAccepted(driver.MakeGeneration("restart", 7));
  for (int crash = 1; crash <= 3; ++crash) {
    driver.LoseGeneration(sent.attempt);
    if (crash < 3) {
      sent = driver.OnlyActionOf<send_attempt>();
      driver.HandleEvent(attempt_accepted{sent.attempt});
    }
  }
  EXPECT_EQ(driver.OnlyActionOf<finish_request>().reason, finish_reason::kSuspectRefused);
  EXPECT_EQ(driver.OnlyActionOf<finish_request>().verdict, run_verdict::kMayHaveRun);
  engine_driver other(4);
  other.HandleEvent(peer_state_received{"vm-1", driver.engine().LocalState(driver.now())});
  for (engine_driver* entry : {&driver, &other}) {
    entry->HandleEvent(request_arrived{entry->MakeGeneration("restart", 7)});
    EXPECT_EQ(entry->OnlyActionOf<finish_request>().status, 422);
    EXPECT_EQ(entry->OnlyActionOf<finish_request>().verdict, run_verdict::kNotRun);
    entry->HandleEvent(request_arrived{entry->MakeGeneration("restart", 8)});
    EXPECT_EQ(entry->ActionsOf<send_attempt>().size(), 1U);
  }
}

// Guards against suspects that run at the same endpoint, where a crash that one of them causes also
// counts against the others.
TEST(RequestEngineRules, RetriesSuspectsOnSeparateEndpoints) {
  for (const bool isolate : {true, false}) {
    engine_driver driver(2, {.isolate_suspects = isolate});
    std::vector<send_attempt> sent;
    sent.reserve(6);
    for (int i = 0; i < 6; ++i) {
      sent.push_back(driver.StartAccepted(driver.MakeGeneration("restart")));
    }
    std::size_t sends = 0;
    for (const send_attempt& one : sent) {
      driver.LoseGeneration(one.attempt);
      sends += driver.ActionsOf<send_attempt>().size();
    }
    // Six suspects and two endpoints.
    EXPECT_EQ(sends, isolate ? 2U : 6U);
  }
}

// Guards against a restart that the class forbids, and against one without `restart_stream`.
TEST(RequestEngineRules, AppliesTheLossPolicyOfTheClass) {
  for (const std::string request_class : {"hold", "restart", "end"}) {
    for (const std::uint32_t tokens : {0U, 3U}) {
      engine_driver driver(2);
      const send_attempt sent = driver.StartAccepted(driver.MakeGeneration(request_class));
      for (std::uint32_t i = 0; i < tokens; ++i) {
        driver.HandleEvent(token_received{sent.attempt, sent.generation, i, "x"});
        EXPECT_EQ(driver.ActionsOf<deliver_token>().size(), request_class == "hold" ? 0U : 1U);
      }
      driver.LoseGeneration(sent.attempt);
      if (request_class == "end" && tokens > 0) {
        EXPECT_EQ(driver.OnlyActionOf<finish_request>().verdict, run_verdict::kRan);
        continue;
      }
      const auto again = driver.OnlyActionOf<send_attempt>();
      ASSERT_NE(again.generation, sent.generation);
      driver.HandleEvent(attempt_accepted{again.attempt});
      EXPECT_EQ(driver.ActionsOf<restart_stream>().size(),
                request_class == "restart" && tokens > 0 ? 1U : 0U);
      driver.HandleEvent(token_received{again.attempt, again.generation, 0, "y"});
      driver.HandleEvent(attempt_finished{again.attempt, 1, "stop"});
      EXPECT_EQ(driver.ActionsOf<deliver_token>().size(), request_class == "hold" ? 1U : 0U);
      EXPECT_EQ(driver.OnlyActionOf<finish_request>().reason, finish_reason::kCompleted);
    }
  }
}

// Guards against a second generation after silence at an endpoint with earlier failed connects.
TEST(RequestEngineRules, SilenceAfterFailedConnectsIsNotALoss) {
  engine_driver driver(1);
  driver.HandleEvent(request_arrived{driver.MakeGeneration("restart")});
  const auto failed = driver.OnlyActionOf<send_attempt>();
  driver.HandleEvent(
      attempt_failed{failed.attempt, run_verdict::kNotRun, failure_cause::kConnectFailed});
  driver.Advance(milliseconds(600));
  const auto sent = driver.OnlyActionOf<send_attempt>();
  driver.Advance(seconds(4));
  driver.HandleEvent(
      attempt_failed{sent.attempt, run_verdict::kMayHaveRun, failure_cause::kSilent});
  driver.Advance(milliseconds(100));
  EXPECT_EQ(driver.OnlyActionOf<resume_attempt>().generation, sent.generation);
  EXPECT_TRUE(driver.ActionsOf<send_attempt>().empty());
}

// Guards against new work for a leaving endpoint, and against the loss of streams that run there.
TEST(RequestEngineRules, LeavingEndpointIsResumedButGetsNoNewWork) {
  engine_driver driver(1);
  const send_attempt sent = driver.StartAccepted(driver.MakeGeneration("restart"));
  driver.HandleEvent(vm_list_changed{{sent.endpoint}});
  driver.HandleEvent(request_arrived{driver.MakeGeneration("restart")});
  EXPECT_TRUE(driver.ActionsOf<send_attempt>().empty());
  driver.HandleEvent(
      attempt_failed{sent.attempt, run_verdict::kMayHaveRun, failure_cause::kSilent});
  driver.Advance(milliseconds(100));
  EXPECT_EQ(driver.OnlyActionOf<resume_attempt>().generation, sent.generation);
  driver.HandleEvent(vm_list_changed{{}});
  EXPECT_EQ(driver.ActionsOf<send_attempt>().size(), 1U);
}

// Guards against a generation that continues without a caller, and against cancelling a generation
// that its caller has resumed at another entry.
TEST(RequestEngineRules, CancelsAfterTheReturnWindowUnlessResumedElsewhere) {
  for (const bool resumed_elsewhere : {true, false}) {
    engine_driver driver(1);
    const send_attempt sent = driver.StartAccepted(driver.MakeGeneration("restart"));
    driver.HandleEvent(caller_disconnected{sent.request});
    driver.Advance(milliseconds(14900));
    EXPECT_EQ(driver.engine().OpenRequestCount(), 1U);
    peer_state peer;
    if (resumed_elsewhere) {
      peer.adopted = {Hash64(sent.generation)};
    }
    driver.HandleEvent(peer_state_received{"vm-1", peer});
    driver.Advance(milliseconds(200));
    EXPECT_EQ(driver.ActionsOf<cancel_attempt>().size(), resumed_elsewhere ? 0U : 1U);
    EXPECT_EQ(driver.engine().OpenRequestCount(), 0U);
  }
}

// Guards against two connections that read the same generation at one entry.
TEST(RequestEngineRules, LaterResumeReplacesTheEarlierReader) {
  engine_driver driver(1);
  const send_attempt sent = driver.StartAccepted(driver.MakeGeneration("restart"));
  driver.HandleEvent(token_received{sent.attempt, sent.generation, 0, "x"});
  const request_properties reconnected = driver.MakeGeneration("restart");
  driver.HandleEvent(resume_arrived{reconnected, sent.endpoint, sent.generation, 1});
  EXPECT_EQ(driver.OnlyActionOf<finish_request>().request, sent.request);
  EXPECT_TRUE(driver.ActionsOf<cancel_attempt>().empty());
  const auto resumed = driver.OnlyActionOf<resume_attempt>();
  EXPECT_EQ(resumed.from_index, 1U);
  driver.HandleEvent(token_received{sent.attempt, sent.generation, 1, "y"});
  EXPECT_TRUE(driver.ActionsOf<deliver_token>().empty());
  driver.HandleEvent(token_received{resumed.attempt, sent.generation, 1, "y"});
  EXPECT_EQ(driver.OnlyActionOf<deliver_token>().request, reconnected.request);
}

// Guards against refusals that come too late, lack `retry_after` or have another verdict than
// not-run.
TEST(RequestEngineRules, RefusalsReportNotRunAndRetryAfter) {
  engine_driver driver(1, {.max_queued = 2});
  driver.contents().accounts[0].requests_per_second = 2;
  driver.PublishDocument();
  driver.HandleEvent(
      load_reported{.endpoint = "drafter-0", .slots = 1, .model = {}, .model_version = {}});
  std::vector<finish_request> refused;
  for (int i = 0; i < 20; ++i) {
    driver.HandleEvent(request_arrived{driver.MakeGeneration("restart")});
    for (const auto& finish : driver.ActionsOf<finish_request>()) {
      refused.push_back(finish);
    }
  }
  EXPECT_GE(refused.size(), 17U);
  for (const finish_request& finish : refused) {
    EXPECT_EQ(finish.verdict, run_verdict::kNotRun);
    EXPECT_GT(finish.retry_after.count(), 0);
  }
  driver.HandleEvent(drain_started{});
  driver.HandleEvent(request_arrived{driver.MakeGeneration("restart")});
  EXPECT_EQ(driver.OnlyActionOf<finish_request>().reason, finish_reason::kDraining);
}

// Guards against a resume reported as not run although another entry had sent its generation.
TEST(RequestEngineRules, RefusedResumeMayHaveRun) {
  engine_driver driver(1, {.max_open = 0});
  driver.HandleEvent(resume_arrived{driver.MakeGeneration("restart"), "drafter-0", "ab", 0});
  EXPECT_EQ(driver.OnlyActionOf<finish_request>().reason, finish_reason::kQueueFull);
  EXPECT_EQ(driver.OnlyActionOf<finish_request>().verdict, run_verdict::kMayHaveRun);
}

// Guards against concurrent streams that together exceed the memory of the model engine.
TEST(RequestEngineRules, MemoryAdmissionQueuesGenerationsThatDoNotFit) {
  for (const bool admission : {true, false}) {
    engine_driver driver(1, {.memory_admission = admission});
    load_reported report;
    report.endpoint = "drafter-0";
    report.slots = 100;
    report.memory_tokens_total = 2100;
    driver.HandleEvent(report);
    std::size_t sent = 0;
    for (int i = 0; i < 8; ++i) {
      request_properties properties = driver.MakeGeneration("restart");
      properties.prompt_tokens = 1000;
      properties.max_tokens = 50;
      driver.HandleEvent(request_arrived{properties});
      sent += driver.ActionsOf<send_attempt>().size();
    }
    EXPECT_EQ(sent, admission ? 2U : 8U);
  }
}

// Guards against an entry that queues urgent generations behind others, although a model engine
// that serves by priority would preempt the others, and against sending more urgent generations
// than the endpoint has slots.
TEST(RequestEngineRules, UrgentGenerationsBypassOthers) {
  constexpr int kSlots = 4;
  for (const bool bypass : {true, false}) {
    engine_driver driver(1, {.urgent_bypass = bypass});
    load_reported report;
    report.endpoint = "drafter-0";
    report.slots = kSlots;
    report.memory_tokens_total = 100'000;
    driver.HandleEvent(report);
    for (int i = 0; i < 2 * kSlots; ++i) {
      driver.HandleEvent(request_arrived{driver.MakeGeneration("restart")});
    }
    std::size_t urgent = 0;
    for (int i = 0; i < 2 * kSlots; ++i) {
      driver.HandleEvent(request_arrived{driver.MakeGeneration("read")});
      urgent += driver.ActionsOf<send_attempt>().size();
    }
    EXPECT_EQ(urgent, bypass ? kSlots : 0U);
  }
}

// Guards against a request that is queued behind others although it cannot finish in time.
TEST(RequestEngineRules, RefusesAtOnceWhenARequestCannotFinishInTime) {
  engine_driver driver(3, {.memory_admission = false});
  load_reported report;
  report.slots = 1;
  for (const char* endpoint : {"drafter-0", "drafter-1", "drafter-2"}) {
    report.endpoint = endpoint;
    driver.HandleEvent(report);
  }
  constexpr std::uint32_t kTokens = 100;
  for (int i = 0; i < 60; ++i) {
    const send_attempt sent = driver.StartAccepted(driver.MakeGeneration("restart"));
    for (std::uint32_t index = 0; index < kTokens; ++index) {
      driver.Advance(milliseconds(20));
      driver.HandleEvent(token_received{sent.attempt, sent.generation, index, "t"});
    }
    driver.HandleEvent(attempt_finished{sent.attempt, kTokens, "stop"});
  }
  for (int i = 0; i < 4; ++i) {
    driver.HandleEvent(request_arrived{driver.MakeGeneration("restart")});
  }
  // 100 tokens with 20 ms between them take 2 s.
  request_properties short_deadline = driver.MakeGeneration("restart");
  short_deadline.deadline = driver.now() + milliseconds(1000);
  driver.HandleEvent(request_arrived{short_deadline});
  EXPECT_EQ(driver.OnlyActionOf<finish_request>().reason, finish_reason::kDeadline);
  EXPECT_EQ(driver.OnlyActionOf<finish_request>().verdict, run_verdict::kNotRun);
}

// Guards against sending further reads to an endpoint that this entry has measured to be slow.
TEST(RequestEngineRules, EjectsASlowEndpoint) {
  for (const bool eject : {true, false}) {
    engine_options options;
    options.selector = selector_choice::kRoundRobin;
    options.eject_outliers = eject;
    options.hedge_reads = options.limit_concurrency = false;
    engine_driver driver(4, options);
    int slow = 0;
    for (int i = 0; i < 200; ++i) {
      driver.HandleEvent(request_arrived{driver.MakeCall("")});
      const auto sent = driver.OnlyActionOf<send_attempt>();
      const bool is_slow = sent.endpoint == "booking-0";
      slow += i >= 100 && is_slow ? 1 : 0;
      driver.Advance(is_slow ? milliseconds(200) : milliseconds(10));
      driver.HandleEvent(response_received{sent.attempt, 200, "text/plain", "ok"});
    }
    // Round robin sends the slow endpoint a quarter of 100 calls; once ejected, it gets only
    // probes.
    EXPECT_EQ(slow == 25, !eject);
    EXPECT_LE(slow, eject ? 5 : 25);
  }
}

// Guards against a slow endpoint that stays undetected because its generations are short.
TEST(RequestEngineRules, EjectsAnEndpointThatIsSlowWithShortGenerations) {
  constexpr std::uint32_t kTokens = 8;
  engine_options options;
  options.selector = selector_choice::kRoundRobin;
  options.limit_concurrency = false;
  engine_driver driver(4, options);
  int slow = 0;
  for (int i = 0; i < 200; ++i) {
    const send_attempt sent = driver.StartAccepted(driver.MakeGeneration("restart"));
    const bool is_slow = sent.endpoint == "drafter-0";
    slow += i >= 100 && is_slow ? 1 : 0;
    for (std::uint32_t index = 0; index < kTokens; ++index) {
      driver.Advance(is_slow ? milliseconds(50) : milliseconds(10));
      driver.HandleEvent(token_received{sent.attempt, sent.generation, index, "t"});
    }
    driver.HandleEvent(attempt_finished{sent.attempt, kTokens, "stop"});
  }
  // Round robin would send the slow endpoint a quarter of 100 generations; once ejected, it gets
  // only probes.
  EXPECT_LE(slow, 5);
}

// Guards against a hedge delay that rises to the latency of slow endpoints because it includes
// their calls.
TEST(RequestEngineRules, SlowEndpointsDoNotDelayHedges) {
  engine_options options;
  options.selector = selector_choice::kRoundRobin;
  options.eject_outliers = options.limit_concurrency = false;
  engine_driver driver(4, options);
  bool hedged_last = false;
  for (int i = 0; i < 200; ++i) {
    driver.HandleEvent(request_arrived{driver.MakeCall("")});
    const auto sent = driver.OnlyActionOf<send_attempt>();
    const bool is_slow = sent.endpoint == "booking-0";
    driver.Advance(is_slow ? milliseconds(150) : milliseconds(10));
    const auto hedge = driver.OnlyActionOf<send_attempt>();
    if (is_slow) {
      hedged_last = hedge.request == sent.request;
    }
    driver.HandleEvent(response_received{sent.attempt, 200, "text/plain", "ok"});
  }
  // The budget of 5% allows hedges of only some calls, but it refills over 20 slow calls.
  EXPECT_GT(driver.Counter("tarragon_hedges_total"), 5);
  EXPECT_TRUE(hedged_last || driver.Counter("tarragon_hedges_total") >= 8);
}

// Guards against hedges that hide a slow endpoint from the outlier detector, which keeps it in use.
TEST(RequestEngineRules, EjectsAnEndpointThatIsSlowerThanHedges) {
  constexpr int kEndpoints = 24;
  constexpr int kCallsOfEach = 30;
  engine_options options;
  options.selector = selector_choice::kRoundRobin;
  options.limit_concurrency = false;
  engine_driver driver(kEndpoints, options);
  TrainReads(driver);
  int slow = 0;
  for (int i = 0; i < kEndpoints * kCallsOfEach; ++i) {
    driver.HandleEvent(request_arrived{driver.MakeCall("")});
    auto sent = driver.OnlyActionOf<send_attempt>();
    driver.Advance(milliseconds(10));
    if (sent.endpoint == "booking-0") {
      ++slow;
      driver.Advance(milliseconds(140));
      const auto hedges = driver.ActionsOf<send_attempt>();
      sent = hedges.empty() ? sent : hedges.front();
    }
    driver.HandleEvent(response_received{sent.attempt, 200, "text/plain", "ok"});
  }
  // Round robin would send the slow endpoint 30 calls or more; once ejected, it gets only probes.
  EXPECT_LE(slow, 10);
}

// Guards against an endpoint that stays ejected because each probe runs longer than the timeout.
TEST(RequestEngineRules, RecordsProbeSuccessDuringALongGeneration) {
  constexpr int kEndpoints = 4;
  engine_options options;
  options.selector = selector_choice::kRoundRobin;
  options.limit_concurrency = options.memory_admission = false;
  engine_driver driver(kEndpoints, options);
  const auto stream = [&driver](const send_attempt& sent, std::uint32_t tokens, milliseconds gap) {
    for (std::uint32_t index = 0; index < tokens; ++index) {
      driver.Advance(gap);
      driver.HandleEvent(token_received{sent.attempt, sent.generation, index, "t"});
    }
  };
  const auto finish = [&](const send_attempt& sent, milliseconds gap) {
    stream(sent, 20, gap);
    driver.HandleEvent(attempt_finished{sent.attempt, 20, "stop"});
  };
  for (int i = 0; i < 100; ++i) {
    const send_attempt sent = driver.StartAccepted(driver.MakeGeneration("restart"));
    finish(sent, milliseconds(sent.endpoint == "drafter-0" ? 50 : 10));
  }
  // 40 s is longer than any ejection.
  driver.Advance(seconds(40));
  std::optional<send_attempt> probe;
  for (int i = 0; i < kEndpoints && !probe; ++i) {
    const send_attempt sent = driver.StartAccepted(driver.MakeGeneration("restart"));
    if (sent.endpoint == "drafter-0") {
      probe = sent;
    } else {
      finish(sent, milliseconds(10));
    }
  }
  ASSERT_TRUE(probe.has_value());
  stream(*probe, 600, milliseconds(10));
  bool used = false;
  for (int i = 0; i < kEndpoints; ++i) {
    used = driver.StartAccepted(driver.MakeGeneration("restart")).endpoint == "drafter-0" || used;
  }
  EXPECT_TRUE(used);
}

// Guards against late or repeated events that change the state of another request.
TEST(RequestEngineRules, IgnoresAndCountsEventsForUnknownAttempts) {
  engine_driver driver(1);
  const send_attempt sent = driver.StartAccepted(driver.MakeGeneration("restart"));
  driver.HandleEvent(attempt_finished{sent.attempt, 0, "stop"});
  EXPECT_EQ(driver.ActionsOf<finish_request>().size(), 1U);
  const event late[] = {
      attempt_accepted{sent.attempt},
      token_received{sent.attempt, sent.generation, 0, "x"},
      attempt_finished{sent.attempt, 0, "stop"},
      attempt_failed{sent.attempt, run_verdict::kNotRun, failure_cause::kConnectFailed},
      response_received{{99}, 200, "text/plain", "x"},
      caller_disconnected{sent.request}};
  for (const event& one : late) {
    EXPECT_TRUE(driver.HandleEvent(one).empty());
  }
  EXPECT_EQ(driver.Counter("tarragon_events_ignored_total"), 6);
}

// Guards against a second generation while the first send is unread: an endpoint that was frozen
// answered a resume before it read the send in another socket (soak run 13305116292609684990).
TEST(RequestEngineRules, WaitsBeforeAnUnknownGenerationCountsAsLost) {
  engine_driver driver(2);
  driver.HandleEvent(request_arrived{driver.MakeGeneration("hold")});
  const auto sent = driver.OnlyActionOf<send_attempt>();
  driver.HandleEvent(
      attempt_failed{sent.attempt, run_verdict::kMayHaveRun, failure_cause::kConnectionLost});
  driver.Advance(milliseconds(100));
  const auto first = driver.OnlyActionOf<resume_attempt>();
  driver.HandleEvent(
      attempt_failed{first.attempt, run_verdict::kNotRun, failure_cause::kGenerationUnknown});
  EXPECT_TRUE(driver.ActionsOf<send_attempt>().empty());
  driver.Advance(milliseconds(300));
  const auto second = driver.OnlyActionOf<resume_attempt>();
  EXPECT_EQ(second.generation, sent.generation);
  EXPECT_TRUE(driver.ActionsOf<send_attempt>().empty());
  driver.Advance(milliseconds(1000));
  driver.HandleEvent(
      attempt_failed{second.attempt, run_verdict::kNotRun, failure_cause::kGenerationUnknown});
  // The endpoint has had time to read every send that had arrived, so the generation is lost.
  driver.Advance(milliseconds(100));
  EXPECT_TRUE(driver.ActionsOf<resume_attempt>().empty());
}

// Guards against a second generation when an engine that counted as lost is reachable again before
// the retry is sent (soak run 5247793770643719076: 14 s later, at the same engine).
TEST(RequestEngineRules, RechecksAReachableEngineBeforeARetry) {
  engine_driver driver(1);
  const send_attempt sent = driver.StartAccepted(driver.MakeGeneration("restart"));
  driver.HandleEvent(token_received{sent.attempt, sent.generation, 0, "x"});
  driver.HandleEvent(
      attempt_failed{sent.attempt, run_verdict::kMayHaveRun, failure_cause::kConnectionLost});
  // The engine is unreachable for longer than `loss_timeout`, so its generations count as lost.
  for (int i = 0; i < 30 && driver.ActionsOf<send_attempt>().empty(); ++i) {
    driver.Advance(milliseconds(300));
    for (const resume_attempt& resume : driver.ActionsOf<resume_attempt>()) {
      driver.HandleEvent(
          attempt_failed{resume.attempt, run_verdict::kNotRun, failure_cause::kConnectFailed});
      if (!driver.ActionsOf<send_attempt>().empty()) {
        break;
      }
    }
  }
  // The connect of the retry fails as well, so the retry waits; then the engine is reachable again.
  for (const send_attempt& repeat : driver.ActionsOf<send_attempt>()) {
    driver.HandleEvent(
        attempt_failed{repeat.attempt, run_verdict::kNotRun, failure_cause::kConnectFailed});
  }
  driver.Advance(seconds(5));
  EXPECT_TRUE(driver.ActionsOf<send_attempt>().empty());
  ASSERT_FALSE(driver.ActionsOf<resume_attempt>().empty());
  EXPECT_EQ(driver.ActionsOf<resume_attempt>().front().generation, sent.generation);
}

}  // namespace tarragon::decision
