#ifndef QUETZALLEAD_TRANSPORT_PLATFORM_PLATFORMCLIENT_H
#define QUETZALLEAD_TRANSPORT_PLATFORM_PLATFORMCLIENT_H

#include "quetzallead/Time.h"
#include "transport/http/HttpClient.h"
#include <cstdint>
#include <functional>
#include <string>

namespace quetzallead {

struct CatalogEntry;
struct CatalogReply;
struct KvReply;
struct SessionReply;
struct WriteReply;

/// The platform's key-value store, sessions and instance list, over the HTTP
/// shape of Consul. Each method makes exactly one HTTP call and calls \p Done
/// once, on a thread of the HTTP client; nothing is repeated here. Thread-safe.
class PlatformClient {
public:
  using CallId = HttpClient::CallId;
  using KvDone = std::function<void(KvReply)>;
  using WriteDone = std::function<void(WriteReply)>;
  using SessionDone = std::function<void(SessionReply)>;
  using CatalogDone = std::function<void(CatalogReply)>;

  struct Options {
    /// "ip:port" of the platform.
    std::string Address;
    /// Limit on a call, without the waiting time of a watch.
    Duration Timeout = absl::Seconds(2);
  };

  /// \p Client must outlive this object and its calls.
  PlatformClient(HttpClient &Client, Options Opts);

  /// Reads a key.
  CallId read(const std::string &Key, KvDone Done);
  /// Waits up to \p Wait until the index of a key is above \p Index.
  CallId watch(const std::string &Key, std::uint64_t Index, Duration Wait,
               KvDone Done);
  /// Writes a key if its ModifyIndex is \p Index; 0 creates only.
  CallId compareAndSwap(const std::string &Key, std::string Value,
                        std::uint64_t Index, WriteDone Done);
  /// As compareAndSwap(), and takes the key for \p Session.
  CallId acquire(const std::string &Key, std::string Value, std::uint64_t Index,
                 const std::string &Session, WriteDone Done);

  /// Creates a session whose keys are deleted when it ends.
  CallId createSession(Duration TimeToLive, SessionDone Done);
  /// Refused if the session has ended.
  CallId renewSession(const std::string &Session, WriteDone Done);
  CallId destroySession(const std::string &Session, WriteDone Done);

  /// Reads the list of nodes of \p Service.
  CallId list(const std::string &Service, CatalogDone Done);
  /// Waits up to \p Wait until the list's index is above \p Index.
  CallId watchList(const std::string &Service, std::uint64_t Index,
                   Duration Wait, CatalogDone Done);
  /// Puts a node on the list of \p Service, or replaces it.
  CallId enlist(const std::string &Service, const CatalogEntry &Entry,
                WriteDone Done);
  /// Takes a node off the list.
  CallId delist(const std::string &Node, WriteDone Done);

  /// Ends a call early; its \p Done still runs.
  void cancel(CallId Id) { Client.cancel(Id); }

private:
  HttpCall makeCall(std::string Method, std::string Target) const;
  CallId put(std::string Target, std::string Body, WriteDone Done);
  CallId putKey(std::string Target, std::string Value, WriteDone Done);

  HttpClient &Client;
  const Options Opts;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PLATFORM_PLATFORMCLIENT_H
