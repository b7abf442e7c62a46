#ifndef QUETZALLEAD_TRANSPORT_HTTP_CURLTRANSFER_H
#define QUETZALLEAD_TRANSPORT_HTTP_CURLTRANSFER_H

#include "transport/http/HttpClient.h"
#include <array>
#include <cstddef>
#include <string>

struct curl_slist;

namespace quetzallead {

/// One exchange of an HttpClient: sets a libcurl easy handle up, collects the
/// response, and tells how far the request came. Belongs to one thread. The
/// easy handle is the caller's and must be reset before the transfer dies.
class CurlTransfer {
public:
  CurlTransfer(HttpClient::CallId TransferId, HttpCall Request,
               HttpClient::Completion OnDone);
  CurlTransfer(const CurlTransfer &) = delete;
  CurlTransfer &operator=(const CurlTransfer &) = delete;
  ~CurlTransfer();

  HttpClient::CallId id() const { return Id; }
  /// The easy handle given to prepare(); null before.
  void *easy() const { return Easy; }
  /// Sets \p EasyHandle up for the call. False, with the reason in the outcome
  /// of fail(), if the call is malformed.
  bool prepare(void *EasyHandle);
  /// The outcome of a transfer that libcurl ended with \p CurlCode.
  HttpOutcome finish(int CurlCode);
  /// The outcome of a call that is ended here.
  HttpOutcome fail(TransferFailure Failure);
  /// Calls the completion. Call once.
  void complete(HttpOutcome Outcome);

private:
  static std::size_t onRead(char *Out, std::size_t Size, std::size_t Count,
                            void *Cls);
  static std::size_t onWrite(char *Data, std::size_t Size, std::size_t Count,
                             void *Cls);
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *Cls);
  static int onRequestStart(void *Cls, char *, char *, int, int);
  static int onOpenSocket(void *Cls, int Purpose, void *Address);

  void setHeaders();
  void setBody();
  bool acceptHeaderLine(const char *Data, std::size_t Size);
  void acceptHeaderField(const std::string &Name, std::string Value);
  TransferFailure classify(int CurlCode) const;
  std::string describe(int CurlCode) const;

  const HttpClient::CallId Id;
  HttpCall Call;
  HttpClient::Completion Done;
  void *Easy = nullptr;
  curl_slist *HeaderList = nullptr;
  std::string Url;
  std::size_t BodyGiven = 0;
  std::size_t HeaderBytes = 0;
  bool Sent = false;
  bool RepeatRefused = false;
  bool TooLarge = false;
  bool Echoed = false;
  /// The status line read last is an interim response's.
  bool Interim = false;
  /// The empty line that ends the final response's header was read.
  bool HeaderEnded = false;
  HttpResponse Response;
  std::string Malformed;
  /// As large as libcurl's CURL_ERROR_SIZE.
  std::array<char, 256> ErrorText = {};
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_HTTP_CURLTRANSFER_H
