#ifndef MANGOPORT_ENTRYHOST_PEER_SERVICE_H_
#define MANGOPORT_ENTRYHOST_PEER_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "mangoport/core/ids.h"
#include "mangoport/ports/peer.h"
#include "mangoport/settings/host_settings.h"

namespace mangoport {

class ConfigService;
class HostList;

/// Keeps this host in touch with its peers: carries the decisions of `Gossip`
/// over the peer transport and into the configuration in force.
class PeerService {
 public:
  /// `host_list` may be null; the seeds of the settings are then all that is
  /// known of other hosts at first.
  PeerService(const HostSettings& settings,
              ConfigService& config,
              HostList* host_list);
  ~PeerService();

  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  /// Binds and starts. Returns the port, or 0 if that failed.
  std::uint16_t Start();

  /// Answers another part's method; to be called before `Start`. The handler
  /// runs on a thread of the peers' server.
  void AddMethod(std::string_view method, PeerHandler handler);

  /// Calls to peers, for other parts. Good as long as this object is.
  PeerClient& client();

  /// Where the peers answer that are taken to be working.
  std::vector<PeerAddress> LivePeers() const;

  /// Withdraws a key here at once and at every peer in reach soon; the log
  /// records it when it can.
  void Withdraw(const KeyId& key, const std::string& reason);

  /// Announces to the peers that this host is stopping.
  void AnnounceLeaving();

  /// True once this host may serve what it knows.
  bool ready() const;

  /// Peers and withdrawals, as JSON for operators.
  std::string StatusJson() const;

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace mangoport

#endif  // MANGOPORT_ENTRYHOST_PEER_SERVICE_H_
