#ifndef MANGOPORT_TOOLS_STANDIN_ROLES_H_
#define MANGOPORT_TOOLS_STANDIN_ROLES_H_

namespace mangoport::standin {

/// Each role parses its flags, serves until killed and returns an exit code;
/// README.md gives the protocols.
int RunLog(int argc, char** argv);
int RunStore(int argc, char** argv);
int RunHosts(int argc, char** argv);
int RunEngine(int argc, char** argv);
int RunPlain(int argc, char** argv);

}  // namespace mangoport::standin

#endif  // MANGOPORT_TOOLS_STANDIN_ROLES_H_
