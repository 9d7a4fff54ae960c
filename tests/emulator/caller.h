#ifndef TARRAGON_TESTS_EMULATOR_CALLER_H_
#define TARRAGON_TESTS_EMULATOR_CALLER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "tarragon/gateway/http_exchange.h"

namespace tarragon::emulator {

enum class call_kind : std::uint8_t {
  /** May run any number of times. */
  kRead,
  /** Runs at most once. */
  kCommit,
  /** A long stream that runs once and may be resumed from copies of its KV cache. */
  kReport,
  /** A short stream that may be resumed after its last event. */
  kTag,
};

/** One request of a caller and its result so far. */
class caller final : public gateway::exchange_listener,
                     public std::enable_shared_from_this<caller> {
 public:
  /** @param events length of the stream; not used for plain calls. */
  caller(asio::io_context& loop, std::string id, call_kind kind, std::uint64_t events);

  /** Sets the header that states the parts of the prompt; empty for none. */
  void SetPromptParts(std::string parts) { prompt_parts_ = std::move(parts); }
  /** Asks a plain endpoint for this many bytes more in its answer. */
  void SetExtraBytes(std::size_t bytes) { extra_bytes_ = bytes; }
  /** The request states no size, so that its length is unknown. */
  void OmitSize() { states_size_ = false; }
  /** Sets the longest output that a stream's request states; 0 keeps the usual one of its kind. */
  void SetMaxOutput(std::uint64_t tokens) { max_output_ = tokens; }
  /** Time that the caller waits for its whole answer. */
  void SetDeadline(std::chrono::milliseconds deadline) { deadline_ = deadline; }
  /** Takes up the stream of another attempt after its last complete event. */
  void TakeUp(const caller& broken);
  /** Takes up a stream that this id began, after event `last_event`. */
  void TakeUp(std::string id, std::uint64_t last_event, std::string version);
  /** @return the serialized request. */
  std::string RequestText() const;
  /** Sends the request on a connection of its own. @param address of a gateway. */
  void Send(const std::string& address);
  /** Closes the connection before the response is complete. */
  void Disconnect();

  const std::string& id() const { return id_; }
  call_kind kind() const { return kind_; }
  std::chrono::milliseconds deadline() const { return deadline_; }
  std::uint64_t events() const { return events_; }
  /** @return id of the last complete event that has arrived, in this attempt or before. */
  std::uint64_t last_event() const;
  /** @return software version of the endpoint that began the stream; empty before its first event.
   */
  std::string software_version() const;
  /** The response is complete, the connection has ended, or the caller has disconnected. */
  bool is_done() const { return is_done_; }
  bool disconnected() const { return disconnected_; }
  /** Status of the response; 0 before its head has arrived. */
  int status() const { return status_; }
  /** The response is complete and has status 200. */
  bool is_served() const { return is_done_ && is_complete_ && status_ == 200; }
  /** The response is complete and its status states that the request has not run. */
  bool is_refused() const { return is_complete_ && (status_ == 503 || status_ == 429); }

  /** @return id of the endpoint that signed the response; empty if there is none. */
  const std::string& endpoint() const { return endpoint_; }
  /** The response said that its endpoint leaves. */
  bool heard_leaving() const { return heard_leaving_; }
  /** Value of the header that states when to come back; empty without one. */
  const std::string& retry_after() const { return retry_after_; }

  /** @return the fault in the part of the response that has arrived; empty if there is none. */
  std::string FindViolation() const;

 private:
  void OnResponseHead(http::message_head head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeError(gateway::exchange_error error) override;

  std::string Path() const;
  bool is_stream() const { return kind_ == call_kind::kReport || kind_ == call_kind::kTag; }
  std::string ExpectedEvents() const;

  asio::io_context& loop_;
  std::string id_;
  call_kind kind_;
  std::uint64_t events_;
  std::string prompt_parts_;
  std::uint64_t max_output_ = 0;
  std::chrono::milliseconds deadline_{20000};
  /** Id of the attempt whose stream is taken up; empty if there is none. */
  std::string resumed_id_;
  /** Last event of that stream before this attempt, and the version that began it. */
  std::uint64_t resumed_after_ = 0;
  std::string resumed_version_;
  std::size_t extra_bytes_ = 0;
  bool states_size_ = true;
  std::shared_ptr<gateway::http_exchange> exchange_;
  int status_ = 0;
  bool has_signature_ = false;
  std::string endpoint_;
  bool heard_leaving_ = false;
  std::string retry_after_;
  std::string body_;
  bool is_complete_ = false;
  bool is_done_ = false;
  bool disconnected_ = false;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_CALLER_H_
