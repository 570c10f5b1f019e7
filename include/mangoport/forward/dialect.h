#ifndef MANGOPORT_FORWARD_DIALECT_H_
#define MANGOPORT_FORWARD_DIALECT_H_

#include <string>
#include <vector>

namespace mangoport {

/// The names of the header fields by which callers, hosts and backend servers
/// tell each other about a request. The forwarding core knows what the fields
/// mean; what they are called is the deployment's.
struct ForwardDialect {
  /// From the caller, passed on: names one try of one request.
  std::string request_id;
  /// Milliseconds that the sender will wait.
  std::string deadline_ms;
  /// The model, or "model/adapter".
  std::string model;
  /// "prompt,output" in tokens.
  std::string token_usage;
  /// The parts of the prompt in order, "id:tokens" separated by commas.
  std::string prompt_parts;
  /// The id of the last event that the caller has of a stream.
  std::string resume_after;

  /// To backend servers only: the account of the caller's key.
  std::string account;
  /// To backend servers only: the one process that may run the request.
  std::string expected_server;
  /// To backend servers only: 0 is served first.
  std::string urgency;

  /// From backend servers: the request was not run.
  std::string not_run;
  /// From backend servers: marks an answer as the server's own.
  std::string answer_seal;
  /// From backend servers, "1" in any answer: the server shuts down.
  std::string server_leaving;

  /// Fields that callers may not set; they are dropped.
  std::vector<std::string> reserved;

  /// The path that the balancer asks for readiness.
  std::string ready_path;
};

}  // namespace mangoport

#endif  // MANGOPORT_FORWARD_DIALECT_H_
