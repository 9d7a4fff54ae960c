#include "rig.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

namespace rig {

namespace {

using nlohmann::json;

const clock::time_point kBegin = clock::now();
std::mutex record_mutex;
std::ofstream record_file;
std::string work_folder;
std::mutex processes_mutex;
std::vector<pid_t> processes;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

bool EqualsIgnoringCase(const std::string& a, const std::string& b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

constexpr char kBase64[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& data) {
  std::string text;
  for (std::size_t i = 0; i < data.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) | (i + j < data.size() ? static_cast<unsigned char>(data[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > data.size() ? '=' : kBase64[(group >> (18 - 6 * j)) & 63U];
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string data;
  unsigned group = 0;
  int bits = 0;
  for (const char c : text) {
    const char* const found = std::strchr(kBase64, c);
    if (c == '=' || c == '\0' || found == nullptr) {
      break;
    }
    group = (group << 6U) | static_cast<unsigned>(found - kBase64);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      data += static_cast<char>((group >> static_cast<unsigned>(bits)) & 255U);
    }
  }
  return data;
}

std::string DecodePercent(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

std::string Query(const message& request, const std::string& name) {
  const std::size_t mark = request.target.find('?');
  std::istringstream fields(mark == std::string::npos ? "" : request.target.substr(mark + 1));
  for (std::string field; std::getline(fields, field, '&');) {
    if (field.rfind(name + "=", 0) == 0) {
      return DecodePercent(field.substr(name.size() + 1));
    }
  }
  return {};
}

std::int64_t SteadyMs() {
  return std::chrono::duration_cast<milliseconds>(clock::now().time_since_epoch()).count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

milliseconds Now() {
  return std::chrono::duration_cast<milliseconds>(clock::now() - kBegin);
}

void SleepUntil(milliseconds at) {
  std::this_thread::sleep_until(kBegin + at);
}

void OpenRecord(const std::string& folder) {
  std::signal(SIGPIPE, SIG_IGN);
  record_file.open(folder + "/record.txt", std::ios::trunc);
  std::string pattern = std::filesystem::temp_directory_path() / "tarragon-review-XXXXXX";
  Require(::mkdtemp(pattern.data()) != nullptr, "a temporary folder");
  work_folder = pattern;
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f s  ", static_cast<double>(Now().count()) / 1000);
  record_file << time << line << std::endl;
  std::printf("%s%s\n", time, line.c_str());
  std::fflush(stdout);
}

void Exit(int status) {
  {
    const std::lock_guard lock(processes_mutex);
    for (const pid_t process : processes) {
      ::kill(process, SIGKILL);
      ::waitpid(process, nullptr, 0);
    }
    processes.clear();
  }
  if (!work_folder.empty() && std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(work_folder, ignored);
  }
  std::_Exit(status);
}

void Require(bool condition, const std::string& what) {
  if (!condition) {
    Record("the case could not run: " + what);
    Exit(2);
  }
}

bool WaitFor(const std::function<bool()>& condition, milliseconds timeout) {
  const milliseconds end = Now() + timeout;
  while (!condition()) {
    if (Now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

std::vector<int> FreePorts(std::size_t count) {
  static std::mutex mutex;
  static std::set<int> used;
  static int next = 20'000 + static_cast<int>(::getpid() % 50) * 200;
  const std::lock_guard lock(mutex);
  std::vector<int> ports;
  while (ports.size() < count) {
    const int port = next++;
    const sockaddr_in address = Loopback(port);
    bool is_free = used.insert(port).second;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
      is_free = is_free && ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
                                  sizeof address) == 0;
      ::close(descriptor);
    }
    if (is_free) {
      ports.push_back(port);
    }
  }
  return ports;
}

std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string message::Header(const std::string& name) const {
  for (const auto& [known, value] : headers) {
    if (EqualsIgnoringCase(known, name)) {
      return value;
    }
  }
  return {};
}

connection::~connection() {
  ::close(descriptor_);
}

bool connection::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool connection::Fill() {
  char bytes[8192];
  const ssize_t size = ::recv(descriptor_, bytes, sizeof bytes, 0);
  if (size > 0) {
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }
  has_failed_ = size < 0;
  return false;
}

std::optional<std::string> connection::ReadUntil(const std::string& end) {
  std::size_t found = 0;
  while ((found = buffer_.find(end)) == std::string::npos) {
    if (!Fill()) {
      return std::nullopt;
    }
  }
  std::string text = buffer_.substr(0, found + end.size());
  buffer_.erase(0, text.size());
  return text;
}

std::optional<std::string> connection::ReadExactly(std::size_t size) {
  while (buffer_.size() < size) {
    if (!Fill()) {
      return std::nullopt;
    }
  }
  std::string text = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return text;
}

std::string connection::ReadSome() {
  if (buffer_.empty() && !Fill()) {
    return {};
  }
  return std::exchange(buffer_, {});
}

bool connection::IsClosedByPeer() const {
  char byte = 0;
  const ssize_t size = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::Reset() {
  // The descriptor stays open until the last user has gone, so that it is not given out again.
  linger now{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  sockaddr unspecified{};
  unspecified.sa_family = AF_UNSPEC;
  // Dissolving the association of a TCP socket resets the connection.
  ::connect(descriptor_, &unspecified, sizeof unspecified);
  ::shutdown(descriptor_, SHUT_RDWR);
}

connection_ptr Connect(int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  auto made = std::make_shared<connection>(descriptor);
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    return nullptr;
  }
  return made;
}

std::optional<message> ReadHead(connection& from) {
  const auto text = from.ReadUntil("\r\n\r\n");
  if (!text) {
    return std::nullopt;
  }
  message head;
  std::istringstream lines(*text);
  std::string line;
  std::getline(lines, line);
  std::istringstream first(line);
  std::string word;
  first >> word >> head.target;
  if (word.rfind("HTTP/", 0) == 0) {
    head.status = std::atoi(head.target.c_str());
  }
  head.method = word;
  while (std::getline(lines, line) && line != "\r") {
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      value.erase(value.find_last_not_of("\r ") + 1);
      head.headers.emplace_back(line.substr(0, colon), value);
    }
  }
  return head;
}

std::optional<message> ReadRequest(connection& from) {
  auto request = ReadHead(from);
  if (request && !request->Header("Content-Length").empty()) {
    const auto body = from.ReadExactly(std::stoul(request->Header("Content-Length")));
    if (!body) {
      return std::nullopt;
    }
    request->body = *body;
  }
  return request;
}

std::string FormatResponse(int status,
                           const std::vector<std::pair<std::string, std::string>>& headers,
                           const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

listener::listener(int port, std::function<void(const connection_ptr&)> on_connection)
    : port_(port), on_connection_(std::move(on_connection)) {
  Open();
}

void listener::Open() {
  const std::lock_guard lock(mutex_);
  if (descriptor_ >= 0) {
    return;
  }
  descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(port_);
  Require(::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
              ::listen(descriptor_, 512) == 0,
          "port " + std::to_string(port_) + " is not free");
  std::thread([this] { Run(); }).detach();
}

void listener::Close() {
  const std::lock_guard lock(mutex_);
  if (descriptor_ >= 0) {
    ::shutdown(descriptor_, SHUT_RDWR);
    ::close(descriptor_);
    descriptor_ = -1;
  }
  for (const auto& each : open_) {
    if (const auto alive = each.lock()) {
      alive->Reset();
    }
  }
  open_.clear();
}

void listener::Run() {
  int descriptor = -1;
  {
    const std::lock_guard lock(mutex_);
    descriptor = descriptor_;
  }
  while (true) {
    const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    const int on = 1;
    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto made = std::make_shared<connection>(accepted);
    {
      const std::lock_guard lock(mutex_);
      if (descriptor_ != descriptor) {
        return;
      }
      std::erase_if(open_, [](const auto& each) { return each.expired(); });
      open_.push_back(made);
    }
    std::thread([this, made] { on_connection_(made); }).detach();
  }
}

void store::Serve(int port, view rewrite) {
  listeners_.push_back(std::make_unique<listener>(
      port, [this, rewrite = std::move(rewrite)](const connection_ptr& caller) {
        Handle(caller, rewrite);
      }));
}

void store::Put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  now_.tables[table][{"", key}] = {value, ++now_.version, false};
  changed_.notify_all();
}

void store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  now_.tables[table][{"", key}] = {"", ++now_.version, true};
  changed_.notify_all();
}

void store::MakeCopy() {
  const std::lock_guard lock(mutex_);
  copy_ = now_;
}

void store::GoAway() {
  for (const auto& each : listeners_) {
    each->Close();
  }
}

void store::ReturnFromCopy() {
  {
    const std::lock_guard lock(mutex_);
    now_ = copy_;
    ++era_;
    changed_.notify_all();
  }
  Return();
}

void store::Return() {
  for (const auto& each : listeners_) {
    each->Open();
  }
}

void store::Handle(const connection_ptr& caller, const view& rewrite) {
  while (const auto request = ReadRequest(*caller)) {
    if (!caller->Write(Answer(*request, rewrite))) {
      return;
    }
  }
}

std::string store::Respond(int status, const std::string& body) const {
  return FormatResponse(
      status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}}, body);
}

std::string store::Answer(const message& request, const view& rewrite) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/tarragondyke/rows-get") {
    return AnswerGet(request, rewrite);
  }
  if (path == "/tarragondyke/rows-feed") {
    return AnswerFeed(request, rewrite);
  }
  if (path == "/tarragondyke/rows-tx") {
    return AnswerTransaction(request);
  }
  const std::lock_guard lock(mutex_);
  return Respond(404, "{}");
}

std::string store::AnswerGet(const message& request, const view& rewrite) {
  const std::lock_guard lock(mutex_);
  const std::string table = Query(request, "table");
  const std::string part = Query(request, "part");
  const std::string from = Query(request, "from");
  const std::string to = Query(request, "to");
  json rows = json::array();
  for (const auto& [position, known] : now_.tables[table]) {
    const auto& [known_part, key] = position;
    if (known_part == part && !known.is_deleted && key >= from && (to.empty() || key < to)) {
      rows.push_back(
          {{"table", table},
           {"part", part},
           {"key", key},
           {"ver", known.version},
           {"value", EncodeBase64(rewrite ? rewrite(table, known.value) : known.value)}});
    }
  }
  return Respond(
      200,
      json{{"rows", rows}, {"more-pages", false}, {"ver", now_.version}, {"now-ms", SteadyMs()}}
          .dump());
}

std::string store::AnswerFeed(const message& request, const view& rewrite) {
  std::unique_lock lock(mutex_);
  const std::string table = Query(request, "table");
  const std::uint64_t after = std::stoull(Query(request, "after"));
  const auto end = clock::now() + milliseconds(std::stol(Query(request, "wait-ms")));
  const std::uint64_t era = era_;
  if (after > now_.version) {
    return Respond(410, "{}");
  }
  while (true) {
    json rows = json::array();
    std::vector<std::pair<std::uint64_t, json>> changed;
    for (const auto& [position, known] : now_.tables[table]) {
      if (known.version <= after) {
        continue;
      }
      json item = {{"table", table},
                   {"part", position.first},
                   {"key", position.second},
                   {"ver", known.version}};
      if (known.is_deleted) {
        item["tombstone"] = true;
      } else {
        item["value"] = EncodeBase64(rewrite ? rewrite(table, known.value) : known.value);
      }
      changed.emplace_back(known.version, item);
    }
    std::sort(changed.begin(), changed.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& [version, item] : changed) {
      rows.push_back(std::move(item));
    }
    if (!rows.empty() || clock::now() >= end || era_ != era) {
      return Respond(200,
                     json{{"rows", rows}, {"ver", now_.version}, {"now-ms", SteadyMs()}}.dump());
    }
    changed_.wait_until(lock, end);
  }
}

std::string store::AnswerTransaction(const message& request) {
  const std::lock_guard lock(mutex_);
  const json call = json::parse(request.body, nullptr, false);
  const auto find = [&](const json& item) -> row& {
    return now_.tables[item["table"]][{item["part"], item["key"]}];
  };
  const auto is_reserved = [](const json& item) {
    return item["table"] == "op" || item["table"] == "servers";
  };
  for (const char* list : {"set-keys", "remove"}) {
    for (const json& item : call[list]) {
      if (is_reserved(item)) {
        return Respond(403, "{}");
      }
    }
  }
  for (const json& item : call["expected-rev"]) {
    const row& known = find(item);
    if ((known.is_deleted ? 0 : known.version) != item["ver"].get<std::uint64_t>()) {
      return Respond(
          412, json{{"rows", json::array()}, {"ver", now_.version}, {"now-ms", SteadyMs()}}.dump());
    }
  }
  ++now_.version;
  for (const json& item : call["set-keys"]) {
    find(item) = {DecodeBase64(item["value"]), now_.version, false};
  }
  for (const json& item : call["remove"]) {
    find(item) = {"", now_.version, true};
  }
  changed_.notify_all();
  return Respond(200, json{{"ver", now_.version}, {"now-ms", SteadyMs()}}.dump());
}

link::link(int port, int target_port) : target_port_(target_port) {
  listener_ = std::make_unique<listener>(port, [this](const connection_ptr& caller) {
    {
      const std::lock_guard lock(mutex_);
      if (is_cut_) {
        // Nothing arrives; the connection lives until its opener closes it.
        std::thread([caller] {
          while (!caller->IsClosedByPeer()) {
            std::this_thread::sleep_for(milliseconds(50));
          }
        }).detach();
        return;
      }
    }
    if (const connection_ptr target = Connect(target_port_)) {
      std::thread([this, caller, target] { Pump(target, caller); }).detach();
      Pump(caller, target);
    }
  });
}

void link::Pump(const connection_ptr& from, const connection_ptr& to) {
  for (std::string some = from->ReadSome(); !some.empty(); some = from->ReadSome()) {
    std::unique_lock lock(mutex_);
    healed_.wait(lock, [this] { return !is_cut_; });
    lock.unlock();
    if (!to->Write(some)) {
      break;
    }
  }
  from->Reset();
  to->Reset();
}

void link::Cut() {
  const std::lock_guard lock(mutex_);
  is_cut_ = true;
}

void link::Heal() {
  const std::lock_guard lock(mutex_);
  is_cut_ = false;
  healed_.notify_all();
}

endpoint::endpoint(std::string id, std::string service, handler on_request)
    : id_(std::move(id)),
      service_(std::move(service)),
      on_request_(std::move(on_request)),
      born_(UnixMs()) {}

listener& endpoint::Listen(int port) {
  entrances_.push_back(
      std::make_unique<listener>(port, [this](const connection_ptr& caller) { Handle(caller); }));
  return *entrances_.back();
}

void endpoint::End() {
  for (const auto& each : entrances_) {
    each->Close();
  }
}

void endpoint::Restart(const std::string& version) {
  version_ = version;
  born_ = UnixMs();
  for (const auto& each : entrances_) {
    each->Open();
  }
}

std::vector<std::pair<std::string, std::string>> endpoint::SuccessHeaders(
    const message& request) const {
  std::vector<std::pair<std::string, std::string>> headers = {
      {"Attempt-Id", request.Header("Attempt-Id")},
      {"Response-Signature", id_ + "." + request.Header("Attempt-Id")},
      {"Server-Load", "1,0,24,100"}};
  if (says_leaving_) {
    headers.emplace_back("Server-Leaving", "1");
    headers.emplace_back("Connection", "close");
  }
  return headers;
}

std::string endpoint::Row(const std::string& state, int port) const {
  return json{{"service", service_},
              {"address", Address(port)},
              {"zone", "centru-a"},
              {"version", version_},
              {"slots", service_ == "pool" ? 24 : 6},
              {"state", state},
              {"cold-remaining-ms", 0},
              {"sequence", 1},
              {"born", born_}}
      .dump();
}

void endpoint::Handle(const connection_ptr& caller) {
  const auto request = ReadRequest(*caller);
  if (!request) {
    return;
  }
  const std::string id = request->Header("Attempt-Id");
  if (id.empty()) {
    caller->Write(FormatResponse(404, {{"Connection", "close"}}, ""));
    return;
  }
  const std::string expected = request->Header("Expect-Instance");
  if (!expected.empty() && expected != id_) {
    caller->Write(FormatResponse(
        421,
        {{"Attempt-Id", id}, {"Instance-Id", id_}, {"Not-Executed", "1"}, {"Connection", "close"}},
        ""));
    return;
  }
  Record("endpoint " + id_ + " runs request " + id);
  on_request_(caller, *request);
}

gateway::gateway(std::string name, std::string failure_domain, int store_port)
    : name_(std::move(name)),
      failure_domain_(std::move(failure_domain)),
      store_port_(store_port),
      ports_(FreePorts(4)) {}

std::string gateway::log_file() const {
  return work_folder + "/" + name_ + ".log";
}

bool gateway::LogHas(const std::string& text) const {
  std::ifstream file(log_file());
  std::stringstream all;
  all << file.rdbuf();
  return all.str().find(text) != std::string::npos;
}

void gateway::Start() {
  // The figures are those that the platform fills into deploy/gateway.toml.in.
  const std::string settings = work_folder + "/" + name_ + ".toml";
  std::ofstream(settings) << "[vm]\nname = \"" << name_ << "\"\nfailure_domain = \""
                          << failure_domain_ << "\"\n[listen]\ncallers = \"" << Address(ports_[0])
                          << "\"\nreadiness = \"" << Address(ports_[1]) << "\"\nmetrics = \""
                          << Address(ports_[2]) << "\"\npeers = \"" << Address(ports_[3])
                          << "\"\n[store]\naddress = \"" << Address(store_port_)
                          << "\"\n[start]\nfirst = false\n[shutdown]\ngrace_s = 8\n[retries]\n"
                             "share = 0.2\nslack = 56\nwindow_s = 10\n[limits]\nmemory_mb = 260\n"
                             "descriptors = 4100\n";
  const std::string argument = "--settings=" + settings;
  const std::string log = log_file();
  const pid_t process = ::fork();
  if (process == 0) {
    // The daemon ends with the stand-ins, however these end.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::signal(SIGPIPE, SIG_DFL);
    ::execl("target/bin/tarragon-gateway", "target/bin/tarragon-gateway", argument.c_str(),
            nullptr);
    ::_exit(127);
  }
  process_ = process;
  const std::lock_guard lock(processes_mutex);
  processes.push_back(process);
}

void gateway::Signal(int signal) const {
  ::kill(process_, signal);
}

bool gateway::WaitUntilReady() const {
  return WaitFor(
      [this] {
        const connection_ptr to = Connect(ports_[1]);
        if (to == nullptr) {
          return false;
        }
        to->Write("GET /tarragondyke/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        const auto head = ReadHead(*to);
        return head && head->status == 200;
      },
      milliseconds(10'000));
}

std::string outcome::Describe() const {
  std::string text = status == 0 ? std::string("no response") : std::to_string(status);
  text += status == 0 ? "" : (is_complete ? ", complete" : ", broken off");
  return text + ", " + std::to_string(body.size()) + " bytes, " + std::to_string(CountEvents()) +
         " events, after " + std::to_string((ended - sent).count()) + " ms";
}

int outcome::CountEvents() const {
  int count = 0;
  for (std::size_t at = body.find("id: "); at != std::string::npos;
       at = body.find("id: ", at + 1)) {
    count += std::atoi(body.c_str() + at + 4) == count + 1 ? 1 : 0;
  }
  return count;
}

outcome Perform(connection& to, const call& request) {
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + Host() +
                     "\r\nAttempt-Id: " + request.id + "\r\nAuthorization: Token " + ApiKey() +
                     "\r\n";
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
  }
  if (request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  outcome result;
  result.sent = Now();
  Record("caller sends request " + request.id + " " + request.path);
  to.Write(text + "\r\n" + request.body);
  if (const auto head = ReadHead(to)) {
    result.status = head->status;
    result.signature = head->Header("Response-Signature");
    result.says_leaving = head->Header("Server-Leaving") == "1";
    if (EqualsIgnoringCase(head->Header("Transfer-Encoding"), "chunked")) {
      while (true) {
        const auto size_line = to.ReadUntil("\r\n");
        if (!size_line) {
          break;
        }
        const std::size_t size = std::stoul(*size_line, nullptr, 16);
        const auto chunk = to.ReadExactly(size + 2);
        if (!chunk) {
          break;
        }
        if (size == 0) {
          result.is_complete = true;
          break;
        }
        result.body += chunk->substr(0, size);
      }
    } else if (!head->Header("Content-Length").empty()) {
      const auto body = to.ReadExactly(std::stoul(head->Header("Content-Length")));
      result.body = body.value_or("");
      result.is_complete = body.has_value();
    } else {
      for (std::string some = to.ReadSome(); !some.empty(); some = to.ReadSome()) {
        result.body += some;
      }
      result.is_complete = !to.has_failed();
    }
  }
  result.ended = Now();
  Record("caller of " + request.id + " has: " + result.Describe());
  return result;
}

std::string Host() {
  return "ficu95.example";
}

std::string ApiKey() {
  return "xd9dnn2ctnfzs989anu6";
}

std::string Configuration() {
  const auto route = [](const char* name, const char* kind, const char* service, int timeout,
                        int objective, int attempts, int priority) {
    return json{{"name", name},
                {"host", Host()},
                {"prefix", std::string("/") + name + "/"},
                {"kind", kind},
                {"service", service},
                {"timeout-ms", timeout},
                {"target-latency-ms", objective},
                {"max-attempts", attempts},
                {"priority", priority}};
  };
  json report = route("report", "stream", "pool", 39'000, 1'800, 1, 1);
  report["gap-target-ms"] = 180;
  report["sticky"] = true;
  json tag = route("tag", "stream", "pool", 6'000, 1'500, 2, 0);
  tag["gap-target-ms"] = 180;
  tag["sticky"] = true;
  tag["resumable"] = true;
  return json{
      {"version", 7},
      {"routes",
       {report, tag, route("commit", "unsafe", "app", 1'200, 150, 1, 2),
        route("read", "safe", "app", 1'200, 150, 2, 2)}},
      {"services",
       {{{"name", "pool"},
         {"max-connections", 252},
         {"health-path", "/healthz"},
         {"engine", {{"slots", 24}, {"kv-capacity", 34371}, {"moves", true}, {"backups", true}}}},
        {{"name", "app"}, {"max-connections", 110}, {"health-path", "/healthz"}}}},
      {"limits",
       {{"max-header-bytes", 16384},
        {"max-body-bytes", 4194304},
        {"header-timeout-ms", 3000},
        {"idle-timeout-ms", 15000}}},
      {"tenants", {{{"name", "huka270"}, {"api-keys", {ApiKey()}}}}}}
      .dump();
}

}  // namespace rig
