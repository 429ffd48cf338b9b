// What controllers tell one another: status, relayed requests, progress of jobs.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "net/http.hpp"
#include "runtime/actor.hpp"

namespace bankhill::net {

// Messages.
struct Received {
  std::string node;
  wire::Frame frame;
};
struct RelayRequest {  // to `node`; the reply has status 0 when no answer came in time
  std::string node;
  Request request;
  double timeout_s = 0;
  Reply reply;
};
// To the peers that cannot ask for updates of the progress themselves.
struct Broadcast {
  wire::JobProgress progress;
};

// A peer as its beats show it.
struct PeerState {
  std::string node;
  double silence_s = 0;              // since its last beat
  bool fresh = false;                // its beats come
  bool forwards_heartbeats = false;  // it understands frames of delegation
  wire::ControllerLoad load;         // capacity 0: takes no workers now
};

// Says and hears beats, and passes requests to peers and back.
class Relay : public runtime::Actor<Relay, Received, RelayRequest, Broadcast> {
 public:
  struct Ports {
    PeerTransport& peers;
    Handler handler;                             // serves what peers relay
    std::function<wire::PeerStatus()> status;    // what to tell the peers now
    std::function<wire::ControllerLoad()> load;  // the same, to those who understand it
    std::function<void(const std::string& node, wire::Frame)> progress;    // the three frames about it
    std::function<void(const std::string& node, wire::Frame)> heartbeats;  // Reports and Responses
  };

  Relay(runtime::Loop& loop, std::vector<std::string> peers, double beat_s, Ports ports);
  void start();

  // A peer heard of lately that reaches the state service, and that did not just leave several requests of
  // ours unanswered; empty if there is none.
  std::string peer_with_state_service() const;
  // The peer that says to lead in the latest term, heard of lately; empty if there is none.
  std::string leading_peer() const;
  // Whether the peer understands ProgressRequest and ProgressUpdate frames.
  bool syncs_progress(const std::string& node) const;
  bool is_heard(const std::string& node) const;  // its status frames come
  bool any_peer() const;
  bool all_peers() const;  // every one that this controller was told of
  // When a peer last said that it may act as the leader, on the steady clock; long ago if none did.
  double peer_led_at() const { return peer_led_at_; }
  // Those that were heard at all.
  std::vector<PeerState> peers() const;
  double status_interval_s() const { return status_interval_s_; }

  void on(Received& message);
  void on(RelayRequest& message);
  void on(Broadcast& message);

 private:
  struct PeerInfo {
    wire::PeerStatus status;
    double heard_at = -1e9;
    bool forwards_heartbeats = false;
    bool syncs_progress = false;
    wire::ControllerLoad load;
    int unanswered = 0;  // requests since the last answer
    double unanswered_at = -1e9;
  };
  struct PendingRequest {
    std::string node;
    Reply reply;
    runtime::Timer deadline;
  };
  void send_status();
  void complete(std::uint64_t id, Response response);
  bool responds(const PeerInfo& heard) const;
  bool fresh(const PeerInfo& heard) const { return loop().now() - heard.heard_at < 3 * status_interval_s_; }

  std::vector<std::string> peers_;
  double status_interval_s_;
  Ports ports_;
  std::map<std::string, PeerInfo> peer_info_;
  double peer_led_at_ = -1e9;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::uint64_t next_id_;  // begins elsewhere in each process: an answer for an earlier one finds nothing
  runtime::Timer status_timer_;
};

}  // namespace bankhill::net
