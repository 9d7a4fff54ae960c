#ifndef TARRAGON_ROUTING_ACCOUNT_USAGE_H_
#define TARRAGON_ROUTING_ACCOUNT_USAGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace tarragon::routing {

/** Tokens that each client account has in flight at each service from this daemon. */
class account_usage final {
 public:
  /** Adds tokens of an account until destroyed or released; must not outlive the usage. */
  class hold final {
   public:
    hold() = default;
    hold(account_usage& usage, std::string service, std::string account, std::uint64_t tokens);
    hold(hold&& other) noexcept;
    hold& operator=(hold&& other) noexcept;
    ~hold() { Release(); }

    /** Removes the tokens. Later calls have no effect. */
    void Release();

   private:
    account_usage* usage_ = nullptr;
    std::pair<std::string, std::string> key_;
    std::uint64_t tokens_ = 0;
  };

  std::uint64_t Tokens(const std::string& service, const std::string& account) const;

 private:
  /** By service and account; accounts without requests in flight have no entry. */
  std::map<std::pair<std::string, std::string>, std::uint64_t> tokens_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_ACCOUNT_USAGE_H_
