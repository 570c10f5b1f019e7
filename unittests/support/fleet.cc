#include "unittests/support/fleet.h"

#include <httplib.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <utility>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr const char* kOperatorToken = "operator-credential-of-the-tests";
constexpr Duration kStartTimeout = seconds(30);

httplib::Headers ToHeaders(const std::vector<TestHeader>& headers) {
  httplib::Headers result;
  for (const TestHeader& it : headers)
    result.emplace(it.name, it.value);
  return result;
}

TestReply ToReply(const httplib::Result& result, MonoTime start) {
  TestReply reply;
  reply.took = steady_clock::now() - start;
  if (!result) {
    reply.body = httplib::to_string(result.error());
    return reply;
  }
  reply.status = result->status;
  reply.body = result->body;
  reply.retry_after = result->get_header_value("Retry-After");
  return reply;
}

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

Fleet::Fleet() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "mangoport-XXXXXX").string();
  if (!mkdtemp(pattern.data()))
    Die("cannot make a directory");
  directory_ = pattern;
}

Fleet::~Fleet() {
  hosts_.clear();
  standins_.clear();
  if (std::getenv("MANGOPORT_KEEP_FLEET")) {
    std::fprintf(stderr, "kept: %s\n", directory_.c_str());
    return;
  }
  std::error_code ec;
  std::filesystem::remove_all(directory_, ec);
}

TestStandin& Fleet::StartStandin(const std::string& role,
                                 const std::string& name,
                                 const std::vector<std::string>& flags) {
  auto standin = std::make_unique<TestStandin>();
  standin->role = role;
  standin->name = name;
  const std::string port_file = directory_ + "/" + name + ".port";
  std::vector<std::string> command = {
      MANGOPORT_STANDIN_BINARY, role, "--port-file", port_file, "--name", name};
  command.insert(command.end(), flags.begin(), flags.end());
  standin->process =
      std::make_unique<Process>(command, directory_ + "/" + name + ".log");
  const bool started = Eventually(
      [&port_file] { return !FileText(port_file).empty(); }, kStartTimeout);
  if (!started)
    Die("stand-in " + name +
        " did not start: " + FileText(standin->process->output()));
  standin->port = static_cast<std::uint16_t>(std::stoi(FileText(port_file)));
  standins_.push_back(std::move(standin));
  return *standins_.back();
}

TestHost& Fleet::StartHost(const std::string& id,
                           const std::string& zone,
                           const std::string& extra) {
  auto host = std::make_unique<TestHost>();
  host->id = id;
  host->zone = zone;
  std::ostringstream text;
  text << "host = \"" << id << "\"\n"
       << "availability_zone = \"" << zone << "\"\n"
       << "operator_token = \"" << kOperatorToken << "\"\n"
       << "[listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n"
       << "peers = \"127.0.0.1:0\"\n"
       << "ports_file = \"" << directory_ << "/" << id << ".ports\"\n"
       << "[platform]\nlog = \"" << Loopback(standin("log").port) << "\"\n";
  for (const auto& it : standins_) {
    if (it->role == "hosts")
      text << "hosts = \"" << Loopback(it->port) << "\"\n";
  }
  text << "[shutdown]\nbalancer_delay_ms = 200\n" << extra;
  WriteFile(id + ".toml", text.str());
  hosts_.push_back(std::move(host));
  Spawn(*hosts_.back());
  WriteOperatorSettings();
  return *hosts_.back();
}

void Fleet::RestartHost(const std::string& id) {
  TestHost& it = host(id);
  it.process.reset();
  Spawn(it);
  WriteOperatorSettings();
}

void Fleet::Spawn(TestHost& host) {
  const std::string ports = directory_ + "/" + host.id + ".ports";
  std::filesystem::remove(ports);
  host.process = std::make_unique<Process>(
      std::vector<std::string>{MANGOPORT_BINARY, "serve", "--config",
                               directory_ + "/" + host.id + ".toml"},
      directory_ + "/" + host.id + ".log");
  AwaitPorts(host);
}

void Fleet::AwaitPorts(TestHost& host) {
  const std::string path = directory_ + "/" + host.id + ".ports";
  if (!Eventually([&path] { return !FileText(path).empty(); }, kStartTimeout))
    Die("host " + host.id +
        " did not start: " + FileText(host.process->output()));
  std::istringstream in(FileText(path));
  std::string name;
  while (in >> name) {
    int port = 0;
    in >> port;
    const auto value = static_cast<std::uint16_t>(port);
    if (name == "callers")
      host.callers = value;
    if (name == "operators")
      host.operators = value;
    if (name == "peers")
      host.peers = value;
  }
}

void Fleet::ListHost(const TestHost& host, const std::string& state) {
  const nlohmann::json entry = {{"id", host.id},
                                {"zone", host.zone},
                                {"address", "127.0.0.1"},
                                {"peer_port", host.peers},
                                {"state", state}};
  httplib::Client client("127.0.0.1", standin("hosts").port);
  client.Put("/v1/hosts/" + host.id, entry.dump(), "application/json");
}

void Fleet::ListServer(const std::string& name,
                       const std::string& zone,
                       const std::string& state) {
  const nlohmann::json entry = {{"zone", zone}, {"state", state}};
  httplib::Client client("127.0.0.1", standin("hosts").port);
  client.Put("/v1/servers/" + name, entry.dump(), "application/json");
}

