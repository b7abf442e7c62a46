#ifndef QUETZALLEAD_LOAD_DIRECTCALLER_H
#define QUETZALLEAD_LOAD_DIRECTCALLER_H

#include "load/LoadSender.h"
#include "load/ReplicaPicker.h"
#include <memory>
#include <string>

namespace quetzallead {

class HttpClient;
class TimerService;
struct LoadPlan;
struct ServiceSpec;
struct ShardSpec;
struct Sheet;

/// Sends the sub-requests of each request straight to the backend servers: the
/// floor that the tier's own latency is held against. A survey ends with its
/// last reply.
class DirectCaller {
public:
  /// All arguments must outlive every call that send() starts.
  static std::unique_ptr<DirectCaller> make(const LoadPlan &Plan,
                                            const Sheet &Services,
                                            HttpClient &Client,
                                            const TimerService &Timer);

  void send(const Arrival &Next, TimePoint Intended, RecordSink Sink);

private:
  struct Gathering;

  DirectCaller(const LoadPlan &LoadToSend, const Sheet &Specs, HttpClient &Http,
               const TimerService &Clock);
  const ServiceSpec *service(const std::string &Name) const;
  void startPart(const std::shared_ptr<Gathering> &Request,
                 const ShardSpec &Shard, int Part);

  const LoadPlan &Plan;
  const Sheet &Services;
  HttpClient &Client;
  const TimerService &Timer;
  ReplicaPicker Picker;
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_DIRECTCALLER_H
