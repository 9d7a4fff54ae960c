#ifndef TARRAGON_REVIEW_STANDINS_2_RIG_HPP_
#define TARRAGON_REVIEW_STANDINS_2_RIG_HPP_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <sys/types.h>

/** Stand-ins for the platform: its store, endpoints and callers, on loopback and the real clock. */
namespace rig {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Time since the program began. */
milliseconds Now();
void SleepUntil(milliseconds at);

/** Writes a line with the time to `record.txt` and to standard output. */
void Record(const std::string& line);
void OpenRecord(const std::string& folder);
/** Ends all gateways and the program. */
[[noreturn]] void Exit(int status);
/** Ends the program with status 2 unless the condition holds: the case could not run. */
void Require(bool condition, const std::string& what);

/** @return whether the condition became true in time. */
bool WaitFor(const std::function<bool()>& condition, milliseconds timeout);

/** @return free TCP ports of the loopback address that no other call has returned. */
std::vector<int> FreePorts(std::size_t count);
std::string Address(int port);

struct message {
  /** Of a request. */
  std::string method;
  std::string target;
  /** Of a response. */
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

/** A connected socket with a read buffer. */
class connection {
 public:
  explicit connection(int descriptor) : descriptor_(descriptor) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool Write(const std::string& bytes);
  /** Reads until the text ends with `end`. */
  std::optional<std::string> ReadUntil(const std::string& end);
  std::optional<std::string> ReadExactly(std::size_t size);
  /** @return some bytes; empty at the end of the stream or after an error. */
  std::string ReadSome();
  /** @return whether the last read ended with an error, such as a reset. */
  bool has_failed() const { return has_failed_; }
  /** @return whether the peer has closed or reset the connection; does not consume bytes. */
  bool IsClosedByPeer() const;
  /** Resets the connection; a thread that reads it returns. */
  void Reset();

 private:
  bool Fill();

  int descriptor_;
  std::string buffer_;
  bool has_failed_ = false;
};

using connection_ptr = std::shared_ptr<connection>;

connection_ptr Connect(int port);
std::optional<message> ReadHead(connection& from);
/** Reads a request with its body. */
std::optional<message> ReadRequest(connection& from);
std::string FormatResponse(int status,
                           const std::vector<std::pair<std::string, std::string>>& headers,
                           const std::string& body);

/** Accepts connections on a port, one thread each. */
class listener {
 public:
  listener(int port, std::function<void(const connection_ptr&)> on_connection);

  /** Resets the open connections and refuses new ones, until `Open`. */
  void Close();
  void Open();
  int port() const { return port_; }

 private:
  void Run();

  int port_;
  std::function<void(const connection_ptr&)> on_connection_;
  std::mutex mutex_;
  int descriptor_ = -1;
  std::vector<std::weak_ptr<connection>> open_;
};

/** The platform's store of tables. */
class store {
 public:
  /** Changes a value as the daemon sees it that reads at this listener. */
  using view = std::function<std::string(const std::string& table, const std::string& value)>;

  /** Serves at a further port. */
  void Serve(int port, view rewrite = {});
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  /** Remembers the tables. */
  void MakeCopy();
  /** Closes connections and refuses new ones. */
  void GoAway();
  /** Serves again with the tables of the last copy and a new era. */
  void ReturnFromCopy();
  /** Serves again as before. */
  void Return();

 private:
  struct row {
    std::string value;
    std::uint64_t version = 0;
    bool is_deleted = false;
  };
  /** Rows by part and key. */
  using table_rows = std::map<std::pair<std::string, std::string>, row>;
  struct contents {
    std::map<std::string, table_rows> tables;
    std::uint64_t version = 1;
  };

  void Handle(const connection_ptr& caller, const view& rewrite);
  std::string Answer(const message& request, const view& rewrite);
  std::string AnswerGet(const message& request, const view& rewrite);
  std::string AnswerFeed(const message& request, const view& rewrite);
  std::string AnswerTransaction(const message& request);
  std::string Respond(int status, const std::string& body) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  contents now_;
  contents copy_;
  std::uint64_t era_ = 1;
  std::vector<std::unique_ptr<listener>> listeners_;
};

/** A network path that can be cut: a proxy on which bytes wait while it is cut. */
class link {
 public:
  link(int port, int target_port);

  void Cut();
  /** Bytes go on; connections that were opened during the cut stay silent, as their SYN was lost.
   */
  void Heal();

 private:
  void Pump(const connection_ptr& from, const connection_ptr& to);

  int target_port_;
  std::mutex mutex_;
  std::condition_variable healed_;
  bool is_cut_ = false;
  std::unique_ptr<listener> listener_;
};

/** An endpoint; what it does with requests is up to the case. */
class endpoint {
 public:
  using handler = std::function<void(const connection_ptr&, const message&)>;

  endpoint(std::string id, std::string service, handler on_request);

  /** Adds a port at which the endpoint is reached. */
  listener& Listen(int port);
  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  int port() const { return entrances_.front()->port(); }
  /** All answers say that the endpoint leaves. */
  void SayLeaving() { says_leaving_ = true; }
  /** Sets the version of its software, v1 at first. */
  void SetVersion(std::string version) { version_ = std::move(version); }
  /** The process ends: all connections end, new ones are refused. */
  void End();
  /** Starts again under its id, at its address. */
  void Restart(const std::string& version);

  /** @return headers of a success. */
  std::vector<std::pair<std::string, std::string>> SuccessHeaders(const message& request) const;
  /** @return its row in the list of endpoints. */
  std::string Row(const std::string& state, int port) const;

 private:
  void Handle(const connection_ptr& caller);

  std::string id_;
  std::string service_;
  std::string version_ = "v1";
  handler on_request_;
  std::atomic<bool> says_leaving_{false};
  std::int64_t born_;
  std::vector<std::unique_ptr<listener>> entrances_;
};

/** A gateway process. */
class gateway {
 public:
  /** @param store_port where this daemon reaches the store. */
  gateway(std::string name, std::string failure_domain, int store_port);

  void Start();
  void Signal(int signal) const;
  bool WaitUntilReady() const;
  int callers_port() const { return ports_[0]; }
  std::string log_file() const;
  bool LogHas(const std::string& text) const;

 private:
  std::string name_;
  std::string failure_domain_;
  int store_port_;
  std::vector<int> ports_;
  pid_t process_ = 0;
};

/** What a caller has got. */
struct outcome {
  milliseconds sent{0};
  milliseconds ended{0};
  int status = 0;
  std::string signature;
  /** The response said that its endpoint leaves. */
  bool says_leaving = false;
  std::string body;
  /** The response ended as its framing says. */
  bool is_complete = false;
  std::string Describe() const;
  /** @return number of events whose `id` lines follow one another from 1 on. */
  int CountEvents() const;
};

struct call {
  std::string id;
  std::string method = "POST";
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/** Sends a request on an open connection and reads the response. */
outcome Perform(connection& to, const call& request);

/** @return host of all routes. */
std::string Host();
/** @return API key of the tenant. */
std::string ApiKey();

/**
 * @return a configuration with the routes `/report/` and `/tag/` to `pool`, and `/commit/` and
 *     `/read/` to `app`, with the figures of the small deployments.
 */
std::string Configuration();

}  // namespace rig

#endif  // TARRAGON_REVIEW_STANDINS_2_RIG_HPP_