TestHost& Fleet::host(const std::string& id) {
  for (const auto& it : hosts_) {
    if (it->id == id)
      return *it;
  }
  Die("no host " + id);
}

TestStandin& Fleet::standin(const std::string& name) {
  for (const auto& it : standins_) {
    if (it->name == name)
      return *it;
  }
  Die("no stand-in " + name);
}

std::string Fleet::WriteFile(const std::string& name, const std::string& text) {
  std::string path = directory_ + "/" + name;
  // Commands may read the file while another thread replaces it.
  const std::string partial = path + "." + std::to_string(++commands_);
  std::ofstream(partial) << text;
  std::filesystem::rename(partial, path);
  return path;
}

void Fleet::WriteOperatorSettings() {
  std::ostringstream text;
  text << "operator = \"tester\"\noperator_token = \"" << kOperatorToken
       << "\"\nlog = \"" << Loopback(standin("log").port) << "\"\nhosts = [";
  for (const auto& it : hosts_) {
    if (it->process && it->process->running())
      text << "\"" << Loopback(it->operators) << "\", ";
  }
  text << "]\n";
  WriteFile("operator.toml", text.str());
}

CommandResult Fleet::Run(std::vector<std::string> arguments) {
  WriteOperatorSettings();
  std::vector<std::string> command = {MANGOPORT_BINARY};
  command.insert(command.end(), arguments.begin(), arguments.end());
  if (arguments.front() != "check" && arguments.front() != "version")
    command.insert(command.end(), {"--config", directory_ + "/operator.toml"});
  const std::string output =
      directory_ + "/command-" + std::to_string(++commands_) + ".out";
  Process process(command, output);
  CommandResult result;
  result.exit_code = process.Wait(seconds(60));
  result.output = FileText(output);
  return result;
}

void Fleet::Publish(const std::string& text) {
  const std::string path = WriteFile("fleet.toml", text);
  const CommandResult result = Run({"publish", path});
  if (result.exit_code != 0)
    Die("publish failed: " + result.output);
}

std::string Fleet::IssueKey(const std::string& account) {
  const CommandResult result = Run({"key", "issue", account});
  const std::size_t start = result.output.find("key mp_");
  if (result.exit_code != 0 || start == std::string::npos)
    Die("key issue failed: " + result.output);
  const std::size_t end = result.output.find('\n', start);
  return result.output.substr(start + 4, end - start - 4);
}

void Fleet::Fault(const std::string& name, const std::string& json) {
  const TestReply reply = HttpPost(standin(name).port, "/standin/fault", json);
  if (reply.status != 200)
    Die("fault refused by " + name + ": " + reply.body);
}

std::string Fleet::Stats(const std::string& name) {
  return HttpGet(standin(name).port, "/standin/stats").body;
}

std::string Fleet::StatusOf(const TestHost& host) const {
  return HttpGet(host.operators, "/operator/v1/status",
                 {{"Authorization", std::string("Bearer ") + kOperatorToken}})
      .body;
}

void Fleet::AwaitReady() {
  for (const auto& it : hosts_) {
    const bool ready = Eventually(
        [&it] { return HttpGet(it->callers, "/readyz").status == 200; });
    if (!ready)
      Die("host " + it->id + " is not ready");
  }
}

std::string Fleet::HostLogs() const {
  std::string all;
  for (const auto& it : hosts_)
    all += FileText(directory_ + "/" + it->id + ".log");
  return all;
}

std::string Fleet::EverythingWritten() {
  std::string all = HostLogs() + Run({"audit"}).output;
  for (const auto& it : hosts_) {
    if (it->process->running())
      all += HttpGet(it->operators, "/metrics").body;
  }
  for (const auto& it : standins_)
    all += Stats(it->name);
  return all;
}

TestReply HttpGet(std::uint16_t port,
                  const std::string& path,
                  const std::vector<TestHeader>& headers) {
  const MonoTime start = steady_clock::now();
  httplib::Client client("127.0.0.1", port);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(seconds(10));
  return ToReply(client.Get(path, ToHeaders(headers)), start);
}

TestReply HttpPost(std::uint16_t port,
                   const std::string& path,
                   const std::string& body,
                   const std::vector<TestHeader>& headers,
                   Duration timeout) {
  const MonoTime start = steady_clock::now();
  httplib::Client client("127.0.0.1", port);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(timeout);
  return ToReply(
      client.Post(path, ToHeaders(headers), body, "application/json"), start);
}

bool Eventually(const std::function<bool()>& holds, Duration timeout) {
  const MonoTime deadline = steady_clock::now() + timeout;
  while (!holds()) {
    if (steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

StreamedText ParseStream(const std::string& body) {
  StreamedText result;
  std::istringstream in(body);
  std::string line;
  while (std::getline(in, line)) {
    if (line == "data: [DONE]")
      result.whole = true;
    if (!line.starts_with("data: {"))
      continue;
    const auto event = nlohmann::json::parse(line.substr(6), nullptr, false);
    if (!event.is_object() || !event.contains("choices"))
      continue;
    const nlohmann::json& choice = event["choices"][0];
    if (choice.contains("text"))
      result.text += choice["text"].get<std::string>();
    if (choice.contains("delta"))
      result.text += choice["delta"].value("content", "");
  }
  return result;
}

void Die(const std::string& message) {
  std::fprintf(stderr, "fleet: %s\n", message.c_str());
  std::exit(2);
}

}  // namespace mangoport
