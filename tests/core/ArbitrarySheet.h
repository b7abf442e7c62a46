#ifndef QUETZALLEAD_TESTS_CORE_ARBITRARYSHEET_H
#define QUETZALLEAD_TESTS_CORE_ARBITRARYSHEET_H

#include "quetzallead/Sheet.h"
#include <rapidcheck.h>
#include <string>

namespace quetzallead {

/// Draws a valid sheet of a few services.
inline rc::Gen<Sheet> arbitrarySheet() {
  return rc::gen::exec([] {
    Sheet S;
    S.Deployment = "test";
    S.Zones = {"a", "b", "c"};
    int ServiceCount = *rc::gen::inRange(1, 4);
    int Port = 21000;
    for (int I = 0; I < ServiceCount; ++I) {
      ServiceSpec Service;
      Service.Name = "service" + std::to_string(I);
      Service.Epoch = *rc::gen::inRange<std::uint64_t>(1, 1000);
      Service.DefaultPriority =
          *rc::gen::element(Priority::Urgent, Priority::Ordinary);
      Service.Rules.Commands = *rc::gen::arbitrary<bool>();
      Service.Timeout = absl::Microseconds(*rc::gen::inRange(1000, 900000));
      Service.CoverageWait = Service.Timeout;
      Service.LeastCoverage = *rc::gen::inRange(0, 101) / 100.0;
      int ShardCount = *rc::gen::inRange(1, 5);
      for (int J = 0; J < ShardCount; ++J) {
        ShardSpec Shard;
        Shard.Name = "s" + std::to_string(J);
        Shard.From = J == 0 ? "" : std::string(1, static_cast<char>('a' + J));
        if (J > 0)
          Service.Shards.back().To = Shard.From;
        int ServerCount = *rc::gen::inRange(1, 4);
        for (int K = 0; K < ServerCount; ++K) {
          BackendServerSpec Server;
          Server.Name = "server" + std::to_string(Port);
          Server.Zone = S.Zones[static_cast<std::size_t>(K)];
          Server.Address = "127.0.0.1:" + std::to_string(Port++);
          Server.Slots = *rc::gen::inRange(1, 8);
          Server.ConnectionLimit = *rc::gen::inRange(1, 100);
          Server.ConnectTime = absl::Microseconds(*rc::gen::inRange(0, 9000));
          Server.Leaving = *rc::gen::arbitrary<bool>();
          Shard.Servers.push_back(Server);
        }
        Service.Shards.push_back(Shard);
      }
      S.Services.push_back(Service);
    }
    return S;
  });
}

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_CORE_ARBITRARYSHEET_H
