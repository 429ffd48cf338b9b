// What controllers tell one another: beats, relayed requests, progress of jobs.
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
struct RelayCall {  // to `node`; the reply has status 0 when no answer came in time
  std::string node;
  Request request;
  double timeout_s = 0;
  Reply reply;
};
struct Broadcast {
  wire::Progress progress;
};

// A sibling as its beats show it.
struct SiblingState {
  std::string node;
  double silence_s = 0;    // since its last beat
  bool fresh = false;      // its beats come
  bool delegates = false;  // it understands frames of delegation
  wire::Load load;         // capacity 0: takes no workers now
};

// Says and hears beats, and passes requests to siblings and back.
class Relay : public runtime::Actor<Relay, Received, RelayCall, Broadcast> {
 public:
  struct Ports {
    PeerPort& peers;
    Handler handler;                               // serves what siblings relay
    std::function<wire::Beat()> beat;              // what to tell the siblings now
    std::function<wire::Load()> load;              // the same, to those who understand it
    std::function<void(wire::Progress)> progress;  // what the leader tells
    std::function<void(const std::string& node, wire::Frame)> delegation;  // Reports and Rulings
  };

  Relay(runtime::Loop& loop, std::vector<std::string> siblings, double beat_s, Ports ports);
  void start();

  // A sibling heard of lately that reaches the state service, and that did not just leave several requests of
  // ours unanswered; empty if there is none.
  std::string sibling_with_state() const;
  bool any_sibling() const;
  bool all_siblings() const;  // every one that this controller was told of
  // Those that were heard at all.
  std::vector<SiblingState> siblings() const;
  double beat_s() const { return beat_s_; }

  void on(Received& message);
  void on(RelayCall& message);
  void on(Broadcast& message);

 private:
  struct Heard {
    wire::Beat beat;
    double at = -1e9;
    bool delegates = false;
    wire::Load load;
    int unanswered = 0;  // requests since the last answer
    double unanswered_at = -1e9;
  };
  struct Waiting {
    std::string node;
    Reply reply;
    runtime::Timer deadline;
  };
  void beat();
  void answer(std::uint64_t id, Response response);
  bool answers(const Heard& heard) const;
  bool fresh(const Heard& heard) const { return loop().now() - heard.at < 3 * beat_s_; }

  std::vector<std::string> siblings_;
  double beat_s_;
  Ports ports_;
  std::map<std::string, Heard> heard_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t next_id_;  // begins elsewhere in each process: an answer for an earlier one finds nothing
  runtime::Timer beat_timer_;
};

}  // namespace bankhill::net
